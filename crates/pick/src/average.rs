//! Moving average that returns to a resting value without new samples, so that an avoided replica
//! is tried again.

use std::time::{Duration, Instant};

/// Exponentially weighted moving average whose distance from its resting value decays with time.
#[derive(Clone, Copy, Debug)]
pub struct Average {
    rest: f64,
    excess: f64,
    at: Option<Instant>,
    half_life: Duration,
}

impl Average {
    /// Creates an average with the value `rest`. Without samples, its distance from `rest` halves
    /// with every `half_life`.
    pub fn new(rest: f64, half_life: Duration) -> Self {
        Self { rest, excess: 0.0, at: None, half_life }
    }

    /// Returns the value at `now`.
    pub fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return self.rest };
        let age = now.saturating_duration_since(at).as_secs_f64() / self.half_life.as_secs_f64();
        self.rest + self.excess * 0.5_f64.powf(age)
    }

    /// Returns the value after the latest sample.
    pub fn latest(&self) -> f64 {
        self.rest + self.excess
    }

    /// Moves the value towards a sample by `weight`, between 0 and 1.
    pub fn add(&mut self, now: Instant, sample: f64, weight: f64) {
        let old = self.get(now);
        self.excess = old + (sample - old) * weight - self.rest;
        self.at = Some(now);
    }
}
