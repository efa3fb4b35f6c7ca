//! Metrics of an egress. `docs/operations/metrics.md` describes each of them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label for why a part did not run or has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Reason {
    /// Stable name of the reason.
    pub reason: String,
}

/// Metrics of one egress.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Number of parts that an upstream answered with results.
    pub ran: Counter,
    /// Number of parts that certainly did not run, by reason.
    pub not_run: Family<Reason, Counter>,
    /// Number of parts that may have run but have no usable answer, by reason.
    pub unknown: Family<Reason, Counter>,
    /// Number of attempts to open a connection to an upstream for parts.
    pub connections: Counter,
    /// Number of heartbeats sent.
    pub heartbeats: Counter,
    /// Bytes of heartbeats sent and received, without UDP and IP headers.
    pub heartbeat_bytes: Counter,
    /// Number of calls to the platform.
    pub platform_calls: Counter,
    /// Epoch of the adopted roster.
    pub epoch: Gauge,
    /// Number of groups of upstreams and ledger buckets for which this egress holds a grant.
    pub groups: Gauge,
    /// Revision of the configuration in force.
    pub config: Gauge,
}

impl Metrics {
    /// Counts a part that did not run.
    pub(crate) fn record_not_run(&self, reason: &str) {
        self.not_run.get_or_create(&Reason { reason: reason.into() }).inc();
    }

    /// Counts a part that may have run but has no usable answer.
    pub(crate) fn record_unknown(&self, reason: &str) {
        self.unknown.get_or_create(&Reason { reason: reason.into() }).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("pistachio_egress");
        registry.register(
            "parts_ran",
            "Parts that an upstream answered with results",
            self.ran.clone(),
        );
        registry.register("parts_not_run", "Parts that did not run", self.not_run.clone());
        registry.register(
            "parts_unknown",
            "Parts that may have run, without an answer",
            self.unknown.clone(),
        );
        let connections = self.connections.clone();
        registry.register("connections_opened", "Connections to upstreams", connections);
        registry.register("beats_sent", "Membership heartbeats sent", self.heartbeats.clone());
        registry.register(
            "beat_bytes",
            "Bytes of heartbeats, sent and received",
            self.heartbeat_bytes.clone(),
        );
        registry.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        registry.register("roster_epoch", "Epoch of the adopted roster", self.epoch.clone());
        registry.register(
            "groups_owned",
            "Groups of upstreams and ledger buckets for which this egress holds a grant",
            self.groups.clone(),
        );
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
