//! Counters of the process; `docs/operations/metrics.md` says what each means.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency histogram in seconds, from a fast part to the longest deadlines.
const LATENCY_SECONDS: [f64; 13] =
    [0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.15, 0.25, 0.6, 1.2, 4.0, 10.0];

/// Label of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Stable name of the outcome.
    pub outcome: &'static str,
}

/// Label of an answer's status.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Status {
    /// HTTP status.
    pub status: u16,
}

/// Counters of one process.
#[derive(Debug)]
pub struct Metrics {
    /// Answers to callers.
    pub answers: Family<Status, Counter>,
    /// Time from a request's arrival to its answer.
    pub latency: Histogram,
    /// Ends of sendings to upstreams.
    pub attempts: Family<Outcome, Counter>,
    /// Copies sent because the first was late.
    pub hedges: Counter,
    /// Extra sendings that the allowance forbade.
    pub extra_attempts_denied: Counter,
    /// Shards left out of answers.
    pub parts_missing: Counter,
    /// Orders for parts sent to relays.
    pub relay_requests: Counter,
    /// Orders for parts taken from other hosts.
    pub relay_requests_served: Counter,
    /// Connections opened to upstreams.
    pub connections: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            answers: Family::default(),
            latency: Histogram::new(LATENCY_SECONDS),
            attempts: Family::default(),
            hedges: Counter::default(),
            extra_attempts_denied: Counter::default(),
            parts_missing: Counter::default(),
            relay_requests: Counter::default(),
            relay_requests_served: Counter::default(),
            connections: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            config_version: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts the end of a sending.
    pub fn record_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Outcome { outcome }).inc();
    }

    /// Returns all counters as Prometheus text.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("pistachio_node");
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register("latency_seconds", "Time to an answer", self.latency.clone());
        registry.register("sendings", "Ends of sendings to upstreams", self.attempts.clone());
        registry.register("hedges", "Copies sent for late parts", self.hedges.clone());
        registry.register(
            "extras_denied",
            "Forbidden extra sendings",
            self.extra_attempts_denied.clone(),
        );
        registry.register("parts_missing", "Shards left out", self.parts_missing.clone());
        registry.register("orders", "Orders to relays", self.relay_requests.clone());
        registry.register(
            "orders_taken",
            "Orders of other hosts",
            self.relay_requests_served.clone(),
        );
        registry.register("connections_opened", "Upstream connections", self.connections.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("store_failures", "Failed store calls", self.store_failures.clone());
        registry.register("config_version", "Version in force", self.config_version.clone());
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a string cannot fail");
        text
    }
}
