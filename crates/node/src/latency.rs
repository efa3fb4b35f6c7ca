//! Recent latencies of the parts of one route.

use std::time::{Duration, Instant};

use hedge::Delay;

/// Latency quantile after which a part counts as a straggler.
const HEDGE_QUANTILE: f64 = 0.92;

/// Factor on that quantile; without it, every twelfth part would be hedged on a calm day.
const HEDGE_FACTOR: f64 = 1.1;

/// Most of the usual time after which a part counts as a straggler. When many upstreams are slow
/// the quantile tells how slow, and hedges would come too late to help.
const HEDGE_MOST: f64 = 3.0;

/// Time for which latencies count.
const PACE_WINDOW: Duration = Duration::from_secs(3);

/// Latencies needed before a quantile is believed.
const PACE_ENOUGH: u64 = 24;

/// Part of the objective after which a part is hedged before its latencies are known.
const FIRST_HEDGE: f64 = 0.25;

/// Part of the objective that an answer takes before latencies are known.
const FIRST_TYPICAL: f64 = 0.1;

/// Recent latencies of the parts of one route.
pub struct Latency {
    hedge: Delay,
    typical: Delay,
}

impl Latency {
    pub fn new(objective: Duration) -> Self {
        let delay = |quantile, first| {
            let builder = Delay::builder().quantile(quantile).initial(first);
            builder.window(PACE_WINDOW).min_samples(PACE_ENOUGH).build()
        };
        Self {
            hedge: delay(HEDGE_QUANTILE, objective.mul_f64(FIRST_HEDGE)),
            typical: delay(0.5, objective.mul_f64(FIRST_TYPICAL)),
        }
    }

    /// Takes the latency of one answered part.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.hedge.record(now, latency);
        self.typical.record(now, latency);
    }

    /// Returns the time after which a part counts as a straggler.
    pub fn hedge(&self) -> Duration {
        let quantile = self.hedge.get().mul_f64(HEDGE_FACTOR);
        quantile.min(self.typical.get().mul_f64(HEDGE_MOST))
    }

    /// Returns the usual time of a part.
    pub fn typical(&self) -> Duration {
        self.typical.get()
    }
}
