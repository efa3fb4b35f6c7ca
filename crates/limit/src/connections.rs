//! Connections to one upstream: how many, and when to open another.

use std::time::{Duration, Instant};

/// Time for which a connection that was given up still counts, as the upstream may not know.
const LINGER: Duration = Duration::from_secs(5);

/// Counts connections so that neither their number nor their opening overloads the upstream.
#[derive(Debug)]
pub struct Connections {
    most: u32,
    open: u32,
    opening: u32,
    lingering: Vec<Instant>,
}

impl Connections {
    /// Creates a count that never lets more than `most` connections exist.
    pub fn new(most: u32) -> Self {
        Self { most, open: 0, opening: 0, lingering: Vec::new() }
    }

    /// Takes a new limit from the operators.
    pub fn set_max(&mut self, most: u32) {
        self.most = most;
    }

    /// Reserves a connection; returns whether one may be opened now.
    pub fn try_open(&mut self, now: Instant) -> bool {
        self.lingering.retain(|until| *until > now);
        if self.count() >= self.most {
            return false;
        }
        self.opening += 1;
        true
    }

    /// Notes how an opening ended.
    pub fn opened(&mut self, success: bool) {
        self.opening = self.opening.saturating_sub(1);
        self.open += u32::from(success);
    }

    /// Notes that both ends have closed a connection.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Notes that a silent connection was given up on this side only.
    pub fn abandoned(&mut self, now: Instant) {
        self.closed();
        self.lingering.push(now + LINGER);
    }

    /// Returns the number of connections that the upstream may count.
    fn count(&self) -> u32 {
        self.open + self.opening + u32::try_from(self.lingering.len()).unwrap_or(u32::MAX)
    }
}
