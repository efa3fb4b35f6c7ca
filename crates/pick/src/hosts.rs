//! Division of upstreams' rate limits among the hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::rank;

/// Fraction of a limit that is divided among its main senders. The other hosts divide the rest.
const MAIN_RATIO: f64 = 0.9;

/// Maximum number of main senders for each request per second of a limit. Each of them may send one
/// request early, so their number is bounded by what the limit allows within seconds.
const MAX_SENDERS_PER_RATE: f64 = 2.0;

/// Rate that hosts assume for a lower limit, in requests per second, so that they learn of its end.
const MIN_LIMIT: f64 = 0.1;

/// Time for which a host keeps its part of the limits after it was last seen. Hosts that disagree
/// about the list of hosts for a moment then exceed no limit.
const HOST_TTL: Duration = Duration::from_secs(20);

/// Fraction of an upstream's connection limit that all hosts together use. The rest is reserved for
/// times when hosts come and go, because they then disagree about the number of hosts for a moment.
const CONNECTION_LIMIT_RATIO: f64 = 0.85;

/// Returns how many connections each of `dialers` hosts may open to an upstream that accepts `limit`
/// of all hosts together; at least one.
pub fn connection_share(limit: u32, dialers: usize) -> usize {
    let share = f64::from(limit) * CONNECTION_LIMIT_RATIO / dialers.max(1) as f64;
    (share as usize).max(1)
}

/// The hosts among which the rate limits of upstreams are divided.
///
/// Hosts do not coordinate before they send. Each takes a fixed part of every limit, which it
/// derives from the list of hosts: the advertised hosts, which get the callers' requests, divide
/// most of it evenly, and the others the rest. If the limit is too low for all advertised hosts,
/// those that rank first for the upstream are its main senders.
#[derive(Debug)]
pub struct Hosts {
    own: Box<str>,
    /// When each advertised host was last seen as such.
    advertised: BTreeMap<Box<str>, Instant>,
    others: usize,
}

impl Hosts {
    /// Creates a list without hosts, as seen by the host `own`.
    pub fn new(own: &str) -> Self {
        Self { own: own.into(), advertised: BTreeMap::new(), others: 0 }
    }

    /// Replaces the names of the advertised hosts and the total number of hosts.
    pub fn update(&mut self, now: Instant, advertised: &[Box<str>], total: usize) {
        self.advertised.extend(advertised.iter().map(|name| (name.clone(), now)));
        self.advertised.retain(|_, seen| now.saturating_duration_since(*seen) < HOST_TTL);
        self.others = total.saturating_sub(advertised.len());
    }

    /// Returns this host's part of the rate limit that an upstream has stated. Both are in requests
    /// per second.
    pub fn rate(&self, upstream: &str, limit: f64) -> f64 {
        let limit = limit.max(MIN_LIMIT);
        let max_senders = (limit * MAX_SENDERS_PER_RATE).max(1.0) as usize;
        let senders = self.advertised.len().min(max_senders);
        let names = || self.advertised.keys().map(|name| &**name);
        let is_sender = self.advertised.contains_key(&self.own)
            && rank::rank(upstream, &self.own, names()) < senders;
        if is_sender {
            return limit * MAIN_RATIO / senders as f64;
        }
        let rest = self.advertised.len() - senders + self.others;
        limit * (1.0 - MAIN_RATIO) / rest.max(1) as f64
    }
}
