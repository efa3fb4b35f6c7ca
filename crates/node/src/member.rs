//! One upstream as the traffic thread holds it: its state, and its connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pick::Replica;
use table::Upstream;

use crate::connection::Connection;

/// Time before an upstream's idle timeout at which a connection is no longer used, for the way and
/// for late timers.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Idle timeout of an upstream that names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// One upstream.
pub struct Member {
    /// What the upstream registered.
    pub upstream: Arc<Upstream>,
    /// What this host has seen of it.
    pub replica: Rc<RefCell<Replica>>,
    /// Its connections.
    pub connections: Rc<Connections>,
    /// Whether it stands in another failure domain than this host.
    pub far: bool,
    /// Whether another process has its address, until the store names it again.
    pub replaced: Cell<bool>,
}

impl Member {
    /// Creates a member; an entry of the same process shares the state of the one `before`.
    pub fn new(upstream: Arc<Upstream>, far: bool, before: Option<&Self>) -> Self {
        let replica = before.map(|before| Rc::clone(&before.replica));
        let connections = before.map(|before| Rc::clone(&before.connections));
        Self {
            replica: replica.unwrap_or_else(|| Rc::new(RefCell::new(Replica::new(upstream.slots)))),
            connections: connections.unwrap_or_default(),
            upstream,
            far,
            replaced: Cell::new(false),
        }
    }

    /// Returns whether a request can be sent without waiting for a connection.
    pub fn has_room(&self) -> bool {
        !self.replaced.get() && self.connections.has_room()
    }
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// The connections to one upstream.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<Vec<Idle>>,
    open: Cell<usize>,
    most: Cell<usize>,
}

impl Connections {
    /// Sets the most connections that this host may have open.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
    }

    /// Takes the connection that was used last, if a usable one is idle.
    pub fn checkout(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle { mut connection, until }) = idle.pop() {
            if now < until && connection.is_usable() {
                return Some(connection);
            }
            self.closed();
        }
        None
    }

    /// Puts a connection back whose answer is complete.
    pub fn checkin(&self, now: Instant, connection: Connection, keep: Option<Duration>) {
        let time = keep.unwrap_or(DEFAULT_KEEP).saturating_sub(IDLE_MARGIN);
        self.idle.borrow_mut().push(Idle { connection, until: now + time });
    }

    /// Counts a connection that is being opened.
    pub fn opening(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Counts a connection that is closed or was never open.
    pub fn closed(&self) {
        self.open.set(self.open.get() - 1);
    }

    fn has_room(&self) -> bool {
        self.open.get() < self.most.get() || !self.idle.borrow().is_empty()
    }
}
