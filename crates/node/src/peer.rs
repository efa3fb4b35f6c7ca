//! Another host of ours as the traffic thread sees it: a relay for parts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pick::Replica;
use table::Host;

use crate::pool::Pool;

/// Orders that a relay is taken to work on at a time; more only raise its expected time.
const SLOTS: u32 = 4;

/// Most connections to one relay. Each carries one order, and an order takes milliseconds.
const MOST_CONNECTIONS: usize = 64;

/// Time for which an idle connection to a relay is kept; relays close them later.
pub const IDLE_TTL: Duration = Duration::from_secs(20);

/// One other host.
pub struct Peer {
    /// Its name.
    pub name: Box<str>,
    /// Address for orders.
    pub address: SocketAddr,
    /// What this host has seen of it as a relay.
    pub replica: RefCell<Replica>,
    /// Connections for orders.
    pub connections: Rc<Pool>,
}

impl Peer {
    /// Creates a peer that nothing is known of; hosts without an address for orders are none.
    pub fn new(host: &Host) -> Option<Self> {
        let connections = Rc::new(Pool::default());
        connections.set_max(MOST_CONNECTIONS);
        Some(Self {
            name: host.name.clone(),
            address: host.relay?,
            replica: RefCell::new(Replica::new(SLOTS)),
            connections,
        })
    }

    /// Returns whether an order may be sent whose first batch is due after `flush`.
    ///
    /// A relay whose first batch is late by as much again is probably frozen, and all of its parts
    /// would have to be hedged.
    pub fn is_available(&self, now: Instant, flush: Duration) -> bool {
        let replica = self.replica.borrow();
        let paused = replica.stalled_for(now, flush / 2).is_some();
        self.connections.has_room() && !paused && !replica.is_ejected(now)
    }
}
