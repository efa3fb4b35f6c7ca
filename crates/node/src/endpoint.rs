//! An upstream with its connections and statistics, as the traffic thread keeps it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use pick::Replica;
use table::Upstream;

use crate::pool::Pool;

/// An upstream with its connections and statistics.
pub struct Endpoint {
    /// The entry that the upstream registered.
    pub upstream: Arc<Upstream>,
    /// Statistics of this host's requests to the upstream.
    pub replica: Rc<RefCell<Replica>>,
    /// Connections of this host to the upstream.
    pub connections: Rc<Pool>,
    /// Whether the upstream is in another failure domain than this host.
    pub remote: bool,
    /// Whether another process answered at the address. The next entry of the upstream resets this.
    pub replaced: Cell<bool>,
}

impl Endpoint {
    /// Creates an endpoint. It shares statistics and connections with `previous`, which is the
    /// endpoint of an earlier entry of the same process.
    pub fn new(upstream: Arc<Upstream>, remote: bool, previous: Option<&Self>) -> Self {
        let replica = previous.map(|previous| Rc::clone(&previous.replica));
        let connections = previous.map(|previous| Rc::clone(&previous.connections));
        Self {
            replica: replica.unwrap_or_else(|| Rc::new(RefCell::new(Replica::new(upstream.slots)))),
            connections: connections.unwrap_or_default(),
            upstream,
            remote,
            replaced: Cell::new(false),
        }
    }

    /// Returns whether the upstream is warming up, so that only one host may send to it.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.replica.borrow().is_cold(now)
    }

    /// Returns whether this host may send to the upstream on behalf of another host.
    pub fn accepts_relayed(&self, now: Instant) -> bool {
        self.has_room() && !self.is_cold(now) && !self.replica.borrow().is_ejected(now)
    }

    /// Returns whether a request can be sent now: the address still belongs to the upstream, and a
    /// connection is idle or may be opened.
    pub fn has_room(&self) -> bool {
        !self.replaced.get() && self.connections.has_room()
    }
}
