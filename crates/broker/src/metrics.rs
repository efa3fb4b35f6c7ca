//! Counters of a broker; `docs/operations/metrics.md` says what each means.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of an answered search.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Service that was asked.
    pub service: String,
    /// Name of the outcome.
    pub outcome: &'static str,
}

/// Counters of one broker.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Searches by outcome.
    pub searches: Family<Outcome, Counter>,
    /// Requests refused for their form.
    pub bad_requests: Counter,
    /// Parts sent, one per shard and the extra ones.
    pub parts: Counter,
    /// Parts beyond one per shard.
    pub extra_parts: Counter,
    /// Answers dropped as late, doubled or of another snapshot.
    pub dropped: Counter,
    /// Calls to egresses.
    pub batches: Counter,
    /// Seconds from a search's arrival to its answer.
    pub seconds: Histogram,
    /// Searches in flight.
    pub in_flight: Gauge,
    /// Revision of the configuration in force.
    pub config: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            searches: Family::default(),
            bad_requests: Counter::default(),
            parts: Counter::default(),
            extra_parts: Counter::default(),
            dropped: Counter::default(),
            batches: Counter::default(),
            seconds: Histogram::new(exponential_buckets(0.001, 1.5, 20)),
            in_flight: Gauge::default(),
            config: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Returns all counters as Prometheus text.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("pistachio_broker");
        registry.register("searches", "Searches by outcome", self.searches.clone());
        registry.register("bad_requests", "Requests refused for form", self.bad_requests.clone());
        registry.register("parts", "Parts sent", self.parts.clone());
        registry.register("extra_parts", "Parts beyond one per shard", self.extra_parts.clone());
        registry.register("dropped_answers", "Late or foreign answers", self.dropped.clone());
        registry.register("batches", "Calls to egresses", self.batches.clone());
        registry.register("seconds", "Seconds to the answer", self.seconds.clone());
        registry.register("in_flight", "Searches in flight", self.in_flight.clone());
        registry.register("config_revision", "Configuration in force", self.config.clone());
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
