//! How far a thread is behind with the requests that it has not read yet.

use std::time::{Duration, Instant};

/// Time between two ticks of a thread that keeps up.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Lateness of a tick that is ordinary scheduling.
const ORDINARY: Duration = Duration::from_millis(10);

/// Times of its objective that a request may have waited unread. Beyond it the answer would be late
/// anyway, and the work would make the next ones late as well.
const MOST_WAIT: f64 = 1.5;

/// The delay of a thread's own loop.
///
/// Requests wait in their connections while the thread is busy, and nothing in them tells for how
/// long. The thread's ticks do: one that comes late shows what requests that are read then may have
/// waited.
#[derive(Clone, Copy, Debug)]
pub struct LoopLag {
    ticked: Instant,
    late: Duration,
}

impl LoopLag {
    /// Creates the state of a thread that keeps up.
    pub fn new(now: Instant) -> Self {
        Self { ticked: now, late: Duration::ZERO }
    }

    /// Notes a tick, which is asked for [`TICK_INTERVAL`] after the one before.
    pub fn tick(&mut self, now: Instant) {
        self.late = self.lateness(now).max(self.late / 2);
        self.ticked = now;
    }

    /// Returns how long a request that is read now may have waited.
    pub fn max_wait(&self, now: Instant) -> Duration {
        self.lateness(now).max(self.late)
    }

    /// Returns whether a request with this objective is worth beginning.
    pub fn admits(&self, now: Instant, objective: Duration) -> bool {
        self.max_wait(now) <= objective.mul_f64(MOST_WAIT)
    }

    fn lateness(&self, now: Instant) -> Duration {
        let late = now.saturating_duration_since(self.ticked).saturating_sub(TICK_INTERVAL);
        if late > ORDINARY { late } else { Duration::ZERO }
    }
}
