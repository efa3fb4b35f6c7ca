//! Metrics of the process; `docs/operations/metrics.md` describes each of them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of the latency histogram in seconds, from the latency of a fast part
/// to the longest deadlines.
const LATENCY_BUCKETS_SECONDS: [f64; 13] =
    [0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.15, 0.25, 0.6, 1.2, 4.0, 10.0];

/// Label set of the attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Outcome of the attempt; the values are part of the interface.
    pub outcome: &'static str,
}

/// Label set of the attempts at upstreams that state a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Origin {
    /// Why the attempt was sent; the values are part of the interface.
    pub origin: &'static str,
}

impl Origin {
    /// First attempt for a part of a request of this host.
    pub const FIRST: Self = Self { origin: "first" };
    /// Second attempt for a part that is late.
    pub const HEDGE: Self = Self { origin: "hedge" };
    /// Attempt for a part after another one has ended without an answer.
    pub const RETRY: Self = Self { origin: "retry" };
    /// Attempt on behalf of another host.
    pub const RELAY: Self = Self { origin: "relay" };
}

/// Label set of the responses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Status {
    /// HTTP status code.
    pub status: u16,
}

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    /// Responses to callers.
    pub answers: Family<Status, Counter>,
    /// Time from the arrival of a request to its response, in seconds.
    pub latency: Histogram,
    /// Ended attempts at upstreams, including abandoned ones, by outcome.
    pub attempts: Family<Outcome, Counter>,
    /// Attempts at upstreams that state a rate limit, by origin.
    pub limited_attempts: Family<Origin, Counter>,
    /// Health checks of upstreams that may have restarted.
    pub restart_checks: Counter,
    /// Hedges: attempts sent because the first attempt for a part was late.
    pub hedges: Counter,
    /// Extra attempts that the attempt budget denied.
    pub extra_attempts_denied: Counter,
    /// Shards that responses leave out.
    pub parts_missing: Counter,
    /// Relay requests to other hosts, counted before a connection is available.
    pub relay_requests: Counter,
    /// Relay requests of other hosts that this host accepted.
    pub relay_requests_served: Counter,
    /// Crashes of upstreams during requests of this host that were reported to the other hosts.
    pub crashes: Counter,
    /// Suspicions of requests that other hosts have told.
    pub suspicions: Counter,
    /// Refusals of requests that crash upstreams.
    pub quarantined_requests: Counter,
    /// Requests that were forwarded to another host.
    pub forwarded_requests: Counter,
    /// Connections to upstreams, including those that could not be opened.
    pub connections: Counter,
    /// Calls to the store. A read in several pages, or a watch that is continued because its
    /// response was truncated, counts as one call.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Upstreams that have stated in their answers that they are leaving.
    pub departures: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Era of the store, which rises when the store comes back from an older copy.
    pub store_era: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            answers: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS_SECONDS),
            attempts: Family::default(),
            limited_attempts: Family::default(),
            restart_checks: Counter::default(),
            hedges: Counter::default(),
            extra_attempts_denied: Counter::default(),
            parts_missing: Counter::default(),
            relay_requests: Counter::default(),
            relay_requests_served: Counter::default(),
            crashes: Counter::default(),
            suspicions: Counter::default(),
            quarantined_requests: Counter::default(),
            forwarded_requests: Counter::default(),
            connections: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            departures: Counter::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts an ended attempt.
    pub fn record_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Outcome { outcome }).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("pistachio_node");
        registry.register("answers", "Responses to callers", self.answers.clone());
        registry.register(
            "latency_seconds",
            "Time from a request to its response in seconds",
            self.latency.clone(),
        );
        registry.register(
            "sendings",
            "Ended attempts at upstreams, including abandoned ones, by outcome",
            self.attempts.clone(),
        );
        registry.register(
            "limited_attempts",
            "Attempts sent to upstreams that state a rate limit, by origin",
            self.limited_attempts.clone(),
        );
        registry.register(
            "restart_checks",
            "Health checks of upstreams that may have restarted",
            self.restart_checks.clone(),
        );
        registry.register("hedges", "Hedges sent for late parts", self.hedges.clone());
        registry.register(
            "extras_denied",
            "Extra attempts denied by the attempt budget",
            self.extra_attempts_denied.clone(),
        );
        registry.register(
            "parts_missing",
            "Shards that responses leave out",
            self.parts_missing.clone(),
        );
        registry.register(
            "orders",
            "Relay requests to other hosts, including those that could not be sent",
            self.relay_requests.clone(),
        );
        registry.register(
            "orders_taken",
            "Relay requests accepted from other hosts",
            self.relay_requests_served.clone(),
        );
        registry.register(
            "crashes",
            "Crashes of upstreams during requests that were not answered",
            self.crashes.clone(),
        );
        registry.register(
            "suspicions",
            "Suspicions of requests that other hosts have told",
            self.suspicions.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Refusals of requests that crash upstreams",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "forwarded_requests",
            "Requests forwarded to another host",
            self.forwarded_requests.clone(),
        );
        registry.register(
            "connections_opened",
            "Connections to upstreams, including those that could not be opened",
            self.connections.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store; a paged read or a continued watch counts as one",
            self.store_calls.clone(),
        );
        registry.register(
            "store_failures",
            "Calls to the store that failed",
            self.store_failures.clone(),
        );
        registry.register(
            "departures",
            "Upstreams that have stated in their answers that they are leaving",
            self.departures.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "store_era",
            "Number of times that the store has come back from an older copy, as it counts them",
            self.store_era.clone(),
        );
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a string cannot fail");
        text
    }
}
