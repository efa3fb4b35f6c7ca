//! Detection of times in which the machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Growth of the suspended time that counts. The clocks are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// The time for which the machine was suspended, which the steady clock does not count.
#[derive(Debug)]
pub struct Suspension {
    known: Duration,
}

impl Suspension {
    /// Creates the state of a process that knows of all suspensions until now.
    pub fn new() -> Self {
        Self { known: suspended_time() }
    }

    /// Returns whether the machine was suspended since the last call.
    pub fn has_ended(&mut self) -> bool {
        let total = suspended_time();
        let before = std::mem::replace(&mut self.known, total);
        total.saturating_sub(before) > MIN_SUSPENSION
    }
}

/// Returns the time for which the machine has been suspended since its start.
fn suspended_time() -> Duration {
    let [steady, boot] = [ClockId::Monotonic, ClockId::Boottime].map(clock_gettime).map(duration);
    boot.saturating_sub(steady)
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
