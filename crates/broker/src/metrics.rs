//! Metrics of a broker. `docs/operations/metrics.md` describes each of them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels for an answered search.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Name of the service.
    pub service: String,
    /// Stable name of the outcome.
    pub outcome: &'static str,
}

/// Metrics of one broker.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Number of answered searches, by service and outcome. Malformed requests, and requests that
    /// are refused because this host is leaving or has no configuration, are not counted.
    pub searches: Family<Outcome, Counter>,
    /// Number of malformed requests, including those for unknown services.
    pub bad_requests: Counter,
    /// Number of parts sent, including extra attempts.
    pub parts: Counter,
    /// Number of extra attempts: hedges, warm-up copies and retries of parts that may have run.
    /// Extra attempts that were refused are not counted.
    pub extra_parts: Counter,
    /// Number of answers dropped because they were late, duplicate or of another snapshot.
    pub dropped: Counter,
    /// Number of calls that send parts to egresses.
    pub batches: Counter,
    /// Time from the arrival of a search to its answer, in seconds.
    pub seconds: Histogram,
    /// Number of searches in flight.
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
    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("pistachio_broker");
        registry.register("searches", "Answered searches", self.searches.clone());
        registry.register("bad_requests", "Malformed requests", self.bad_requests.clone());
        registry.register("parts", "Parts sent, including extra attempts", self.parts.clone());
        registry.register(
            "extra_parts",
            "Hedges, warm-up copies and retries of parts that may have run",
            self.extra_parts.clone(),
        );
        registry.register(
            "dropped_answers",
            "Answers that were late, duplicate or of another snapshot",
            self.dropped.clone(),
        );
        registry.register("batches", "Calls that send parts to egresses", self.batches.clone());
        registry.register(
            "seconds",
            "Time from the arrival of a search to its answer, in seconds",
            self.seconds.clone(),
        );
        registry.register("in_flight", "Searches in flight", self.in_flight.clone());
        registry.register(
            "config_revision",
            "Revision of the configuration in force",
            self.config.clone(),
        );
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
