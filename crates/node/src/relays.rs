//! The hosts of other failure domains that can serve as relays.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pick::Candidate;
use table::{Domain, View};

use crate::peer::Peer;

/// Fraction of the largest processor share below which a host is not used as a relay. A host with a
/// small share would delay all parts of a relay request.
const MIN_CORES_RATIO: f64 = 0.5;

/// Relays by failure domain.
#[derive(Default)]
pub struct Relays {
    domains: BTreeMap<Domain, Vec<Rc<Peer>>>,
}

impl Relays {
    /// Replaces the relays by the hosts of `view` outside of the domain `own` that reach the upstreams
    /// and have a large enough processor share. A host that was known before, under the same address, keeps its
    /// state.
    pub fn update(&mut self, view: &View, own: &str) {
        let max = view.hosts.values().map(|host| host.cores).fold(0.0, f64::max);
        let reachable = view.hosts.values().filter(|host| !host.isolated);
        let strong = reachable.filter(|host| host.cores >= max * MIN_CORES_RATIO);
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

    /// Chooses, by the random number `draw`, a failure domain that has an available relay for a
    /// request with the given flush timeout.
    pub fn choose_domain(
        &self,
        now: Instant,
        flush_timeout: Duration,
        draw: u64,
    ) -> Option<Domain> {
        let available =
            self.domains.keys().filter(|domain| self.has_available(now, flush_timeout, domain));
        let available: Vec<_> = available.collect();
        let index = draw % available.len().max(1) as u64;
        available.get(index as usize).map(|domain| (*domain).clone())
    }

    /// Returns whether a failure domain has an available relay for a request with the given flush
    /// timeout.
    pub fn has_available(&self, now: Instant, flush_timeout: Duration, domain: &str) -> bool {
        self.available(now, flush_timeout, domain).next().is_some()
    }

    /// Chooses, for a request with the given flush timeout, the available relay of a failure domain
    /// with the lowest [cost](pick::Replica::cost); `draw` breaks ties.
    pub fn choose_relay(
        &self,
        now: Instant,
        flush_timeout: Duration,
        domain: &str,
        draw: u64,
    ) -> Option<Rc<Peer>> {
        let peers: Vec<_> = self.available(now, flush_timeout, domain).collect();
        let replicas: Vec<_> = peers.iter().map(|peer| peer.replica.borrow()).collect();
        let penalty = Duration::ZERO;
        let candidates: Vec<_> =
            replicas.iter().map(|replica| Candidate { replica, penalty, has_room: true }).collect();
        let index = pick::choose(now, flush_timeout, &candidates, draw)?;
        Some(Rc::clone(peers[index]))
    }

    /// Returns the relays of a failure domain that may be sent a request with the given flush
    /// timeout.
    fn available(
        &self,
        now: Instant,
        flush_timeout: Duration,
        domain: &str,
    ) -> impl Iterator<Item = &Rc<Peer>> {
        let peers = self.domains.get(domain).into_iter().flatten();
        peers.filter(move |peer| peer.is_available(now, flush_timeout))
    }
}
