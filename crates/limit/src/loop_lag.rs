//! The event-loop lag of a thread, an upper bound on how long a request has waited unread.

use std::time::{Duration, Instant};

/// Interval between two ticks of a thread without lag.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Lag up to which a tick counts as punctual, since ordinary scheduling causes as much.
const MAX_IGNORED_LAG: Duration = Duration::from_millis(10);

/// Maximum ratio of the time that a request may have waited unread to its latency objective. Above
/// it the answer would be late anyway, and working on it would make the next answers late as well.
const MAX_WAIT_RATIO: f64 = 1.5;

/// Event-loop lag of one thread.
///
/// Requests wait in their connections while the thread is busy, and do not show for how long. A
/// late tick of the thread's timer does: requests read at that time may have waited for as long as
/// the tick was late.
#[derive(Clone, Copy, Debug)]
pub struct LoopLag {
    last_tick: Instant,
    lag: Duration,
}

impl LoopLag {
    /// Creates the state of a thread without lag, as if it had ticked at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: now, lag: Duration::ZERO }
    }

    /// Records a tick, which is scheduled for [`TICK_INTERVAL`] after the one before.
    pub fn tick(&mut self, now: Instant) {
        self.lag = self.lag_at(now).max(self.lag / 2);
        self.last_tick = now;
    }

    /// Returns the longest time that a request read at `now` may have waited.
    pub fn max_wait(&self, now: Instant) -> Duration {
        self.lag_at(now).max(self.lag)
    }

    /// Returns whether a request with this latency objective, read at `now`, is worth starting.
    pub fn admits(&self, now: Instant, objective: Duration) -> bool {
        self.max_wait(now) <= objective.mul_f64(MAX_WAIT_RATIO)
    }

    fn lag_at(&self, now: Instant) -> Duration {
        let lag = now.saturating_duration_since(self.last_tick).saturating_sub(TICK_INTERVAL);
        if lag > MAX_IGNORED_LAG { lag } else { Duration::ZERO }
    }
}
