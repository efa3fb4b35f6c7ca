//! Connections to one address that are kept for the next request.

use std::cell::{Cell, RefCell};
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use crate::connection::Connection;

/// Time before the other side's idle timeout at which a connection is no longer used, for the way
/// and for late timers.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Idle timeout of an upstream that names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Time for a new connection; the ways between failure domains take milliseconds.
const DIAL_TIME: Duration = Duration::from_millis(400);

struct Idle {
    connection: Connection,
    until: Instant,
}

/// The connections to one address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    open: Cell<usize>,
    most: Cell<usize>,
}

impl Pool {
    /// Sets the most connections that this host may have open.
    pub fn set_max(&self, most: usize) {
        self.most.set(most);
    }

    /// Takes the connection that was used last, if a usable one is idle.
    pub fn checkout(self: &Rc<Self>, now: Instant) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle { mut connection, until }) = idle.pop() {
            if now < until && connection.is_usable() {
                return Some(self.hold(Some(connection)));
            }
            self.closed();
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when nothing accepts it in time.
    pub async fn dial(self: &Rc<Self>, address: SocketAddr) -> Result<PooledConnection> {
        self.open.set(self.open.get() + 1);
        let mut held = self.hold(None);
        held.connection = Some(timeout(DIAL_TIME, Connection::open(address)).await??);
        Ok(held)
    }

    fn hold(self: &Rc<Self>, connection: Option<Connection>) -> PooledConnection {
        PooledConnection { connections: Rc::clone(self), connection }
    }

    /// Closes all connections that are not in use.
    pub fn clear(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        self.open.set(self.open.get() - idle.len());
    }

    fn closed(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Returns whether a request can be sent without exceeding the most connections.
    pub fn has_room(&self) -> bool {
        self.open.get() < self.most.get() || !self.idle.borrow().is_empty()
    }
}

/// A connection in use, or one that is being opened; dropping it closes the connection.
pub struct PooledConnection {
    connections: Rc<Pool>,
    connection: Option<Connection>,
}

impl PooledConnection {
    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Panics while the connection is being opened, when nobody else has it.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a connection that was opened")
    }

    /// Keeps the connection for another request, if it can carry one; the other side closes it
    /// after `keep`.
    pub fn checkin(mut self, now: Instant, keep: Option<Duration>) {
        if let Some(connection) = self.connection.take_if(Connection::is_usable) {
            let until = now + keep.unwrap_or(DEFAULT_KEEP).saturating_sub(IDLE_MARGIN);
            self.connections.idle.borrow_mut().push(Idle { connection, until });
            self.connections.open.set(self.connections.open.get() + 1);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.connections.closed();
    }
}
