//! Counters of an egress; `docs/operations/metrics.md` says what each means.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a part's end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Reason {
    /// Stable name of the reason.
    pub reason: String,
}

/// Counters of one egress.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Parts that an upstream answered.
    pub ran: Counter,
    /// Parts refused before they reached an upstream.
    pub not_run: Family<Reason, Counter>,
    /// Parts that may have run without an answer.
    pub unknown: Family<Reason, Counter>,
    /// Connections opened to upstreams.
    pub connections: Counter,
    /// Beats sent.
    pub heartbeats: Counter,
    /// Bytes of beats sent and received, without headers.
    pub heartbeat_bytes: Counter,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Epoch of the adopted roster.
    pub epoch: Gauge,
    /// Groups that this egress may send for.
    pub groups: Gauge,
    /// Revision of the configuration in force.
    pub config: Gauge,
}

impl Metrics {
    /// Counts a refusal.
    pub(crate) fn refuse(&self, reason: &str) {
        self.not_run.get_or_create(&Reason { reason: reason.into() }).inc();
    }

    /// Counts a part without an answer.
    pub(crate) fn lose(&self, reason: &str) {
        self.unknown.get_or_create(&Reason { reason: reason.into() }).inc();
    }

    /// Returns all counters as Prometheus text.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("pistachio_egress");
        registry.register("parts_ran", "Parts answered by an upstream", self.ran.clone());
        registry.register("parts_not_run", "Parts refused before sending", self.not_run.clone());
        registry.register("parts_unknown", "Parts without an answer", self.unknown.clone());
        let connections = self.connections.clone();
        registry.register("connections_opened", "Connections to upstreams", connections);
        registry.register("beats_sent", "Membership beats sent", self.heartbeats.clone());
        registry.register("beat_bytes", "Bytes of beats, both ways", self.heartbeat_bytes.clone());
        registry.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        registry.register("roster_epoch", "Epoch of the adopted roster", self.epoch.clone());
        registry.register("groups_owned", "Groups that work may go to", self.groups.clone());
        registry.register("config_revision", "Configuration in force", self.config.clone());
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
