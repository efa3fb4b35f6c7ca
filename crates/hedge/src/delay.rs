//! The delay after which a part counts as a straggler.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Quantile of recent latencies after which a second copy is sent.
const QUANTILE: f64 = 0.97;

/// Time for which latencies count; the window before it still counts as well.
const WINDOW: Duration = Duration::from_secs(2);

/// Delay before there are enough latencies.
const FIRST_DELAY: Duration = Duration::from_millis(20);

/// Shortest delay; under it, scheduling alone would cause hedges.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Latencies needed before the quantile is believed.
const ENOUGH: u64 = 50;

/// Latencies between two computations of the quantile.
const REFRESH: u64 = 32;

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// A moving quantile of the latencies of one service.
#[derive(Debug)]
pub struct Delay {
    recent: Histogram<u32>,
    before: Histogram<u32>,
    turned: Option<Instant>,
    delay: Duration,
}

impl Default for Delay {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 2).expect("the bounds are legal");
        Self { recent: histogram(), before: histogram(), turned: None, delay: FIRST_DELAY }
    }
}

impl Delay {
    /// Takes the latency of one answered part.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let turned = *self.turned.get_or_insert(now);
        if now.saturating_duration_since(turned) >= WINDOW {
            std::mem::swap(&mut self.recent, &mut self.before);
            self.recent.reset();
            self.turned = Some(now);
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.recent.saturating_record(micros.min(MAX_MICROS));
        if self.recent.len() % REFRESH == 1 || self.recent.len() == ENOUGH {
            self.refresh();
        }
    }

    /// Returns the delay after which a part counts as a straggler.
    pub fn get(&self) -> Duration {
        self.delay
    }

    fn refresh(&mut self) {
        let full = if self.recent.len() >= ENOUGH { &self.recent } else { &self.before };
        if full.len() < ENOUGH {
            return;
        }
        let micros = full.value_at_quantile(QUANTILE);
        self.delay = Duration::from_micros(micros).max(MIN_DELAY);
    }
}
