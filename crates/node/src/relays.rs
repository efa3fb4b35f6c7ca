//! The hosts of other failure domains that may ask for parts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pick::Candidate;
use table::{Domain, View};

use crate::peer::Peer;

/// Fraction of the greatest processor share below which a host is no relay: a weak host would hold
/// up the parts of a whole order.
const RELAY_POWER: f64 = 0.5;

/// Relays by failure domain.
#[derive(Default)]
pub struct Relays {
    domains: BTreeMap<Domain, Vec<Rc<Peer>>>,
}

impl Relays {
    /// Takes the strong hosts of a new view outside of the domain `own`; those that stay keep their
    /// state.
    pub fn update(&mut self, view: &View, own: &str) {
        let most = view.hosts.values().map(|host| host.cores).fold(0.0, f64::max);
        let strong = view.hosts.values().filter(|host| host.cores >= most * RELAY_POWER);
        let mut domains: BTreeMap<Domain, Vec<Rc<Peer>>> = BTreeMap::new();
        for host in strong.filter(|host| *host.domain != *own) {
            let same =
                |peer: &&Rc<Peer>| peer.name == host.name && Some(peer.address) == host.relay;
            let known = self.domains.get(&host.domain).and_then(|peers| peers.iter().find(same));
            let peer = known.cloned().or_else(|| Peer::new(host).map(Rc::new));
            domains.entry(host.domain.clone()).or_default().extend(peer);
        }
        self.domains = domains;
    }

    /// Draws a failure domain that has a relay for an order which is due after `flush`.
    pub fn choose_domain(&self, now: Instant, flush: Duration, draw: u64) -> Option<Domain> {
        let able = self.domains.keys().filter(|domain| self.has_available(now, flush, domain));
        let able: Vec<_> = able.collect();
        let place = draw % able.len().max(1) as u64;
        able.get(place as usize).map(|domain| (*domain).clone())
    }

    /// Returns whether a failure domain has such a relay.
    pub fn has_available(&self, now: Instant, flush: Duration, domain: &str) -> bool {
        self.able(now, flush, domain).next().is_some()
    }

    /// Chooses the relay of a failure domain that is the least busy; `draw` breaks ties.
    pub fn choose_relay(
        &self,
        now: Instant,
        flush: Duration,
        domain: &str,
        draw: u64,
    ) -> Option<Rc<Peer>> {
        let peers: Vec<_> = self.able(now, flush, domain).collect();
        let replicas: Vec<_> = peers.iter().map(|peer| peer.replica.borrow()).collect();
        let added_latency = Duration::ZERO;
        let candidates: Vec<_> =
            replicas.iter().map(|replica| Candidate { replica, added_latency }).collect();
        let index = pick::choose(now, flush, &candidates, draw)?;
        Some(Rc::clone(peers[index]))
    }

    fn able(&self, now: Instant, flush: Duration, domain: &str) -> impl Iterator<Item = &Rc<Peer>> {
        let peers = self.domains.get(domain).into_iter().flatten();
        peers.filter(move |peer| peer.is_available(now, flush))
    }
}
