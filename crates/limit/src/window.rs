//! Window of the queries that may be in flight at a time.
//!
//! A query is a search of one service at a broker, or a request for a gather route at
//! `pistachio-node`.

use std::time::{Duration, Instant};

/// Minimum window of a service at a broker, in queries.
const MIN_BROKER_WINDOW: f64 = 4.0;

/// Maximum window, in queries.
const MAX_WINDOW: f64 = 4_096.0;

/// Initial window, in queries.
const INITIAL_WINDOW: f64 = 64.0;

/// Factor by which congestion reduces the window.
const DECREASE_FACTOR: f64 = 0.85;

/// Minimum interval between two decreases, since queries already in flight report the same
/// congestion.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum window of a route of `pistachio-node`, in queries. A host normally has only a few in
/// flight.
const MIN_ROUTE_WINDOW: f64 = 1.0;

/// Limit on the queries in flight, with additive increase and multiplicative decrease (AIMD).
#[derive(Debug)]
pub struct Window {
    size: f64,
    min: f64,
    in_flight: u32,
    last_decrease: Option<Instant>,
}

impl Default for Window {
    /// Returns the initial window of one service at one broker.
    fn default() -> Self {
        Self { size: INITIAL_WINDOW, min: MIN_BROKER_WINDOW, in_flight: 0, last_decrease: None }
    }
}

impl Window {
    /// Creates the window of one route at one `pistachio-node`, which may shrink to a single query.
    pub fn for_route() -> Self {
        Self { min: MIN_ROUTE_WINDOW, ..Self::default() }
    }

    /// Admits a query and returns true, or returns false if the window is full.
    ///
    /// A query that is refused here has certainly not run. Each admitted query must be followed by
    /// a call of [`release`](Self::release).
    pub fn try_acquire(&mut self) -> bool {
        if f64::from(self.in_flight) >= self.size {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records the end of an admitted query.
    ///
    /// `congested` says whether the upstreams of the query were overloaded.
    pub fn release(&mut self, now: Instant, congested: bool) {
        let was_full = f64::from(self.in_flight) >= self.size - 1.0;
        self.in_flight = self.in_flight.saturating_sub(1);
        if congested {
            self.decrease(now);
        } else if was_full {
            self.size = (self.size + 1.0 / self.size).min(MAX_WINDOW);
        }
    }

    /// Returns the number of queries in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queries that may be in flight at a time.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    fn decrease(&mut self, now: Instant) {
        if self.last_decrease.is_some_and(|last| now < last + DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        // Starting from the queries in flight leaves out the unused part of a window that is not
        // full, so that the decrease takes effect at once.
        let used = self.size.min(f64::from(self.in_flight + 1));
        self.size = (used * DECREASE_FACTOR).max(self.min);
    }
}
