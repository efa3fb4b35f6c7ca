//! Quantiles of the recent latencies of a route's parts.

use std::time::{Duration, Instant};

use hedge::Delay;

/// Latency quantile after which a part counts as a straggler.
const HEDGE_QUANTILE: f64 = 0.92;

/// Multiplier of that quantile. Without it, every twelfth part would be hedged under normal
/// conditions.
const HEDGE_QUANTILE_FACTOR: f64 = 1.1;

/// Upper limit of the hedge delay as a multiple of the median. When many upstreams are slow, the
/// quantile includes their latencies, and hedges would be sent too late to help.
const MAX_HEDGE_FACTOR: f64 = 3.0;

/// Length of the window in which latencies are collected. The window before is used until the
/// present one has enough latencies.
const LATENCY_WINDOW: Duration = Duration::from_secs(3);

/// Minimum number of latencies from which a quantile is computed.
const MIN_SAMPLES: u64 = 24;

/// Fraction of the objective after which a part is hedged until enough latencies are known.
const INITIAL_HEDGE_RATIO: f64 = 0.25;

/// Fraction of the objective that is used as the median until enough latencies are known.
const INITIAL_TYPICAL_RATIO: f64 = 0.1;

/// Quantiles of the recent latencies of a route's parts.
pub struct Latency {
    hedge: Delay,
    typical: Delay,
}

impl Latency {
    /// Creates the state of a route with the given latency objective.
    pub fn new(objective: Duration) -> Self {
        let delay = |quantile, first| {
            let builder = Delay::builder().quantile(quantile).initial(first);
            builder.window(LATENCY_WINDOW).min_samples(MIN_SAMPLES).build()
        };
        Self {
            hedge: delay(HEDGE_QUANTILE, objective.mul_f64(INITIAL_HEDGE_RATIO)),
            typical: delay(0.5, objective.mul_f64(INITIAL_TYPICAL_RATIO)),
        }
    }

    /// Records the latency of one answered part.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.hedge.record(now, latency);
        self.typical.record(now, latency);
    }

    /// Returns the time after which a part counts as a straggler and may be hedged.
    pub fn hedge_delay(&self) -> Duration {
        let quantile = self.hedge.get().mul_f64(HEDGE_QUANTILE_FACTOR);
        quantile.min(self.typical.get().mul_f64(MAX_HEDGE_FACTOR))
    }

    /// Returns the typical latency of a part: the median of the recent latencies, with a minimum of
    /// 2 ms. Until enough latencies are known, this is 10 % of the objective.
    pub fn typical(&self) -> Duration {
        self.typical.get()
    }
}
