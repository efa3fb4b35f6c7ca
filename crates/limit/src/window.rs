//! How many searches of one service a broker lets in at a time.

use std::time::{Duration, Instant};

/// Fewest searches that are let in.
const MIN_SEARCHES: f64 = 4.0;

/// Most searches that are let in.
const MAX_SEARCHES: f64 = 4_096.0;

/// Searches let in at the start.
const FIRST_SEARCHES: f64 = 64.0;

/// Factor of one cut.
const CUT: f64 = 0.85;

/// Time between two cuts; the searches already in flight tell of the same congestion.
const CUT_PAUSE: Duration = Duration::from_millis(50);

/// Fewest queries of one route that a host lets in; hosts have a few in flight on ordinary days.
const MIN_QUERIES: f64 = 1.0;

/// Additive increase and multiplicative decrease over searches in flight.
#[derive(Debug)]
pub struct Window {
    size: f64,
    least: f64,
    in_flight: u32,
    last_cut: Option<Instant>,
}

impl Default for Window {
    fn default() -> Self {
        Self { size: FIRST_SEARCHES, least: MIN_SEARCHES, in_flight: 0, last_cut: None }
    }
}

impl Window {
    /// Creates the window of one route at one host, which may shrink to a single query.
    pub fn for_route() -> Self {
        Self { least: MIN_QUERIES, ..Self::default() }
    }

    /// Lets a search in, or refuses it while "not run" is still true.
    pub fn try_acquire(&mut self) -> bool {
        if f64::from(self.in_flight) >= self.size {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Takes the end of a search; `congested` when an owner refused a part for want of a slot.
    pub fn release(&mut self, now: Instant, congested: bool) {
        let was_full = f64::from(self.in_flight) >= self.size - 1.0;
        self.in_flight = self.in_flight.saturating_sub(1);
        if congested {
            self.cut(now);
        } else if was_full {
            self.size = (self.size + 1.0 / self.size).min(MAX_SEARCHES);
        }
    }

    /// Returns the number of searches in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many searches are let in.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    fn cut(&mut self, now: Instant) {
        if self.last_cut.is_some_and(|last| now < last + CUT_PAUSE) {
            return;
        }
        self.last_cut = Some(now);
        // Cutting from what is in flight skips the slack of an idle window.
        let used = self.size.min(f64::from(self.in_flight + 1));
        self.size = (used * CUT).max(self.least);
    }
}
