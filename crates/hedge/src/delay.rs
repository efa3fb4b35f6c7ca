//! Quantile of recent latencies, from which the delay before a hedge is derived.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Default quantile of the recent latencies that is used as the delay.
const DEFAULT_QUANTILE: f64 = 0.97;

/// Default length of the window in which latencies are collected. The window before is used until
/// the present one has enough latencies.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);

/// Default delay until enough latencies are known.
const INITIAL_DELAY: Duration = Duration::from_millis(20);

/// Minimum delay. A shorter one would cause hedges because of scheduling alone.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Default number of latencies needed to compute the quantile.
const MIN_SAMPLES: u64 = 50;

/// Number of latencies between two computations of the quantile.
const SAMPLES_PER_REFRESH: u64 = 32;

/// Maximum latency in the histogram, in microseconds. Longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Quantile of recent latencies.
///
/// A broker keeps one for each service as the delay after which an unanswered part counts as a
/// straggler. `pistachio-node` keeps two for each route: one from which that delay is computed, and
/// the median.
#[derive(Debug)]
pub struct Delay {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Option<Instant>,
    delay: Duration,
    settings: DelayBuilder,
}

/// Builder of a [`Delay`].
#[derive(Clone, Copy, Debug)]
pub struct DelayBuilder {
    quantile: f64,
    window: Duration,
    min_samples: u64,
    initial: Duration,
}

impl Default for DelayBuilder {
    fn default() -> Self {
        Self {
            quantile: DEFAULT_QUANTILE,
            window: DEFAULT_WINDOW,
            min_samples: MIN_SAMPLES,
            initial: INITIAL_DELAY,
        }
    }
}

impl DelayBuilder {
    /// Sets the quantile, between 0 and 1.
    pub fn quantile(mut self, quantile: f64) -> Self {
        self.quantile = quantile;
        self
    }

    /// Sets the length of the window in which latencies are collected.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the number of latencies needed to compute the quantile, at least 1.
    pub fn min_samples(mut self, min_samples: u64) -> Self {
        self.min_samples = min_samples.max(1);
        self
    }

    /// Sets the delay until enough latencies are known.
    pub fn initial(mut self, initial: Duration) -> Self {
        self.initial = initial;
        self
    }

    /// Builds a [`Delay`] without latencies.
    pub fn build(self) -> Delay {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_MICROS, 2).expect("the bounds are valid");
        Delay {
            current: histogram(),
            previous: histogram(),
            window_start: None,
            delay: self.initial,
            settings: self,
        }
    }
}

impl Default for Delay {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Delay {
    /// Returns a builder with the default settings.
    pub fn builder() -> DelayBuilder {
        DelayBuilder::default()
    }

    /// Records the latency of one answered part.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let window_start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(window_start) >= self.settings.window {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.window_start = Some(now);
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.current.saturating_record(micros.min(MAX_LATENCY_MICROS));
        if self.current.len() % SAMPLES_PER_REFRESH == 1
            || self.current.len() == self.settings.min_samples
        {
            self.refresh();
        }
    }

    /// Returns the quantile of the recent latencies, at least 2 ms, or the initial delay until
    /// enough latencies are known.
    pub fn get(&self) -> Duration {
        self.delay
    }

    fn refresh(&mut self) {
        let min = self.settings.min_samples;
        let histogram = if self.current.len() >= min { &self.current } else { &self.previous };
        if histogram.len() < min {
            return;
        }
        let micros = histogram.value_at_quantile(self.settings.quantile);
        self.delay = Duration::from_micros(micros).max(MIN_DELAY);
    }
}
