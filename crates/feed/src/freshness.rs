//! How old a host's news of the store is.

use std::time::{Duration, Instant};

/// When the store was last heard, directly or through other hosts.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    fresh_for: Duration,
    heard: Option<Instant>,
    refused: Option<Instant>,
}

impl Freshness {
    /// Creates the state of a host that has heard nothing yet; news stays fresh for `fresh_for`.
    pub fn new(fresh_for: Duration) -> Self {
        Self { fresh_for, heard: None, refused: None }
    }

    /// Notes that the store did not answer or refused a call.
    pub fn record_failure(&mut self, now: Instant) {
        self.refused = Some(now);
    }

    /// Takes news that the store gave at `at`. Returns whether the store was away before, so that
    /// entries which this news removes may only have lapsed.
    ///
    /// This must be asked before the news is applied: a follower gets the removals together with the
    /// first news after an outage.
    pub fn record_contact(&mut self, now: Instant, at: Instant, direct: bool) -> bool {
        let old = self.heard.is_some() && self.remaining(now).is_zero();
        // A store that answered others since it refused this host was not away.
        if !direct && self.refused.is_some_and(|refused| refused < at) {
            self.refused = None;
        }
        let away = old || (direct && self.refused.take().is_some());
        self.heard = self.heard.max(Some(at));
        away
    }

    /// Returns how long the news stays fresh, zero if it is old or if there is none yet.
    pub fn remaining(&self, now: Instant) -> Duration {
        let until = self.heard.map(|heard| heard + self.fresh_for);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the age of the news, if there is any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_duration_since(heard))
    }
}
