//! Limit on the number of connections to one upstream.

use std::time::{Duration, Instant};

/// Time for which an abandoned connection still counts, as the upstream may not have noticed.
const ABANDONED_TTL: Duration = Duration::from_secs(5);

/// Counts the open and opening connections to one upstream and limits their number.
#[derive(Debug)]
pub struct Connections {
    max: u32,
    open: u32,
    opening: u32,
    /// For each abandoned connection, the time until which it counts.
    abandoned: Vec<Instant>,
}

impl Connections {
    /// Creates a counter that allows at most `max` connections at a time.
    pub fn new(max: u32) -> Self {
        Self { max, open: 0, opening: 0, abandoned: Vec::new() }
    }

    /// Replaces the maximum number of connections.
    pub fn set_max(&mut self, max: u32) {
        self.max = max;
    }

    /// Reserves a connection and returns true, or returns false if the maximum is reached.
    ///
    /// Each reservation must be followed by a call of [`opened`](Self::opened).
    pub fn try_open(&mut self, now: Instant) -> bool {
        self.abandoned.retain(|until| *until > now);
        if self.count() >= self.max {
            return false;
        }
        self.opening += 1;
        true
    }

    /// Records whether a reserved connection was opened successfully.
    pub fn opened(&mut self, success: bool) {
        self.opening = self.opening.saturating_sub(1);
        self.open += u32::from(success);
    }

    /// Records that a connection was closed at both ends.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records that this side has dropped a connection on which the upstream no longer answered.
    pub fn abandoned(&mut self, now: Instant) {
        self.closed();
        self.abandoned.push(now + ABANDONED_TTL);
    }

    /// Returns the number of connections that the upstream may still hold open.
    fn count(&self) -> u32 {
        self.open + self.opening + u32::try_from(self.abandoned.len()).unwrap_or(u32::MAX)
    }
}
