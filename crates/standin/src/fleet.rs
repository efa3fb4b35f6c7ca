//! The stand-in upstreams of one rule file.

use std::net::SocketAddr;
use std::time::Duration;

use route::{Host, Kind, Life, Placement};
use rules::Rules;

use crate::recorder::Recorder;
use crate::state::Speed;
use crate::upstream::{Spec, Upstream};

/// Answers that an upstream gives until it is warm, as a fraction (numerator, denominator) of the
/// configured `cold_successes`.
const WARM_UP_RATIO: (u32, u32) = (3, 4);

/// The stand-in upstreams of one deployment.
#[derive(Clone, Default)]
pub struct Fleet {
    /// The upstreams, ordered by service, shard and replica.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Starts every upstream of `rules`, with the replicas spread over the failure domains.
    ///
    /// Each upstream binds `listen`, in which port 0 stands for a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound.
    pub async fn start(
        rules: &Rules,
        listen: SocketAddr,
        speed: Speed,
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        Self::start_specs(Self::specs(rules, speed), listen, recorder).await
    }

    /// Starts the upstreams of the given specifications; `listen` is as for [`Fleet::start`].
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound.
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

    /// Returns the specification of each upstream of `rules`.
    pub fn specs(rules: &Rules, speed: Speed) -> Vec<Spec> {
        let domains: Vec<&Box<str>> = rules.domains.keys().collect();
        let mut specs = Vec::new();
        for (name, service) in &rules.services {
            let placements =
                (0..service.shards).flat_map(|s| (0..service.replicas).map(move |r| (s, r)));
            for (shard, replica) in placements {
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
                    warm_up_answers: limit.cold_successes * WARM_UP_RATIO.0 / WARM_UP_RATIO.1,
                    never_repeat: service.never_repeat.clone(),
                    speed,
                });
            }
        }
        specs
    }

    /// Returns the entries of these upstreams in the platform's list of hosts.
    pub fn hosts(&self) -> Vec<Host> {
        self.upstreams.iter().map(Self::host).collect()
    }

    /// Returns the entry of one upstream in the platform's list of hosts.
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

    /// Marks every upstream as warm.
    pub fn mark_warm(&self) {
        self.upstreams.iter().for_each(Upstream::mark_warm);
    }

    /// Returns the upstreams of one failure domain.
    pub fn in_domain(&self, domain: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().filter(move |upstream| *upstream.spec().domain == *domain)
    }

    /// Stops all upstreams of a failure domain; they refuse connections for `down` and are cold
    /// afterwards.
    pub fn restart_domain(&self, domain: &str, down: Duration) {
        self.in_domain(domain).for_each(|upstream| upstream.restart(down));
    }
}
