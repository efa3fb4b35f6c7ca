//! Where a host reads the store's entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// First time for which a source that failed is left alone.
const FIRST_PENALTY: Duration = Duration::from_millis(400);

/// Longest such time for the store. It may be away for long, and each call to it is paid for, but a
/// host whose way to it is mended counts as in touch four seconds later.
const MOST_STORE_PENALTY: Duration = Duration::from_millis(2_000);

/// Longest such time for another host, which costs nothing but processor time to ask.
const MOST_PEER_PENALTY: Duration = Duration::from_millis(800);

/// A host that can be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it answers followers.
    pub address: SocketAddr,
}

/// Where to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another host, at its address for peers.
    Peer(SocketAddr),
}

/// Chooses the source and remembers which ones failed.
///
/// The first host of a failure domain, by name, watches the store and the others follow the first
/// one that answers. A host whose news is old asks the store itself, and then hosts of other failure
/// domains: those that it would follow otherwise may have lost the store together.
#[derive(Debug)]
pub struct Sources {
    own: Peer,
    seeds: Vec<SocketAddr>,
    failed: BTreeMap<Source, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    until: Instant,
    penalty: Duration,
}

impl Sources {
    /// Creates the choice of the host `own`, with addresses to try before any host is known.
    pub fn new(own: Peer, seeds: Vec<SocketAddr>) -> Self {
        Self { own, seeds, failed: BTreeMap::new() }
    }

    /// Returns the best source that is not being left alone, given whether the news is old.
    ///
    /// # Errors
    ///
    /// Returns the time at which the first source may be tried again if none may be now.
    pub fn choose(&self, now: Instant, peers: &[Peer], old: bool) -> Result<Source, Instant> {
        let order = if old { self.order_of_old(peers) } else { self.order(peers) };
        let free = |source: &&Source| self.blocked_until(**source).is_none_or(|at| at <= now);
        match order.iter().find(free) {
            Some(source) => Ok(*source),
            None => Err(order.iter().filter_map(|source| self.blocked_until(*source)).min())
                .map_err(|at| at.unwrap_or(now)),
        }
    }

    /// Notes that a source failed or had old news only; `draw` in 0..1 spreads the hosts' retries.
    pub fn failed(&mut self, now: Instant, source: Source, draw: f64) {
        let most = match source {
            Source::Store => MOST_STORE_PENALTY,
            Source::Peer(_) => MOST_PEER_PENALTY,
        };
        let doubled = |failure: &Failure| (failure.penalty * 2).min(most);
        let penalty = self.failed.get(&source).map_or(FIRST_PENALTY, doubled);
        let until = now + penalty.mul_f64(0.75 + 0.5 * draw);
        self.failed.insert(source, Failure { until, penalty });
    }

    /// Notes that a source had fresh news.
    pub fn succeeded(&mut self, source: Source) {
        self.failed.remove(&source);
    }

    /// Returns whether a source failed when it was last tried, so that it should only be asked what
    /// it can answer at once.
    pub fn is_suspect(&self, source: Source) -> bool {
        self.failed.contains_key(&source)
    }

    fn blocked_until(&self, source: Source) -> Option<Instant> {
        self.failed.get(&source).map(|failure| failure.until)
    }

    /// Orders the sources of a host whose news is old: earlier hosts of its failure domain come last.
    fn order_of_old(&self, peers: &[Peer]) -> Vec<Source> {
        let mut order = self.order(peers);
        let store = order.iter().position(|source| *source == Source::Store).unwrap_or(0);
        order.rotate_left(store);
        order
    }

    /// Orders the sources: earlier hosts of the own failure domain, the store, hosts of other failure
    /// domains, and the later ones of the own, which follow this host themselves.
    fn order(&self, peers: &[Peer]) -> Vec<Source> {
        let others = || peers.iter().filter(|peer| peer.name != self.own.name);
        let near = |peer: &&Peer| peer.domain == self.own.domain;
        let earlier = |peer: &&Peer| near(peer) && peer.name < self.own.name;
        // Hosts differ in whom they ask first, so that one host is not asked by all.
        let spread = |peer: &Peer| xxh3_64(format!("{} {}", self.own.name, peer.name).as_bytes());
        let mut first: Vec<&Peer> = others().filter(earlier).collect();
        first.sort_by(|a, b| a.name.cmp(&b.name));
        let mut rest: Vec<&Peer> = others().filter(|peer| !earlier(peer)).collect();
        rest.sort_by_cached_key(|peer| (near(peer), spread(peer)));
        let peer = |peer: &Peer| Source::Peer(peer.address);
        let mut order: Vec<Source> = first.into_iter().map(peer).collect();
        order.push(Source::Store);
        order.extend(rest.into_iter().map(peer));
        let own = self.own.address;
        let seeds = self.seeds.iter().filter(|seed| **seed != own).map(|seed| Source::Peer(*seed));
        for seed in seeds {
            if !order.contains(&seed) {
                order.push(seed);
            }
        }
        order
    }
}
