//! All upstreams of one rule file.

use std::net::SocketAddr;
use std::time::Duration;

use route::{Host, Kind, Life, Placement};
use rules::Rules;

use crate::recorder::Recorder;
use crate::state::Speed;
use crate::upstream::{Spec, Upstream};

/// Cold answers that an upstream needs, as a share of the successes that operators ask for.
const COLD_WORK: (u32, u32) = (3, 4);

/// The upstreams of one deployment.
#[derive(Clone, Default)]
pub struct Fleet {
    /// The upstreams, by service, shard and replica.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Starts every upstream that `rules` name, replicas spread over the failure domains.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(
        rules: &Rules,
        listen: SocketAddr,
        speed: Speed,
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        Self::start_specs(Self::specs(rules, speed), listen, recorder).await
    }

    /// Starts the upstreams given.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start_specs(
        specs: Vec<Spec>,
        listen: SocketAddr,
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        let mut fleet = Self::default();
        for spec in specs {
            let upstream = Upstream::start(spec, listen, recorder.clone()).await?;
            fleet.upstreams.push(upstream);
        }
        Ok(fleet)
    }

    /// Returns what each upstream of `rules` is and bears.
    pub fn specs(rules: &Rules, speed: Speed) -> Vec<Spec> {
        let domains: Vec<&Box<str>> = rules.domains.keys().collect();
        let mut specs = Vec::new();
        for (name, service) in &rules.services {
            let places =
                (0..service.shards).flat_map(|s| (0..service.replicas).map(move |r| (s, r)));
            for (shard, replica) in places {
                let domain = domains[(shard + replica) as usize % domains.len()];
                let limit = &service.limit;
                specs.push(Spec {
                    id: format!("{name}-{shard}-{replica}").into(),
                    service: name.clone(),
                    domain: domain.clone(),
                    shard,
                    shards: service.shards,
                    slots: limit.slots,
                    connections: limit.connections,
                    connect_cost: limit.connect_cost,
                    cold_slots: limit.cold_slots,
                    warm_up_answers: limit.cold_successes * COLD_WORK.0 / COLD_WORK.1,
                    never_repeat: service.never_repeat.clone(),
                    speed,
                });
            }
        }
        specs
    }

    /// Returns the lines of the platform's list for these upstreams.
    pub fn hosts(&self) -> Vec<Host> {
        self.upstreams.iter().map(Self::host).collect()
    }

    /// Returns the line of the platform's list for one upstream.
    pub fn host(upstream: &Upstream) -> Host {
        let spec = upstream.spec();
        let (shard, shards) = upstream.assignment();
        Host {
            id: spec.id.clone(),
            kind: Kind::Upstream,
            address: upstream.address(),
            domain: spec.domain.clone(),
            life: Life::Live,
            place: Some(Placement { service: spec.service.clone(), shard, shards }),
        }
    }

    /// Takes every upstream out of its first cold start.
    pub fn mark_warm(&self) {
        self.upstreams.iter().for_each(Upstream::mark_warm);
    }

    /// Returns the upstreams of one failure domain.
    pub fn in_domain(&self, domain: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().filter(move |upstream| *upstream.spec().domain == *domain)
    }

    /// Stops all upstreams of a failure domain for `down`, after which they are cold.
    pub fn restart_domain(&self, domain: &str, down: Duration) {
        self.in_domain(domain).for_each(|upstream| upstream.restart(down));
    }
}
