//! Draining of a broker, which finishes its requests and takes no new ones, in stages that give
//! callers time to turn to other brokers.

use std::time::{Duration, Instant};

use crate::directory::DIRECTORY_TTL;

/// Time added to the lifetime of an answer of the directory, for callers that were still receiving
/// one.
const RESPONSE_GRACE: Duration = Duration::from_millis(700);

/// The stage of draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The broker is in the directory and serves requests.
    Listed,
    /// The broker is no longer in the directory, but serves callers that have cached its address.
    Unlisted,
    /// The broker answers new requests as not run, with the addresses of other brokers.
    Refusing,
}

/// The draining state of a broker, which can be cancelled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    since: Option<Instant>,
}

impl Drain {
    /// Starts draining if `out` is true, because the broker shuts down or its failure domain is
    /// evacuated, and cancels draining otherwise.
    pub fn set(&mut self, now: Instant, out: bool) {
        self.since = if out { self.since.or(Some(now)) } else { None };
    }

    /// Returns the stage of draining at the time `now`.
    pub fn stage(&self, now: Instant) -> Stage {
        match self.since {
            None => Stage::Listed,
            Some(since) if now < since + DIRECTORY_TTL + RESPONSE_GRACE => Stage::Unlisted,
            Some(_) => Stage::Refusing,
        }
    }
}
