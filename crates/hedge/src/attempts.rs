//! Which sendings one request, or one part of a query, may still have.

/// Refusals after which a request is given up; each costs a round trip and an extra arrival.
const MOST_REFUSALS: u32 = 4;

/// Connections that may turn out to be closed before anything was written to them.
const MOST_UNSENT: u32 = 4;

/// How one sending ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was written, so nothing can have arrived.
    Unsent,
    /// The upstream said that it has not run the request.
    Refused,
    /// The request may have run.
    Unknown,
}

/// The sendings of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    most: u32,
    running: u32,
    arrivals: u32,
    refusals: u32,
    unsent: u32,
    reached: Vec<Box<str>>,
}

impl Attempts {
    /// Creates the state of a request that may run on `most` upstreams, and on one only unless it
    /// is idempotent.
    pub fn new(idempotent: bool, most: u32) -> Self {
        Self {
            idempotent,
            most: most.max(1),
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
        let known = self.reached.iter().any(|reached| **reached == *upstream);
        known || (self.reached.len() as u32) < self.most
    }

    /// Returns whether another copy may be sent while one is running.
    pub fn may_hedge(&self) -> bool {
        self.idempotent && self.running == 1 && (self.reached.len() as u32) < self.most
    }

    /// Returns whether the next sending is one beyond the first arrival.
    pub fn is_extra(&self) -> bool {
        self.arrivals > 0
    }

    /// Counts a sending.
    pub fn sent(&mut self, upstream: &str) {
        self.running += 1;
        self.arrivals += 1;
        if !self.reached.iter().any(|reached| **reached == *upstream) {
            self.reached.push(upstream.into());
        }
    }

    /// Counts the end of a sending without an answer; returns whether another may follow.
    pub fn ended(&mut self, upstream: &str, end: Failure) -> bool {
        self.running -= 1;
        match end {
            Failure::Unsent => {
                self.arrivals -= 1;
                self.unsent += 1;
                self.forget(upstream);
                self.unsent <= MOST_UNSENT
            }
            Failure::Refused => {
                self.refusals += 1;
                self.forget(upstream);
                self.refusals <= MOST_REFUSALS && (self.idempotent || self.reached.is_empty())
            }
            // The last upstream may be asked again when all that are allowed have failed.
            Failure::Unknown => self.idempotent && self.arrivals < self.most + MOST_REFUSALS,
        }
    }

    /// Returns whether a sending has not ended yet.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Returns whether no upstream can have run the request.
    pub fn is_not_run(&self) -> bool {
        self.reached.is_empty()
    }

    fn forget(&mut self, upstream: &str) {
        self.reached.retain(|reached| **reached != *upstream);
    }
}
