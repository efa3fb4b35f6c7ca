//! How many requests beyond the first may go to one service in any span of time.

use std::time::{Duration, Instant};

/// Steps into which the span is cut; the sum covers one step more than the span, so that any
/// sliding span is covered.
const STEPS: usize = 20;

/// Part of the limit that hedges leave to retries, which save a part that is lost otherwise.
const HEDGE_RESERVE: f64 = 0.25;

/// Part of the limit that a retry leaves to others while the answer can do without its part.
const SPARE_RESERVE: f64 = 0.3;

/// What an extra request is for. Needs differ in how much of the limit they leave to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Without it there will be no answer.
    RequiredRetry,
    /// Without it the answer will be late, or miss a part.
    Hedge,
    /// Without it the answer will miss a part that it can do without.
    OptionalRetry,
}

impl Purpose {
    fn reserve(self) -> f64 {
        match self {
            Self::RequiredRetry => 0.0,
            Self::Hedge => HEDGE_RESERVE,
            Self::OptionalRetry => SPARE_RESERVE,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    extras: u32,
}

/// The extra requests that this host may send to one service.
///
/// The limit holds for all hosts together. Each host keeps to a ratio of its own requests and to an
/// equal share of the slack, so that none needs to ask another; see `docs/design/hedging.md`.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    origin: Instant,
    span: Duration,
    ratio: f64,
    slack: f64,
    steps: [Step; STEPS + 1],
}

impl WindowBudget {
    /// Creates an allowance of `ratio` of the requests plus `slack` in any `span`.
    pub fn new(now: Instant, span: Duration, ratio: f64, slack: f64) -> Self {
        Self { origin: now, span, ratio, slack, steps: [Step::default(); STEPS + 1] }
    }

    /// Replaces the share of the slack, because the number of hosts has changed.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts the first sending of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Takes one extra request if the limit has room for this need.
    pub fn try_take(&mut self, now: Instant, need: Purpose) -> bool {
        let allowed = self.limit(now) * (1.0 - need.reserve());
        if f64::from(self.extras(now)) + 1.0 > allowed {
            return false;
        }
        self.step(now).extras += 1;
        true
    }

    fn limit(&self, now: Instant) -> f64 {
        // The oldest step lies partly outside of the span, so its requests do not count.
        let first = self.number(now).saturating_sub(STEPS as u64 - 1);
        let recent = self.steps.iter().filter(|step| step.number >= first);
        let requests: u32 = recent.map(|step| step.requests).sum();
        f64::from(requests) * self.ratio + self.slack
    }

    fn extras(&self, now: Instant) -> u32 {
        let first = self.number(now).saturating_sub(STEPS as u64);
        let recent = self.steps.iter().filter(|step| step.number >= first);
        recent.map(|step| step.extras).sum()
    }

    fn step(&mut self, now: Instant) -> &mut Step {
        let number = self.number(now);
        let step = &mut self.steps[(number % (STEPS as u64 + 1)) as usize];
        if step.number != number {
            *step = Step { number, ..Step::default() };
        }
        step
    }

    /// Returns the number of the present step; the first one is above all unused ones.
    fn number(&self, now: Instant) -> u64 {
        let step = self.span.as_micros() / STEPS as u128;
        let age = now.saturating_duration_since(self.origin).as_micros();
        (age / step.max(1)) as u64 + STEPS as u64 + 2
    }
}
