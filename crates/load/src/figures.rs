//! Results of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use history::Violations;
use serde::Serialize;

/// Results of one run, printed as one JSON object.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) scenario: String,
    pub(crate) deployment: String,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) requests: u64,
    pub(crate) per_second: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    /// Ratio of covered to requested shards, over all requests that were not refused.
    pub(crate) coverage: f64,
    /// Ratio of parts at upstreams to requested shards over the whole run, minus 1.
    pub(crate) extra_load: f64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    /// 0.99 quantile of the latency of refusals.
    pub(crate) refusal_p99_ms: f64,
    #[serde(flatten)]
    pub(crate) violations: Violations,
    /// Results that only some scenarios have, and breakdowns.
    #[serde(flatten)]
    pub(crate) extra: serde_json::Map<String, serde_json::Value>,
}

/// Histogram of latencies in microseconds; longer ones than a minute count as a minute.
#[derive(Clone, Debug)]
pub(crate) struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid"))
    }
}

impl Latencies {
    pub(crate) fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        // Both histograms have the same bounds, so this cannot fail.
        let _ = self.0.add(&other.0);
    }

    /// Returns a quantile, given as a fraction, in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
