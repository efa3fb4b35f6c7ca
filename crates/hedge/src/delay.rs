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
    settings: DelayBuilder,
}

/// Settings of a [`Delay`].
#[derive(Clone, Copy, Debug)]
pub struct DelayBuilder {
    quantile: f64,
    window: Duration,
    enough: u64,
    first: Duration,
}

impl Default for DelayBuilder {
    fn default() -> Self {
        Self { quantile: QUANTILE, window: WINDOW, enough: ENOUGH, first: FIRST_DELAY }
    }
}

impl DelayBuilder {
    /// Sets the quantile, between 0 and 1.
    pub fn quantile(mut self, quantile: f64) -> Self {
        self.quantile = quantile;
        self
    }

    /// Sets the time for which latencies count.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets how many latencies are needed before the quantile is believed.
    pub fn min_samples(mut self, enough: u64) -> Self {
        self.enough = enough.max(1);
        self
    }

    /// Sets the delay before there are enough latencies.
    pub fn initial(mut self, first: Duration) -> Self {
        self.first = first;
        self
    }

    /// Builds the quantile.
    pub fn build(self) -> Delay {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 2).expect("the bounds are legal");
        Delay {
            recent: histogram(),
            before: histogram(),
            turned: None,
            delay: self.first,
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
    /// Starts the settings of a quantile.
    pub fn builder() -> DelayBuilder {
        DelayBuilder::default()
    }

    /// Takes the latency of one answered part.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let turned = *self.turned.get_or_insert(now);
        if now.saturating_duration_since(turned) >= self.settings.window {
            std::mem::swap(&mut self.recent, &mut self.before);
            self.recent.reset();
            self.turned = Some(now);
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.recent.saturating_record(micros.min(MAX_MICROS));
        if self.recent.len() % REFRESH == 1 || self.recent.len() == self.settings.enough {
            self.refresh();
        }
    }

    /// Returns the delay after which a part counts as a straggler.
    pub fn get(&self) -> Duration {
        self.delay
    }

    fn refresh(&mut self) {
        let enough = self.settings.enough;
        let full = if self.recent.len() >= enough { &self.recent } else { &self.before };
        if full.len() < enough {
            return;
        }
        let micros = full.value_at_quantile(self.settings.quantile);
        self.delay = Duration::from_micros(micros).max(MIN_DELAY);
    }
}
