//! Datagrams by which hosts tell each other at once of requests that may crash upstreams.
//!
//! A caller repeats a request within milliseconds, at another host, while a report through the store
//! takes some hundred. Datagrams may be lost; the report then still stops the request.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use quarantine::Strike;

use crate::crashes::Crashes;

/// Maximum number of alerts that a host sends in each [`WINDOW`], so that a lost failure domain causes
/// little traffic.
const MAX_ALERTS: usize = 64;

/// Time to which [`MAX_ALERTS`] applies.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of hosts that get an alert. A lookup names as many addresses to a caller.
pub const MAX_RECEIVERS: usize = 64;

/// Maximum size of an alert in bytes.
const MAX_BYTES: usize = 64;

/// Delay after a failed receive, so that a persistent error does not cause a busy loop.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(20);

/// Sends alerts to the other hosts.
pub struct Alerts {
    socket: tokio::net::UdpSocket,
    receivers: RefCell<Vec<SocketAddr>>,
    window: Cell<(Instant, usize)>,
}

impl Alerts {
    /// Registers a socket with the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime with I/O, which every thread of the process has.
    pub fn new(now: Instant, socket: UdpSocket) -> Rc<Self> {
        let socket = tokio::net::UdpSocket::from_std(socket);
        let socket = socket.expect("the thread runs in a runtime with I/O");
        Rc::new(Self { socket, receivers: RefCell::default(), window: Cell::new((now, 0)) })
    }

    /// Replaces the hosts that get alerts.
    pub fn set_receivers(&self, receivers: Vec<SocketAddr>) {
        *self.receivers.borrow_mut() = receivers;
    }

    /// Tells the other hosts of an attempt of a caller that makes a request a suspect.
    pub fn send(&self, now: Instant, strike: Strike) {
        let (started, sent) = self.window.get();
        let is_same = now.saturating_duration_since(started) < WINDOW;
        let (started, sent) = if is_same { (started, sent) } else { (now, 0) };
        if sent >= MAX_ALERTS {
            return;
        }
        self.window.set((started, sent + 1));
        let bytes = strike.encode();
        for receiver in &*self.receivers.borrow() {
            if let Err(error) = self.socket.try_send_to(&bytes, *receiver) {
                log::debug!(receiver:%, error:%; "cannot alert another host");
            }
        }
    }

    /// Receives the alerts of other hosts for as long as the thread runs.
    pub async fn receive(self: Rc<Self>, crashes: Rc<Crashes>) {
        let mut bytes = [0; MAX_BYTES];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, sender)) => match Strike::decode(&bytes[..length]) {
                    Some(strike) => crashes.suspect(Instant::now(), strike),
                    None => log::debug!(sender:%; "ignoring an alert that cannot be decoded"),
                },
                Err(error) => {
                    log::debug!(error:%; "cannot receive an alert");
                    tokio::time::sleep(RECEIVE_BACKOFF).await;
                }
            }
        }
    }
}
