//! What the control thread of a broker publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use query::{Candidate, Phase};
use route::{Config, Presence, Report, Stage, View};
use rules::Rules;

/// Control state as of one instant.
#[derive(Clone, Debug)]
pub struct ControlState {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Rules of that configuration.
    pub rules: Arc<Rules>,
    /// Epoch of the newest roster seen.
    pub epoch: u64,
    /// Egresses by name.
    pub egresses: BTreeMap<Box<str>, SocketAddr>,
    /// Brokers, this one included.
    pub brokers: Vec<Presence>,
    /// Configuration that each egress holds.
    pub held: Vec<route::HeldConfig>,
    /// Upstreams that take work now, by service.
    pub candidates: BTreeMap<Box<str>, Vec<Candidate>>,
    /// How far this broker is on its way out.
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

/// What one egress has told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Told {
    pub(crate) view: View,
    pub(crate) report: Report,
}

/// Gathers the upstreams that take work from what the egresses report.
///
/// Where two claim one upstream, the one of the newer epoch is believed; the other's fence refuses
/// in any case.
pub(crate) fn candidates(
    domain: &str,
    rules: &Rules,
    told: &BTreeMap<Box<str>, Told>,
) -> BTreeMap<Box<str>, Vec<Candidate>> {
    let mut best: BTreeMap<&str, (u64, Candidate, &str)> = BTreeMap::new();
    for (host, told) in told {
        let epoch = told.report.epoch;
        for status in &told.report.upstreams {
            let known = best.get(&*status.upstream).is_some_and(|(other, ..)| *other >= epoch);
            if known || !rules.accepts_requests(&status.domain) {
                continue;
            }
            let candidate = Candidate {
                upstream: status.upstream.clone(),
                owner: host.clone(),
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

fn phase(phase: &str) -> Phase {
    match phase {
        "warm" => Phase::Warm,
        "warming" => Phase::Warming,
        _ => Phase::Cold,
    }
}
