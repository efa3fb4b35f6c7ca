//! Attempts that one request, or one part of a query, may still make.

/// Maximum number of refusals that are followed by another attempt. Each refusal costs a round trip
/// and one more request at an upstream.
const MAX_REFUSALS: u32 = 4;

/// Maximum number of attempts that are repeated because their connection turned out to be closed
/// before anything was written to it.
const MAX_UNSENT: u32 = 4;

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was written, so the request cannot have arrived.
    Unsent,
    /// Nothing was written, because the upstream must not get a request now. The caller asks no such
    /// upstream again at once, so these failures need no limit.
    Withheld,
    /// The upstream stated that it has not run the request.
    Refused,
    /// The request may have run.
    Unknown,
}

/// An upstream that may have run the request.
#[derive(Clone, Debug)]
struct Reached {
    upstream: Box<str>,
    /// Whether an earlier attempt there ended without proof that it has not run.
    unknown: bool,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    /// Maximum number of upstreams that may run the request.
    max: u32,
    /// Attempts in flight.
    running: u32,
    /// Attempts that may have arrived at an upstream, including refused ones.
    arrivals: u32,
    refusals: u32,
    unsent: u32,
    /// Upstreams that may have run the request.
    reached: Vec<Reached>,
}

impl Attempts {
    /// Creates the state of a request that may run on at most `max_upstreams` upstreams, or on at
    /// most one if it is not idempotent.
    pub fn new(idempotent: bool, max_upstreams: u32) -> Self {
        Self {
            idempotent,
            max: max_upstreams.max(1),
            running: 0,
            arrivals: 0,
            refusals: 0,
            unsent: 0,
            reached: Vec::new(),
        }
    }

    /// Returns whether the request may be sent to `upstream` now.
    pub fn may_send(&self, upstream: &str) -> bool {
        if !self.idempotent {
            return self.reached.is_empty();
        }
        let known = self.reached.iter().any(|reached| *reached.upstream == *upstream);
        known || (self.reached.len() as u32) < self.max
    }

    /// Returns whether a hedge may be sent: exactly one attempt is in flight, and another upstream
    /// may run the request.
    pub fn may_hedge(&self) -> bool {
        self.idempotent && self.running == 1 && (self.reached.len() as u32) < self.max
    }

    /// Returns whether the next attempt is an extra one, because an earlier one may have arrived.
    pub fn is_extra(&self) -> bool {
        self.arrivals > 0
    }

    /// Records the start of an attempt.
    pub fn sent(&mut self, upstream: &str) {
        self.running += 1;
        self.arrivals += 1;
        if !self.reached.iter().any(|reached| *reached.upstream == *upstream) {
            self.reached.push(Reached { upstream: upstream.into(), unknown: false });
        }
    }

    /// Records the end of an attempt without an answer; returns whether another attempt may follow.
    pub fn ended(&mut self, upstream: &str, failure: Failure) -> bool {
        self.running -= 1;
        match failure {
            Failure::Unsent => {
                self.arrivals -= 1;
                self.unsent += 1;
                self.forget(upstream);
                self.unsent <= MAX_UNSENT
            }
            Failure::Withheld => {
                self.arrivals -= 1;
                self.forget(upstream);
                true
            }
            Failure::Refused => {
                self.refusals += 1;
                self.forget(upstream);
                self.refusals <= MAX_REFUSALS && (self.idempotent || self.reached.is_empty())
            }
            // When the attempts at all allowed upstreams have failed, an upstream that has already
            // been tried may be tried again.
            Failure::Unknown => {
                let reached = self.reached.iter_mut();
                reached
                    .filter(|reached| *reached.upstream == *upstream)
                    .for_each(|reached| reached.unknown = true);
                self.idempotent && self.arrivals < self.max + MAX_REFUSALS
            }
        }
    }

    /// Returns whether an attempt is in flight.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Returns whether no upstream can have run the request.
    pub fn is_not_run(&self) -> bool {
        self.reached.is_empty()
    }

    /// Removes an upstream whose latest attempt has not run, unless an earlier one there may have.
    fn forget(&mut self, upstream: &str) {
        self.reached.retain(|reached| *reached.upstream != *upstream || reached.unknown);
    }
}
