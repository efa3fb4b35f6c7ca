//! Selection of the source from which a host reads the store's entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Backoff after the first failure of a source; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff for the store. An outage may be long and each call to the store is billed, but a
/// host must have fresh data again within four seconds of the repair of its connection to the
/// store.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(2_000);

/// Maximum backoff for another host, to which a request costs nothing but processor time.
const MAX_PEER_BACKOFF: Duration = Duration::from_millis(800);

/// Another host from which entries can be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub name: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Address that serves followers.
    pub address: SocketAddr,
}

/// A source of the store's entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another host, by its address for followers.
    Peer(SocketAddr),
}

/// Selects the source of this host and keeps the backoff of the sources that failed.
///
/// The first host of a failure domain, by name, watches the store, and each other host follows the
/// first host before it that answers. A host that is not registered yet
/// follows any of its domain. A host whose data is stale asks the store itself and then
/// hosts of other failure domains, because the hosts that it follows otherwise may have lost the
/// store at the same time.
#[derive(Debug)]
pub struct Sources {
    own: Peer,
    seeds: Vec<SocketAddr>,
    failed: BTreeMap<Source, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    until: Instant,
    backoff: Duration,
}

impl Sources {
    /// Creates the selection for the host `own`.
    ///
    /// `seeds` are addresses of hosts for a host that knows no peers yet. Seeds are tried after the
    /// store and all known peers, except that a host whose data is stale tries the earlier hosts of
    /// its failure domain after the seeds.
    pub fn new(own: Peer, seeds: Vec<SocketAddr>) -> Self {
        Self { own, seeds, failed: BTreeMap::new() }
    }

    /// Returns the first source, in order of preference, that is not in backoff. `stale` tells
    /// whether the data of this host is stale.
    ///
    /// # Errors
    ///
    /// Returns the earliest end of a backoff if every source is in backoff.
    pub fn choose(&self, now: Instant, peers: &[Peer], stale: bool) -> Result<Source, Instant> {
        let order = if stale { self.stale_order(peers) } else { self.order(peers) };
        let available = |source: &&Source| self.backoff_until(**source).is_none_or(|at| at <= now);
        match order.iter().find(available) {
            Some(source) => Ok(*source),
            None => Err(order.iter().filter_map(|source| self.backoff_until(*source)).min())
                .map_err(|at| at.unwrap_or(now)),
        }
    }

    /// Records that a source failed or had only stale data, and puts it in backoff. `draw` is a
    /// random number in 0..1 that adds jitter of ±25 %, so that hosts do not retry at the same
    /// time.
    pub fn failed(&mut self, now: Instant, source: Source, draw: f64) {
        let max = match source {
            Source::Store => MAX_STORE_BACKOFF,
            Source::Peer(_) => MAX_PEER_BACKOFF,
        };
        let doubled = |failure: &Failure| (failure.backoff * 2).min(max);
        let backoff = self.failed.get(&source).map_or(INITIAL_BACKOFF, doubled);
        let until = now + backoff.mul_f64(0.75 + 0.5 * draw);
        self.failed.insert(source, Failure { until, backoff });
    }

    /// Records that a source had fresh data.
    pub fn succeeded(&mut self, source: Source) {
        self.failed.remove(&source);
    }

    /// Returns whether the last read from a source failed. Such a source should only get requests
    /// that it can answer without waiting for changes.
    pub fn is_suspect(&self, source: Source) -> bool {
        self.failed.contains_key(&source)
    }

    fn backoff_until(&self, source: Source) -> Option<Instant> {
        self.failed.get(&source).map(|failure| failure.until)
    }

    /// Returns the sources in order of preference for a host whose data is stale: earlier hosts of
    /// its failure domain come last, after the seeds.
    fn stale_order(&self, peers: &[Peer]) -> Vec<Source> {
        let mut order = self.order(peers);
        let store = order.iter().position(|source| *source == Source::Store).unwrap_or(0);
        order.rotate_left(store);
        order
    }

    /// Returns the sources in order of preference: earlier hosts of the own failure domain, the
    /// store, hosts of other failure domains, later hosts of the own domain, which follow this host
    /// themselves, and the seeds.
    fn order(&self, peers: &[Peer]) -> Vec<Source> {
        let others = || peers.iter().filter(|peer| peer.name != self.own.name);
        let local = |peer: &&Peer| peer.domain == self.own.domain;
        // Nobody follows a host that is not registered, so it may follow any.
        let registered = peers.iter().any(|peer| peer.name == self.own.name);
        let earlier = |peer: &&Peer| local(peer) && (!registered || peer.name < self.own.name);
        // Each host tries the remaining hosts in its own order, which spreads the load over them.
        let hash = |peer: &Peer| xxh3_64(format!("{} {}", self.own.name, peer.name).as_bytes());
        let mut preferred: Vec<&Peer> = others().filter(earlier).collect();
        preferred.sort_by(|a, b| a.name.cmp(&b.name));
        let mut rest: Vec<&Peer> = others().filter(|peer| !earlier(peer)).collect();
        rest.sort_by_cached_key(|peer| (local(peer), hash(peer)));
        let peer = |peer: &Peer| Source::Peer(peer.address);
        let mut order: Vec<Source> = preferred.into_iter().map(peer).collect();
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
