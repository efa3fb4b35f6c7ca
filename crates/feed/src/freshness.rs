//! Freshness of a host's copy of the store.

use std::time::{Duration, Instant};

/// Time before the copy becomes stale at which another host must send its answer, for network delay
/// and slow processors.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

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
}

impl Freshness {
    /// Creates the state of a host without any contact yet; data stays fresh for `fresh_for`.
    pub fn new(fresh_for: Duration) -> Self {
        Self { fresh_for, last_contact: None, last_failure: None }
    }

    /// Records that the store did not answer this host or refused its call.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Records data that the store sent at `at`, to this host if `direct` and to another host
    /// otherwise. Returns whether the store was unavailable before and is available again. The
    /// leases of entries that this data removes may then have expired because their owners could
    /// not renew them.
    ///
    /// Data of another host that is stale itself does not show that the store is available.
    ///
    /// Call this before the data is applied: a follower gets the removals together with the first
    /// data after an outage.
    pub fn record_contact(&mut self, now: Instant, at: Instant, direct: bool) -> bool {
        let stale = self.last_contact.is_some() && self.remaining(now).is_zero();
        // If the store has answered another host since the failure, it was not unavailable.
        if !direct && self.last_failure.is_some_and(|failed_at| failed_at < at) {
            self.last_failure = None;
        }
        self.last_contact = self.last_contact.max(Some(at));
        let refreshed = stale && !self.remaining(now).is_zero();
        let had_failed = direct && self.last_failure.take().is_some();
        refreshed || had_failed
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

    /// Returns the time since the last contact, or `None` without any contact yet.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_contact.map(|at| now.saturating_duration_since(at))
    }
}
