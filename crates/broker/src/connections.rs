//! Connections of one traffic thread to the egresses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use wire::Connection;

/// Time between two pings of a connection.
const PING_TIME: Duration = Duration::from_secs(1);

/// Time within which a ping is answered; the other end answers from memory.
const PONG_TIME: Duration = Duration::from_millis(600);

/// Pause before a lost egress is connected to again.
const RETRY_TIME: Duration = Duration::from_millis(100);

type Open = Rc<RefCell<BTreeMap<Box<str>, Option<Rc<Connection>>>>>;

/// Connections by the egress's address.
#[derive(Default)]
pub(crate) struct Connections {
    open: Open,
}

impl Connections {
    /// Returns the connection to an egress, if it stands.
    pub(crate) fn get(&self, address: &str) -> Option<Rc<Connection>> {
        let node = self.open.borrow().get(address)?.clone()?;
        (!node.is_closed()).then_some(node)
    }

    /// Keeps connections to exactly these egresses.
    pub(crate) fn keep(&self, addresses: &[SocketAddr]) {
        let wanted: Vec<Box<str>> = addresses.iter().map(|a| a.to_string().into()).collect();
        self.open.borrow_mut().retain(|address, _| wanted.contains(address));
        for (name, address) in wanted.into_iter().zip(addresses) {
            if self.open.borrow().contains_key(&name) {
                continue;
            }
            self.open.borrow_mut().insert(name.clone(), None);
            spawn_local(hold(self.open.clone(), name, *address));
        }
    }
}

/// Holds a connection to one egress as long as it is wanted, with pings to notice silence.
async fn hold(open: Open, name: Box<str>, address: SocketAddr) {
    while open.borrow().contains_key(&name) {
        let Ok(node) = wire::connect(address).await else {
            tokio::time::sleep(RETRY_TIME).await;
            continue;
        };
        let node = Rc::new(node);
        match open.borrow_mut().get_mut(&name) {
            Some(place) => *place = Some(node.clone()),
            None => return,
        }
        while open.borrow().contains_key(&name) && !node.is_closed() {
            // An empty cancellation asks nothing of the other end but an answer.
            let ping = node.client.cancel_request().send().promise;
            match tokio::time::timeout(PONG_TIME, ping).await {
                Ok(Ok(_)) => tokio::time::sleep(PING_TIME).await,
                _ => break,
            }
        }
        if let Some(place) = open.borrow_mut().get_mut(&name) {
            *place = None;
        }
        node.close();
    }
}
