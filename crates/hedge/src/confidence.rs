//! Confidence that a query does not crash the upstreams that run it.

use std::time::{Duration, Instant};

/// Number of failed attempts from which a query gets no more while none of its parts is answered.
const MAX_UNANSWERED_FAILURES: usize = 3;

/// What the attempts of a query have shown so far.
///
/// An answer to any part shows that the query is not the cause of failures. Until then, each further
/// attempt may crash one more upstream, and retries and hedges would spread it to all replicas.
#[derive(Clone, Copy, Debug)]
pub struct Confidence {
    parts: usize,
    is_probe: bool,
    answers: usize,
    failures: usize,
    /// Time of the next hedge while no part is answered.
    next_hedge: Option<Instant>,
}

impl Confidence {
    /// Starts a query of `parts` parts. The first part of a probe must be answered before another is
    /// sent.
    pub fn new(parts: usize, is_probe: bool) -> Self {
        Self { parts, is_probe, answers: 0, failures: 0, next_hedge: None }
    }

    /// Records that a part was answered.
    pub fn answered(&mut self) {
        self.answers += 1;
    }

    /// Records that an attempt which may have run has ended without a usable answer.
    pub fn failed(&mut self) {
        self.failures += 1;
    }

    /// Records that a hedge is sent; `delay` is the hedge delay.
    pub fn hedged(&mut self, now: Instant, delay: Duration) {
        self.next_hedge = Some(now + delay);
    }

    /// Returns whether all attempts so far may have failed because of the query itself.
    pub fn is_doubtful(&self) -> bool {
        self.answers == 0 && (self.is_probe || self.parts > 1 && self.failures > 0)
    }

    /// Returns whether a doubtful query gets no more attempts.
    pub fn is_lost(&self) -> bool {
        self.failures >= if self.is_probe { 1 } else { MAX_UNANSWERED_FAILURES }
    }

    /// Returns whether several attempts have failed and none was answered.
    pub fn has_only_failed(&self) -> bool {
        self.answers == 0 && self.failures >= MAX_UNANSWERED_FAILURES
    }

    /// Returns whether a hedge may be sent now. While no part of a query is answered, one is sent in
    /// each hedge delay: enough to show that other upstreams answer.
    pub fn allows_hedge(&self, now: Instant) -> bool {
        let is_proven = self.parts == 1 || self.answers > 0;
        !self.is_doubtful() && (is_proven || self.next_hedge.is_none_or(|next| now >= next))
    }
}
