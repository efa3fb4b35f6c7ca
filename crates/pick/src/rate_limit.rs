//! Rate limit that an upstream states in its answers.

use std::time::{Duration, Instant};

/// Time for which unused requests accumulate, so that irregular arrivals can use the whole rate.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Maximum time between two requests, so that hosts with a tiny part of the limit learn of its end.
const MAX_SPACING: Duration = Duration::from_secs(600);

/// Minimum time between two requests, which an upstream does not notice.
const MIN_SPACING: Duration = Duration::from_micros(1);

/// Time after the last answer that stated the limit from which other hosts are no longer told about
/// it, since it may have ended.
const FRESH_TIME: Duration = Duration::from_secs(10);

/// Limit on the requests that this host may send to an upstream that has stated a rate limit.
///
/// An upstream states a limit for the requests of all hosts together, of which this host has a
/// part; see [`Hosts`](crate::Hosts). Requests are spaced by the generic cell rate algorithm, so
/// that any window of time `t` has at most `rate * (t + 250 ms) + 1` requests. The limit holds until
/// an answer without one, however long this host sends nothing: the first request after a pause
/// then shows whether the limit still exists.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    limit: f64,
    rate: f64,
    spacing: Duration,
    /// Time at which the next request is due if requests are evenly spaced.
    due: Instant,
    stated: Instant,
}

impl RateLimit {
    /// Creates the state of a limit that an answer has just stated. `limit` holds for all hosts
    /// together, `rate` for this host; both are in requests per second.
    pub fn new(now: Instant, limit: f64, rate: f64) -> Self {
        let spacing = spacing(rate);
        Self { limit, rate, spacing, due: now + spacing, stated: now }
    }

    /// Replaces this host's rate, because the limit or the hosts have changed. The time until the
    /// next request changes in the same ratio as the spacing, but is at most one spacing.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        let spacing = spacing(rate);
        let ratio = spacing.div_duration_f64(self.spacing);
        if self.due > now {
            self.due = now + (self.due - now).mul_f64(ratio).min(BURST_TIME + spacing);
        }
        (self.rate, self.spacing) = (rate, spacing);
    }

    /// Records that another answer has stated the limit `limit`, of which this host has `rate`.
    pub fn restate(&mut self, now: Instant, limit: f64, rate: f64) {
        self.limit = limit;
        self.stated = now;
        self.set_rate(now, rate);
    }

    /// Returns the limit for all hosts together, in requests per second.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns this host's rate, in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns whether an answer has stated the limit so recently that it is worth telling other
    /// hosts.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.stated) < FRESH_TIME
    }

    /// Returns whether the answer to a request that was sent at `sent` is newer than the last one
    /// that stated the limit, so that its silence about the limit ends it.
    pub fn is_lifted_by(&self, sent: Instant) -> bool {
        sent >= self.stated
    }

    /// Returns the earliest time, not before `now`, at which a request may be sent.
    pub fn available_at(&self, now: Instant) -> Instant {
        self.due.checked_sub(BURST_TIME).map_or(now, |due| due.max(now))
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: Instant) {
        self.due = self.due.max(now) + self.spacing;
    }
}

/// Returns the time until `waiting` requests have been sent to upstreams with the given rates of
/// this host, in requests per second. An upstream without a rate limit takes all of them at once.
pub fn queue_time(rates: impl IntoIterator<Item = Option<f64>>, waiting: usize) -> Duration {
    match rates.into_iter().sum::<Option<f64>>() {
        Some(rate) if waiting > 0 => {
            Duration::try_from_secs_f64(waiting as f64 / rate).unwrap_or(MAX_SPACING)
        }
        _ => Duration::ZERO,
    }
}

fn spacing(rate: f64) -> Duration {
    let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_SPACING);
    spacing.clamp(MIN_SPACING, MAX_SPACING)
}
