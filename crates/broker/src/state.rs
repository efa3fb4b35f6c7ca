//! The control state of a broker, which the control thread publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use query::{Candidate, Phase};
use route::{Config, Presence, Report, Stage, View};
use rules::Rules;

/// Control state at one point in time.
#[derive(Clone, Debug)]
pub struct ControlState {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Rules of that configuration.
    pub rules: Arc<Rules>,
    /// Epoch of the newest roster that an egress has reported.
    pub epoch: u64,
    /// Addresses of the egresses by host name.
    pub egresses: BTreeMap<Box<str>, SocketAddr>,
    /// All brokers, including this one.
    pub brokers: Vec<Presence>,
    /// Configuration that each egress holds.
    pub held: Vec<route::HeldConfig>,
    /// Upstreams that take requests now, by service.
    pub candidates: BTreeMap<Box<str>, Vec<Candidate>>,
    /// Stage of draining of this broker.
    pub stage: Stage,
}

impl Default for ControlState {
    fn default() -> Self {
        Self {
            config: Arc::default(),
            rules: Arc::default(),
            epoch: 0,
            egresses: BTreeMap::new(),
            brokers: Vec::new(),
            held: Vec::new(),
            candidates: BTreeMap::new(),
            stage: Stage::Listed,
        }
    }
}

/// Latest state that one egress has reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct EgressState {
    pub(crate) view: View,
    pub(crate) report: Report,
}

/// Returns the upstreams that take requests, by service, as the egresses report them.
///
/// If several egresses report the same upstream, the report with the newest epoch wins. A former
/// owner rejects requests once its grant has expired.
pub(crate) fn candidates(
    domain: &str,
    rules: &Rules,
    egresses: &BTreeMap<Box<str>, EgressState>,
) -> BTreeMap<Box<str>, Vec<Candidate>> {
    let mut best: BTreeMap<&str, (u64, Candidate, &str)> = BTreeMap::new();
    for (address, egress) in egresses {
        let epoch = egress.report.epoch;
        for status in &egress.report.upstreams {
            let is_newer_known =
                best.get(&*status.upstream).is_some_and(|(other, ..)| *other >= epoch);
            if is_newer_known || !rules.accepts_requests(&status.domain) {
                continue;
            }
            let candidate = Candidate {
                upstream: status.upstream.clone(),
                owner: address.clone(),
                shard: status.shard,
                shards: status.shards,
                snapshot: status.snapshot,
                phase: phase(&status.phase),
                local: *status.domain == *domain,
            };
            best.insert(&status.upstream, (epoch, candidate, &status.service));
        }
    }
    let mut services: BTreeMap<Box<str>, Vec<Candidate>> = BTreeMap::new();
    for (_, candidate, service) in best.into_values() {
        services.entry(service.into()).or_default().push(candidate);
    }
    services
}

/// Parses the name of a warm-up phase; unknown names count as cold.
fn phase(phase: &str) -> Phase {
    match phase {
        "warm" => Phase::Warm,
        "warming" => Phase::Warming,
        _ => Phase::Cold,
    }
}
