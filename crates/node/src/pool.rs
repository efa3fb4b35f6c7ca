//! A pool of keep-alive connections to one address.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use crate::connection::{Connection, Id};

/// Time before the peer's idle timeout from which a connection is no longer reused. It covers the
/// network latency and late timers.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Idle timeout of an upstream that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit for opening a connection. A round trip between failure domains takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a connection with a request in flight counts as alive without an answer. Upstreams pause
/// for 100 to 200 ms; after that the connection may have fallen silent.
const MAX_SILENCE: Duration = Duration::from_millis(300);

struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Use of an established connection.
struct Use {
    /// When the connection was established.
    opened: Instant,
    /// When the use began. The peer had not closed the connection before.
    began: Instant,
}

/// The connections to one address, limited in number.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    open: Cell<usize>,
    /// The established connections that are in use.
    in_use: RefCell<BTreeMap<Id, Use>>,
    max: Cell<usize>,
    last_returned: Cell<Option<Instant>>,
}

impl Pool {
    /// Sets the maximum number of open connections.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Returns the most recently used idle connection that is still usable and not `excluded`, if there
    /// is one.
    pub fn checkout(
        self: &Rc<Self>,
        now: Instant,
        excluded: impl Fn(Id) -> bool,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        for index in (0..idle.len()).rev() {
            if excluded(idle[index].connection.id()) {
                continue;
            }
            let Idle { mut connection, expires } = idle.remove(index);
            if now < expires && connection.is_usable() {
                return Some(self.pooled(Some(connection)));
            }
            self.record_closed();
        }
        None
    }

    /// Closes an idle connection if no other one may be opened.
    pub fn make_room(&self) {
        if self.open.get() >= self.max.get() && self.idle.borrow_mut().pop().is_some() {
            self.record_closed();
        }
    }

    /// Returns an idle connection, or opens one if there is none.
    ///
    /// # Errors
    ///
    /// Fails like [`connect`](Self::connect).
    pub async fn get(
        self: &Rc<Self>,
        now: Instant,
        address: SocketAddr,
    ) -> Result<PooledConnection> {
        match self.checkout(now, |_| false) {
            Some(pooled) => Ok(pooled),
            None => self.connect(address).await,
        }
    }

    /// Opens a connection, also beyond the maximum.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or not established in time.
    pub async fn connect(self: &Rc<Self>, address: SocketAddr) -> Result<PooledConnection> {
        self.open.set(self.open.get() + 1);
        let mut pooled = self.pooled(None);
        let connection = timeout(CONNECT_TIMEOUT, Connection::open(address)).await??;
        pooled.establish(connection);
        Ok(pooled)
    }

    fn pooled(self: &Rc<Self>, connection: Option<Connection>) -> PooledConnection {
        let pool = Rc::clone(self);
        let mut pooled = PooledConnection { pool, connection: None, established: None };
        if let Some(connection) = connection {
            pooled.establish(connection);
        }
        pooled
    }

    /// Closes all idle connections, and the others as soon as they are returned, until the next call
    /// of [`set_max`](Self::set_max).
    pub fn close(&self) {
        self.max.set(0);
        self.clear();
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        self.open.set(self.open.get() - idle.len());
    }

    /// Returns whether the peer is known to be alive at a time after `since`: a connection was
    /// returned after that, or an idle one is open now.
    pub fn is_alive_since(&self, since: Instant) -> bool {
        let returned = self.last_returned.get().is_some_and(|returned| returned > since);
        returned || self.idle.borrow_mut().iter_mut().any(|idle| idle.connection.is_usable())
    }

    /// Returns whether any connection to the peer is established, in use or idle. A process that has
    /// restarted has none from before.
    pub fn has_established(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        !self.in_use.borrow().is_empty() || idle.iter_mut().any(|idle| idle.connection.is_usable())
    }

    /// Returns whether a connection to the peer is established now and was at `time`, so that the process
    /// is the same. One that may have fallen silent does not count.
    pub fn was_established(&self, now: Instant, time: Instant) -> bool {
        let mut idle = self.idle.borrow_mut();
        let is_usable =
            |idle: &mut Idle| idle.connection.opened() <= time && idle.connection.is_usable();
        let is_alive = |used: &Use| {
            used.opened <= time && now.saturating_duration_since(used.began) < MAX_SILENCE
        };
        self.in_use.borrow().values().any(is_alive) || idle.iter_mut().any(is_usable)
    }

    fn record_closed(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Returns whether a request can be sent without exceeding the maximum number of connections:
    /// one is idle or may be opened.
    pub fn has_room(&self) -> bool {
        self.open.get() < self.max.get() || !self.idle.borrow().is_empty()
    }
}

/// A connection that is in use or being opened; dropping it closes the connection.
pub struct PooledConnection {
    pool: Rc<Pool>,
    connection: Option<Connection>,
    /// Number of the connection once there has been one, which counts as one in use.
    established: Option<Id>,
}

impl PooledConnection {
    fn establish(&mut self, connection: Connection) {
        let id = connection.id();
        let used = Use { opened: connection.opened(), began: Instant::now() };
        self.pool.in_use.borrow_mut().insert(id, used);
        self.established = Some(id);
        self.connection = Some(connection);
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Panics while the connection is being opened. [`Pool::connect`] returns the value only after
    /// that.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("the connection is open")
    }

    /// Returns since when the connection is established.
    ///
    /// # Panics
    ///
    /// Panics like [`connection`](Self::connection).
    pub fn opened(&self) -> Instant {
        self.connection.as_ref().expect("the connection is open").opened()
    }

    /// Returns the connection to the pool if it can carry another request and the pool is not
    /// closed. `idle_timeout` is the time after which the peer closes an idle connection, if known.
    pub fn checkin(mut self, now: Instant, idle_timeout: Option<Duration>) {
        self.pool.last_returned.set(Some(now));
        if self.pool.max.get() == 0 {
            return;
        }
        if let Some(connection) = self.connection.take_if(Connection::is_usable) {
            let expires =
                now + idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
            self.pool.idle.borrow_mut().push(Idle { connection, expires });
            self.pool.open.set(self.pool.open.get() + 1);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(id) = self.established {
            self.pool.in_use.borrow_mut().remove(&id);
        }
        self.pool.record_closed();
    }
}
