//! Another host as the traffic thread sees it: a relay that requests parts for this host.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pick::Replica;
use table::Host;

use crate::pool::Pool;

/// Number of relay requests that a relay is assumed to process concurrently. More are allowed, but
/// raise its expected latency.
const ASSUMED_SLOTS: u32 = 4;

/// Maximum number of connections to one relay. Each carries one relay request at a time, which
/// takes milliseconds.
const MAX_CONNECTIONS: usize = 64;

/// Time for which an idle connection to a relay is kept. Relays close idle connections later than
/// that, so that no request is sent on a connection that is being closed.
pub const IDLE_TTL: Duration = Duration::from_secs(20);

/// Another host, used as a relay.
pub struct Peer {
    /// Name of the host.
    pub name: Box<str>,
    /// Address for relay requests.
    pub address: SocketAddr,
    /// State of the relay, as observed by this host.
    pub replica: RefCell<Replica>,
    /// Connections for relay requests.
    pub connections: Rc<Pool>,
}

impl Peer {
    /// Creates a peer without observations; returns `None` if the host has no address for relay
    /// requests.
    pub fn new(host: &Host) -> Option<Self> {
        let connections = Rc::new(Pool::default());
        connections.set_max(MAX_CONNECTIONS);
        Some(Self {
            name: host.name.clone(),
            address: host.relay?,
            replica: RefCell::new(Replica::new(ASSUMED_SLOTS)),
            connections,
        })
    }

    /// Returns whether a relay request with the given flush timeout may be sent.
    ///
    /// A relay whose first batch has not arrived after about twice the flush timeout, or longer if
    /// the relay was slow before, is treated as stalled. All parts of a further request would
    /// probably have to be hedged.
    pub fn is_available(&self, now: Instant, flush_timeout: Duration) -> bool {
        let replica = self.replica.borrow();
        let stalled = replica.stalled_for(now, flush_timeout / 2).is_some();
        self.connections.has_room() && !stalled && !replica.is_ejected(now)
    }
}
