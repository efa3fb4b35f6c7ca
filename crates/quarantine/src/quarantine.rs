//! Selection of the requests that are refused or sent with caution.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::recent::Recent;
use crate::suspects::Suspects;
use crate::{AttemptId, Fingerprint, Strike};

/// Number of crashes from which a request is refused.
pub const MIN_CRASHES: u32 = 3;

/// Maximum number of crashes that count of one attempt of a caller. All upstreams of a query may
/// crash at once for another reason, as when a failure domain is lost, so that a single attempt
/// proves little.
pub const MAX_CRASHES_PER_ATTEMPT: u32 = 2;

/// Time for which a crash counts. The store grants no longer leases.
pub const STRIKE_TTL: Duration = Duration::from_secs(600);

/// Maximum number of requests that are kept; the one that expires first makes room for another.
const MAX_REQUESTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    expires: Instant,
    /// Whether an upstream has answered the request since. The record is kept, so that the strike
    /// does not count again when another host reports it.
    refuted: bool,
}

impl Record {
    fn counts(&self, now: Instant) -> bool {
        self.crashes > 0 && !self.refuted && now < self.expires
    }
}

/// The requests that were on upstreams when these crashed.
///
/// A request that an upstream answers is not the cause, so an answer refutes all strikes known by
/// then, and those that become known up to some seconds later. What remains is a request that has
/// crashed upstreams and was not answered.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    answered: Recent,
    suspects: Suspects,
    requests: BTreeMap<Fingerprint, BTreeMap<AttemptId, Record>>,
}

impl Quarantine {
    /// Records that an upstream may have crashed during an attempt of a caller. An answer from now on
    /// refutes a crash that is recorded later. [`end_check`](Self::end_check) must follow.
    pub fn start_check(&mut self, now: Instant, request: Fingerprint, attempt: AttemptId) {
        self.record(now, request, attempt);
    }

    /// Forgets a check that has found no crash.
    pub fn end_check(&mut self, request: Fingerprint, attempt: AttemptId) {
        let Some(attempts) = self.requests.get_mut(&request) else { return };
        if attempts.get(&attempt).is_some_and(|record| record.crashes == 0) {
            attempts.remove(&attempt);
        }
        if attempts.is_empty() {
            self.requests.remove(&request);
        }
    }

    /// Records that an upstream has crashed during an attempt of a caller. Returns whether the
    /// crash counts, which it does not beyond [`MAX_CRASHES_PER_ATTEMPT`].
    pub fn record_crash(&mut self, now: Instant, request: Fingerprint, attempt: AttemptId) -> bool {
        let record = self.record(now, request, attempt);
        let counts = record.crashes < MAX_CRASHES_PER_ATTEMPT;
        record.crashes += u32::from(counts);
        counts
    }

    /// Records that an upstream has answered the request.
    pub fn record_answer(&mut self, now: Instant, request: Fingerprint) {
        self.answered.insert(now, request);
        self.suspects.clear(request);
        let attempts = self.requests.get_mut(&request).into_iter().flatten();
        attempts.for_each(|(_, record)| record.refuted = true);
    }

    /// Adds a strike that this or another host has reported.
    pub fn learn(&mut self, now: Instant, strike: Strike) {
        let record = self.record(now, strike.request, strike.attempt);
        record.crashes = record.crashes.max(strike.crashes.min(MAX_CRASHES_PER_ATTEMPT));
    }

    /// Makes a request a suspect for some seconds, because a connection to an upstream broke during an
    /// attempt of a caller, or an upstream crashed. Returns whether that is new; a request that was
    /// answered a short time ago is no suspect. With [`MIN_CRASHES`], the request is refused meanwhile.
    pub fn suspect(&mut self, now: Instant, strike: Strike) -> bool {
        !self.answered.contains(now, strike.request) && self.suspects.insert(now, strike)
    }

    /// Returns since when a request has been a suspect whose crashes are not yet certain, or `None` if
    /// it is not.
    pub fn suspected_since(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        self.suspects.since(now, request)
    }

    /// Returns why a request is a suspect, for a host that may not know it yet.
    pub fn evidence(&self, now: Instant, request: Fingerprint) -> Vec<Strike> {
        let attempts = self.requests.get(&request).into_iter().flat_map(BTreeMap::keys);
        let strikes = attempts.filter_map(|attempt| self.strike(now, request, *attempt));
        strikes.chain(self.suspects.of(now, request).map(|(strike, _)| strike)).collect()
    }

    /// Returns the strike of an attempt, unless it was refuted or has expired.
    pub fn strike(&self, now: Instant, request: Fingerprint, attempt: AttemptId) -> Option<Strike> {
        let record = self.requests.get(&request)?.get(&attempt)?;
        record.counts(now).then_some(Strike { request, attempt, crashes: record.crashes })
    }

    /// Returns whether the request may be the cause of a crash, which may not be certain yet. Such a
    /// request should be sent to one upstream first.
    pub fn is_suspect(&self, now: Instant, request: Fingerprint) -> bool {
        self.records(now, request).next().is_some()
            || self.suspects.of(now, request).next().is_some()
    }

    /// Returns whether an attempt that was sent at `sent` was a probe, since a crash during another
    /// attempt was known by then.
    pub fn was_probe(&self, sent: Instant, request: Fingerprint, attempt: AttemptId) -> bool {
        let attempts = self.requests.get(&request).into_iter().flatten();
        let mut others = attempts.filter(|(other, _)| **other != attempt);
        others.any(|(_, record)| record.counts(sent) && record.expires <= sent + STRIKE_TTL)
    }

    /// Returns until when the request is refused, or `None` if it is not.
    pub fn refused_until(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        self.strikes_until(now, request).or_else(|| self.suspicions_until(now, request))
    }

    /// Returns until when the strikes alone refuse the request.
    fn strikes_until(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        let mut records: Vec<&Record> = self.records(now, request).collect();
        records.sort_by_key(|record| std::cmp::Reverse(record.expires));
        let mut crashes = 0;
        let last = records.into_iter().find(|record| {
            crashes += record.crashes;
            crashes >= MIN_CRASHES
        });
        last.map(|record| record.expires)
    }

    /// Returns until when the request is refused because of crashes that may not be strikes yet.
    fn suspicions_until(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        let until = self.suspects.of(now, request).map(|(_, expires)| expires).max()?;
        let mut crashes: BTreeMap<AttemptId, u32> = BTreeMap::new();
        for strike in self.evidence(now, request) {
            let known = crashes.entry(strike.attempt).or_default();
            *known = strike.crashes.max(*known);
        }
        (crashes.values().sum::<u32>() >= MIN_CRASHES).then_some(until)
    }

    fn records(&self, now: Instant, request: Fingerprint) -> impl Iterator<Item = &Record> {
        let records = self.requests.get(&request).into_iter().flat_map(BTreeMap::values);
        records.filter(move |record| record.counts(now))
    }

    /// Returns the record of an attempt, which is created if there is none or it has expired.
    fn record(&mut self, now: Instant, request: Fingerprint, attempt: AttemptId) -> &mut Record {
        if !self.requests.contains_key(&request) {
            self.make_room(now);
        }
        let refuted = self.answered.contains(now, request);
        let new = Record { crashes: 0, expires: now + STRIKE_TTL, refuted };
        let attempts = self.requests.entry(request).or_default();
        attempts.retain(|_, record| now < record.expires);
        attempts.entry(attempt).or_insert(new)
    }

    fn make_room(&mut self, now: Instant) {
        self.requests.retain(|_, attempts| attempts.values().any(|record| now < record.expires));
        let expires =
            |attempts: &BTreeMap<_, Record>| attempts.values().map(|record| record.expires).max();
        while self.requests.len() >= MAX_REQUESTS {
            let first = self.requests.iter().min_by_key(|(_, attempts)| expires(attempts));
            let Some(first) = first.map(|(request, _)| *request) else { return };
            self.requests.remove(&first);
        }
    }
}
