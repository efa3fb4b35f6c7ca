//! An upstream with its connections and statistics, as the traffic thread keeps it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use pick::Replica;
use platform::Answer;
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
    /// Rate limit that the latest answer stated, in requests per second.
    rate_limit: Cell<Option<f64>>,
    /// Requests sent since the upstream first stated the rate limit.
    limited_requests: Cell<u32>,
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
            rate_limit: Cell::new(previous.and_then(|previous| previous.rate_limit.get())),
            limited_requests: Cell::new(0),
        }
    }

    /// Returns whether the upstream is warming up, so that only one host may send to it.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.replica.borrow().is_cold(now)
    }

    /// Records whether an answer states a rate limit, and logs each change. A refusal without a
    /// rate limit says nothing, since the upstream has not run the request.
    pub fn record_rate_limit(&self, answer: &Answer) {
        if answer.rate_limit.is_none() && answer.refused {
            return;
        }
        let before = self.rate_limit.replace(answer.rate_limit);
        if before == answer.rate_limit {
            return;
        }
        log::info!(
            upstream = self.upstream.id,
            service = self.upstream.service,
            rate_limit = answer.rate_limit,
            previous = before,
            requests = self.limited_requests.take();
            "rate limit of an upstream changed"
        );
    }

    /// Counts a request; returns whether the upstream has stated a rate limit.
    pub fn count_limited_request(&self) -> bool {
        let limited = self.rate_limit.get().is_some();
        self.limited_requests.set(self.limited_requests.get() + u32::from(limited));
        limited
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
