//! What a run is summed up in.

use std::time::Duration;

use hdrhistogram::Histogram;
use history::Violations;
use serde::Serialize;

/// Figures of one run.
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
    /// Shards covered, as a share of those asked for, of requests that were let in.
    pub(crate) coverage: f64,
    /// Work that reached upstreams beyond one part per shard, as a share.
    pub(crate) extra_load: f64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    /// Time of refusals, for 99 in 100.
    pub(crate) refusal_p99_ms: f64,
    #[serde(flatten)]
    pub(crate) counts: Violations,
    #[serde(flatten)]
    pub(crate) more: serde_json::Map<String, serde_json::Value>,
}

/// Latencies in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new_with_max(60_000_000, 3).expect("the bounds are legal"))
    }
}

impl Latencies {
    pub(crate) fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    pub(crate) fn add(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.0.add(&other.0);
    }

    /// Returns a quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
