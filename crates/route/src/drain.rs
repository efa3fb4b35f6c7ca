//! The order in which a broker stops taking work.

use std::time::{Duration, Instant};

use crate::directory::ENTRY_TTL;

/// Time beyond the directory's lifetime for callers whose answers were on their way.
const MARGIN: Duration = Duration::from_millis(700);

/// How far a broker is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Listed and serving.
    Listed,
    /// No longer listed, but serving those who still hold its address.
    Unlisted,
    /// New requests are answered as not run, with fresh addresses.
    Refusing,
}

/// A broker's way out, and back in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    since: Option<Instant>,
}

impl Drain {
    /// Takes whether the broker should be out, because it stops or its failure domain is out.
    pub fn set(&mut self, now: Instant, out: bool) {
        self.since = if out { self.since.or(Some(now)) } else { None };
    }

    /// Returns how far the broker is on its way out.
    pub fn stage(&self, now: Instant) -> Stage {
        match self.since {
            None => Stage::Listed,
            Some(since) if now < since + ENTRY_TTL + MARGIN => Stage::Unlisted,
            Some(_) => Stage::Refusing,
        }
    }
}
