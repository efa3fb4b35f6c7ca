//! Election of the host that may send to a cold upstream.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::rank;

/// Time for which a host must have been first before it acts as such. Hosts learn of changes at different
/// moments; this is longer than the time after which a host knows that its copy of the store is stale.
pub const HANDOVER_TIME: Duration = Duration::from_millis(2_000);

#[derive(Clone, Debug)]
struct Candidate {
    domain: Box<str>,
    is_listed: bool,
    /// When the host was listed, or ceased to be.
    since: Instant,
}

/// The hosts of which one is elected for each upstream, preferably one in the failure domain of the
/// upstream.
///
/// Hosts do not coordinate: each ranks the listed hosts by rendezvous hashing. While their lists differ,
/// several may rank first. So a host only acts once it has ranked first for [`HANDOVER_TIME`], before
/// those that have left the list as well, and only while it is listed itself. Then no two hosts act at a
/// time, as long as each list is at most that old. A host that sees no list, or is missing in it, knows
/// nothing about the others and never acts.
#[derive(Debug)]
pub struct Election {
    own: Box<str>,
    candidates: BTreeMap<Box<str>, Candidate>,
}

impl Election {
    /// Creates the state of the host `own`, which has not seen a list yet.
    pub fn new(own: &str) -> Self {
        Self { own: own.into(), candidates: BTreeMap::new() }
    }

    /// Replaces the list of hosts, as pairs of name and failure domain.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        hosts: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) {
        let listed: BTreeMap<&str, &str> = hosts.into_iter().collect();
        for (name, candidate) in &mut self.candidates {
            let is_listed = listed.get(&**name) == Some(&&*candidate.domain);
            if is_listed != candidate.is_listed {
                (candidate.is_listed, candidate.since) = (is_listed, now);
            }
        }
        for (name, domain) in listed {
            let is_known = |candidate: &Candidate| candidate.is_listed;
            if !self.candidates.get(name).is_some_and(is_known) {
                let candidate = Candidate { domain: domain.into(), is_listed: true, since: now };
                self.candidates.insert(name.into(), candidate);
            }
        }
        self.candidates.retain(|_, candidate| {
            candidate.is_listed || now.saturating_duration_since(candidate.since) < HANDOVER_TIME
        });
    }

    /// Returns the time from which this host may act for an upstream in a failure domain, or `None` while
    /// another host ranks before it or it is not listed.
    pub fn first_from(&self, upstream: &str, domain: &str) -> Option<Instant> {
        let own = self.candidates.get(&self.own).filter(|own| own.is_listed)?;
        let is_local = |candidate: &Candidate| *candidate.domain == *domain;
        let own_weight = (is_local(own), rank::weight(upstream, &self.own));
        let mut from = own.since;
        for (name, candidate) in &self.candidates {
            if (is_local(candidate), rank::weight(upstream, name)) <= own_weight {
                continue;
            }
            if candidate.is_listed {
                return None;
            }
            from = from.max(candidate.since);
        }
        Some(from + HANDOVER_TIME)
    }
}
