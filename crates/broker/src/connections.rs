//! Connections of one traffic thread to the egresses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use wire::Connection;

/// Interval between two pings of a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which an egress must answer a ping. An egress answers pings from memory.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay after a failed attempt to connect.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Connection by address, or `None` while the egress is not connected.
type ByAddress = Rc<RefCell<BTreeMap<Box<str>, Option<Rc<Connection>>>>>;

/// Connections to the egresses by address.
#[derive(Default)]
pub(crate) struct Connections {
    by_address: ByAddress,
}

impl Connections {
    /// Returns the connection to an egress, or `None` if the egress is not connected.
    pub(crate) fn get(&self, address: &str) -> Option<Rc<Connection>> {
        let connection = self.by_address.borrow().get(address)?.clone()?;
        (!connection.is_closed()).then_some(connection)
    }

    /// Maintains connections to exactly these egresses from now on.
    pub(crate) fn set_addresses(&self, addresses: &[SocketAddr]) {
        let wanted: Vec<Box<str>> = addresses.iter().map(|a| a.to_string().into()).collect();
        self.by_address.borrow_mut().retain(|address, _| wanted.contains(address));
        for (name, address) in wanted.into_iter().zip(addresses) {
            if self.by_address.borrow().contains_key(&name) {
                continue;
            }
            self.by_address.borrow_mut().insert(name.clone(), None);
            spawn_local(maintain(self.by_address.clone(), name, *address));
        }
    }
}

/// Connects to one egress, reconnects when the connection is lost or a ping is not answered in
/// time, and returns once the address is no longer wanted.
async fn maintain(by_address: ByAddress, name: Box<str>, address: SocketAddr) {
    while by_address.borrow().contains_key(&name) {
        let Ok(connection) = wire::connect(address).await else {
            tokio::time::sleep(RECONNECT_BACKOFF).await;
            continue;
        };
        let connection = Rc::new(connection);
        match by_address.borrow_mut().get_mut(&name) {
            Some(entry) => *entry = Some(connection.clone()),
            None => return,
        }
        while by_address.borrow().contains_key(&name) && !connection.is_closed() {
            // A cancellation without parts has no effect, so that the call serves as a ping.
            let ping = connection.client.cancel_request().send().promise;
            match tokio::time::timeout(PING_TIMEOUT, ping).await {
                Ok(Ok(_)) => tokio::time::sleep(PING_INTERVAL).await,
                _ => break,
            }
        }
        if let Some(entry) = by_address.borrow_mut().get_mut(&name) {
            *entry = None;
        }
        connection.close();
    }
}
