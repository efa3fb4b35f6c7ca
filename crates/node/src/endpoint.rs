//! One upstream as the traffic thread holds it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use pick::Replica;
use table::Upstream;

use crate::pool::Pool;

/// One upstream.
pub struct Endpoint {
    /// What the upstream registered.
    pub upstream: Arc<Upstream>,
    /// What this host has seen of it.
    pub replica: Rc<RefCell<Replica>>,
    /// Its connections.
    pub connections: Rc<Pool>,
    /// Whether it stands in another failure domain than this host.
    pub remote: bool,
    /// Whether another process has its address, until the store names it again.
    pub replaced: Cell<bool>,
}

impl Endpoint {
    /// Creates a member; an entry of the same process shares the state of the one `before`.
    pub fn new(upstream: Arc<Upstream>, remote: bool, before: Option<&Self>) -> Self {
        let replica = before.map(|before| Rc::clone(&before.replica));
        let connections = before.map(|before| Rc::clone(&before.connections));
        Self {
            replica: replica.unwrap_or_else(|| Rc::new(RefCell::new(Replica::new(upstream.slots)))),
            connections: connections.unwrap_or_default(),
            upstream,
            remote,
            replaced: Cell::new(false),
        }
    }

    /// Returns whether the upstream is cold, so that only one host may send to it.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.replica.borrow().is_cold(now)
    }

    /// Returns whether this host would send to the upstream for another one.
    pub fn accepts_relayed(&self, now: Instant) -> bool {
        self.has_room() && !self.is_cold(now) && !self.replica.borrow().is_ejected(now)
    }

    /// Returns whether a request can be sent without waiting for a connection.
    pub fn has_room(&self) -> bool {
        !self.replaced.get() && self.connections.has_room()
    }
}
