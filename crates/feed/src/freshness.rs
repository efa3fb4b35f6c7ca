//! Freshness of a host's copy of the store.

use std::time::{Duration, Instant};

/// Time before the copy becomes stale at which another host must send its answer, for network delay
/// and slow processors.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Time after the return of the store within which upstreams write the entries that they could not write
/// before.
const ENTRY_RETURN_TIME: Duration = Duration::from_millis(2_000);

/// State from which the freshness of the copy is computed and outages of the store are detected.
///
/// It holds the time of the last contact with the store, direct or through other hosts, the time of
/// the last failed call of this host, until a later contact clears it, and the time for which data
/// stays fresh.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    fresh_for: Duration,
    last_contact: Option<Instant>,
    last_failure: Option<Instant>,
    /// The contact before the last one.
    previous_contact: Option<Instant>,
    /// Whether a call of this host had failed before the last contact, which shows an outage.
    outage_observed: bool,
    /// The first contact, or the first one after the store may have been unavailable.
    recovered: Option<Instant>,
    confirmed: Option<Instant>,
}

impl Freshness {
    /// Creates the state of a host without any contact yet; data stays fresh for `fresh_for`.
    pub fn new(fresh_for: Duration) -> Self {
        Self {
            fresh_for,
            last_contact: None,
            last_failure: None,
            previous_contact: None,
            outage_observed: false,
            recovered: None,
            confirmed: None,
        }
    }

    /// Records that the store did not answer this host or refused its call.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Records data that the store sent at `at`, to this host if `direct` and to another host
    /// otherwise. Returns whether the store may have been unavailable before and is available again.
    /// The leases of entries that this data removes may then have expired because their owners could
    /// not renew them. [`max_grace`](Self::max_grace) tells for how long such entries may stay.
    ///
    /// Data of another host that is stale itself does not show that the store is available.
    ///
    /// Call this before the data is applied: a follower gets the removals together with the first
    /// data after an outage.
    pub fn record_contact(&mut self, now: Instant, at: Instant, direct: bool) -> bool {
        let is_first = self.last_contact.is_none();
        let stale = !is_first && self.remaining(now).is_zero();
        // A failure after `at` may be the beginning of an outage that has not ended yet.
        let had_failed = self.last_failure.take_if(|failed_at| direct || *failed_at < at).is_some();
        self.previous_contact = self.last_contact;
        self.last_contact = self.last_contact.max(Some(at));
        let refreshed = stale && !self.remaining(now).is_zero();
        // If the store has answered another host soon after the failure, it was not unavailable.
        self.outage_observed = had_failed && (direct || refreshed);
        let recovered = refreshed || self.outage_observed;
        if recovered || is_first {
            self.recovered = Some(now);
        }
        if self.recovered.is_some_and(|since| at >= since + ENTRY_RETURN_TIME) {
            self.confirmed = self.last_contact;
        }
        recovered
    }

    /// Returns the longest time for which entries that the last data removes may stay in the view.
    /// `None` means that there is no limit, because a call of this host has shown an outage.
    ///
    /// A copy also becomes stale because the host that it comes from has lost the store, which was
    /// available all the time. Owners may then have removed entries at any time since the previous
    /// contact, and such removals must take effect within `max_propagation`.
    pub fn max_grace(&self, now: Instant, max_propagation: Duration) -> Option<Duration> {
        if self.outage_observed {
            return None;
        }
        let until = self.previous_contact.map(|contact| contact + max_propagation);
        Some(until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now)))
    }

    /// Returns how long the data stays fresh, or zero if it is stale or there is none yet.
    pub fn remaining(&self, now: Instant) -> Duration {
        let until = self.last_contact.map(|at| at + self.fresh_for);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the longest time for which another host may wait for changes, so that its answer
    /// arrives before the copy is stale.
    pub fn max_wait(&self, now: Instant) -> Duration {
        self.remaining(now).saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the time as of which the data shows all entries that upstreams have written or would have
    /// written, or `None` if that is not known for any time. While the store may have been unavailable, and
    /// until upstreams have had time to write again, this is the last time before.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Returns the time since the last contact, or `None` without any contact yet.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_contact.map(|at| now.saturating_duration_since(at))
    }
}
