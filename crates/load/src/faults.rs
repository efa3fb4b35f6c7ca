//! Injection of the faults of a scenario.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use history::EventKind;
use kernel::Result;
use rand::RngExt;
use route::{Document, Life};
use standin::{Faults, Fleet, Upstream};
use store::CONFIG_KEY;

use crate::run::Run;
use crate::scenario::{self, Fault};

/// Time between the moves of two upstreams to a new snapshot.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(30);

/// Time from the listing of an upstream as leaving to its stop.
const LEAVE_GRACE: Duration = Duration::from_secs(6);

impl Run {
    /// Draws an upstream of a sharded service, where one straggler delays the most requests.
    pub(crate) fn pick_upstream(&mut self) -> Upstream {
        let sharded: Vec<Upstream> =
            self.cluster.fleet.upstreams.iter().filter(|u| u.spec().shards > 1).cloned().collect();
        sharded[self.rng.random_range(0..sharded.len())].clone()
    }

    /// Injects a fault; those that last for a time end by themselves.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement host does not start.
    pub(crate) async fn inject(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Slow(factor) => self.pick_upstream().set_slowdown(factor),
            Fault::ResetToCold => self.pick_upstream().reset_to_cold(),
            Fault::Restart => self.pick_upstream().restart(Duration::from_millis(300)),
            Fault::Leave => self.leave(),
            Fault::DomainOut => self.set_domain(true),
            Fault::DomainIn => {
                self.cluster.fleet.restart_domain(&self.domain, Duration::from_millis(300));
                tokio::time::sleep(Duration::from_millis(400)).await;
                self.set_domain(false);
            }
            Fault::Snapshot => self.move_snapshot(),
            Fault::Repartition => self.repartition(),
            Fault::SilenceConnections => {
                for _ in 0..5 {
                    self.pick_upstream().silence_connections();
                }
            }
            Fault::StoreDown(per_mille) => {
                self.set_platform_faults(per_mille, Faults { down: true, ..Faults::default() });
            }
            Fault::LoseAnswers(per_mille) => {
                self.set_platform_faults(
                    per_mille,
                    Faults { lose_answers: true, ..Faults::default() },
                );
            }
            Fault::KillEgress => self.kill_egress(),
            Fault::RollingStop => self.rolling_stop().await?,
            Fault::Load(load) => self.load_per_mille.store(load, Ordering::Relaxed),
        }
        Ok(())
    }

    /// Lists an upstream as leaving, then stops and removes it.
    pub(crate) fn leave(&mut self) {
        let upstream = self.pick_upstream();
        let id = upstream.spec().id.clone();
        self.cluster.platform.set_life(&id, Life::Leaving);
        let (platform, recorder) = (self.cluster.platform.clone(), self.cluster.recorder.clone());
        recorder.record(EventKind::Leaving(id.clone()));
        tokio::spawn(async move {
            tokio::time::sleep(LEAVE_GRACE).await;
            upstream.restart(Duration::from_secs(3_600));
            platform.remove_hosts(&[id]);
        });
    }

    /// Takes the domain out or puts it back in, as `pistachioctl domain` does.
    pub(crate) fn set_domain(&self, out: bool) {
        let platform = &self.cluster.platform;
        let current = platform.get(CONFIG_KEY);
        let document: Document = serde_json::from_str(&current.value).unwrap_or_default();
        let Ok(text) = rules::set_domain(&document.text, &self.domain, out, "experiment") else {
            return;
        };
        let document = document.next(&format!("edit-{}", current.revision), "experiment", &text);
        let revision =
            platform.put(CONFIG_KEY, &serde_json::to_string(&document).unwrap_or_default());
        self.cluster.recorder.record(EventKind::ConfigAccepted(revision));
        let domain = self.domain.clone();
        let event = if out {
            EventKind::DomainEvacuated(domain)
        } else {
            EventKind::DomainRestored(domain)
        };
        self.cluster.recorder.record(event);
    }

    /// Moves the upstreams of sharded services to the next snapshot, one after the other.
    pub(crate) fn move_snapshot(&mut self) {
        self.snapshot += 1;
        let (snapshot, fleet) = (self.snapshot, self.cluster.fleet.clone());
        tokio::spawn(async move {
            for upstream in fleet.upstreams.iter().filter(|u| u.spec().shards > 1) {
                let (shard, shards) = upstream.assignment();
                upstream.assign(snapshot, shard, shards);
                tokio::time::sleep(SNAPSHOT_INTERVAL).await;
            }
        });
    }

    /// Moves the first sharded service to half as many shards, each with twice the replicas.
    pub(crate) fn repartition(&mut self) {
        self.snapshot += 1;
        let name = self.cluster.rules.services.iter().find(|(_, s)| s.shards > 1);
        let name = name.map(|(name, _)| name.clone()).unwrap_or_default();
        let (snapshot, fleet) = (self.snapshot, self.cluster.fleet.clone());
        let platform = self.cluster.platform.clone();
        tokio::spawn(async move {
            for upstream in fleet.upstreams.iter().filter(|u| u.spec().service == name) {
                let (shard, shards) = upstream.assignment();
                upstream.assign(snapshot, shard % (shards / 2), shards / 2);
                platform.add_hosts([Fleet::host(upstream)]);
            }
        });
    }

    /// Sets faults of the platform for a time in thousandths of the run.
    pub(crate) fn set_platform_faults(&self, per_mille: u32, faults: Faults) {
        let platform = self.cluster.platform.clone();
        let time = scenario::fraction(self.duration, per_mille);
        platform.set_faults(faults);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            platform.set_faults(Faults::default());
        });
    }

    /// Kills an egress, and notes when all brokers can send to every upstream again.
    pub(crate) fn kill_egress(&mut self) {
        let index = self.rng.random_range(0..self.cluster.nodes.len());
        self.cluster.kill_egress(index);
        let killed = Instant::now();
        self.killed_at = Some(killed);
        let states: Vec<_> = self.cluster.nodes.iter().map(|n| n.broker.state.clone()).collect();
        let (all, recovered) = (self.cluster.fleet.upstreams.len(), self.recovery_s.clone());
        tokio::spawn(async move {
            // Recovery counts only after the loss has been seen.
            let mut lost = false;
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let count = |state: &Arc<broker::ControlState>| {
                    state.candidates.values().map(Vec::len).sum::<usize>()
                };
                let min = states.iter().map(|state| count(&state.borrow())).min();
                lost |= min < Some(all);
                if lost && min == Some(all) {
                    let seconds = killed.elapsed().as_secs_f64();
                    *recovered.lock().unwrap_or_else(PoisonError::into_inner) = Some(seconds);
                    return;
                }
            }
        });
    }

    /// Replaces every host by a new one in the same failure domain, spread over 85 % of the run.
    ///
    /// # Errors
    ///
    /// Returns an error when a new host does not start.
    pub(crate) async fn rolling_stop(&mut self) -> Result<()> {
        let names: Vec<_> =
            self.cluster.nodes.iter().map(|n| (n.name.clone(), n.domain.clone())).collect();
        let interval = scenario::fraction(self.duration, 850) / names.len() as u32;
        for (name, domain) in names {
            let next = Instant::now() + interval;
            self.cluster.add_node(&domain).await?;
            tokio::time::sleep(interval / 3).await;
            self.cluster.stop_node(&name);
            self.update_nodes();
            tokio::time::sleep_until(next.into()).await;
        }
        Ok(())
    }
}
