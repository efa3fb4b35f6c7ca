//! Attempt budget of one service within a sliding time window.

use std::time::{Duration, Instant};

/// Number of buckets into which the window is divided. Extra attempts are summed over one bucket
/// more than the window, so that the budget holds for every window wherever it begins.
const BUCKETS: usize = 20;

/// Fraction of the budget that hedges leave to retries. A part that is not retried is lost, while
/// one that is not hedged may still be answered.
const HEDGE_RESERVE_RATIO: f64 = 0.25;

/// Fraction of the budget that the retry of an optional part leaves to other extra attempts.
const OPTIONAL_RESERVE_RATIO: f64 = 0.3;

/// Purpose of an extra attempt. It decides which fraction of the budget must be left for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Retry of a part without which the query fails.
    RequiredRetry,
    /// Second attempt for a straggler. Without it the answer may be late or miss a part.
    Hedge,
    /// Retry of a part that the answer may leave out.
    OptionalRetry,
}

impl Purpose {
    fn reserve_ratio(self) -> f64 {
        match self {
            Self::RequiredRetry => 0.0,
            Self::Hedge => HEDGE_RESERVE_RATIO,
            Self::OptionalRetry => OPTIONAL_RESERVE_RATIO,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    extras: u32,
}

/// Budget for the extra attempts that this host may send to one service.
///
/// The operators' limit holds for all hosts together. Each host keeps to a ratio of its own
/// requests plus its part of the slack, so that hosts need not coordinate; see
/// `docs/design/hedging.md`.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    origin: Instant,
    window: Duration,
    ratio: f64,
    slack: f64,
    buckets: [Bucket; BUCKETS + 1],
}

impl WindowBudget {
    /// Creates a budget of `ratio` extra attempts per request plus `slack` extra attempts in any
    /// `window`.
    pub fn new(now: Instant, window: Duration, ratio: f64, slack: f64) -> Self {
        Self { origin: now, window, ratio, slack, buckets: [Bucket::default(); BUCKETS + 1] }
    }

    /// Replaces the number of extra attempts that do not depend on the requests, because the number
    /// of hosts has changed.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Counts an extra attempt and returns true, or returns false if the budget has no room for
    /// this purpose.
    pub fn try_take(&mut self, now: Instant, purpose: Purpose) -> bool {
        let allowed = self.limit(now) * (1.0 - purpose.reserve_ratio());
        if f64::from(self.extras(now)) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).extras += 1;
        true
    }

    fn limit(&self, now: Instant) -> f64 {
        // The oldest bucket lies partly outside of the window, so its requests do not count.
        let oldest = self.number(now).saturating_sub(BUCKETS as u64 - 1);
        let recent = self.buckets.iter().filter(|bucket| bucket.number >= oldest);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        f64::from(requests) * self.ratio + self.slack
    }

    fn extras(&self, now: Instant) -> u32 {
        let oldest = self.number(now).saturating_sub(BUCKETS as u64);
        let recent = self.buckets.iter().filter(|bucket| bucket.number >= oldest);
        recent.map(|bucket| bucket.extras).sum()
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = self.number(now);
        let bucket = &mut self.buckets[(number % (BUCKETS as u64 + 1)) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }

    /// Returns the number of the bucket at `now`. Numbers start so high that buckets never used,
    /// which have the number 0, are always too old to count.
    fn number(&self, now: Instant) -> u64 {
        let length = self.window.as_micros() / BUCKETS as u128;
        let age = now.saturating_duration_since(self.origin).as_micros();
        (age / length.max(1)) as u64 + BUCKETS as u64 + 2
    }
}
