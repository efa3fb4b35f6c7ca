//! Faults as the run plays them.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use history::EventKind;
use kernel::Result;
use rand::RngExt;
use route::{Edit, Life};
use standin::{Faults, Fleet, Upstream};
use store::CONFIG_KEY;

use crate::run::Run;
use crate::scenario::{self, Fault};

/// Time between two upstreams' moves to a new snapshot.
const SNAPSHOT_STEP: Duration = Duration::from_millis(30);

/// Time between the list's word that an upstream leaves and its end.
const LEAVE_TIME: Duration = Duration::from_secs(6);

impl Run {
    pub(crate) fn pick(&mut self) -> Upstream {
        // Among the services with the most shards, where one straggler hurts most.
        let many: Vec<Upstream> =
            self.cluster.fleet.upstreams.iter().filter(|u| u.spec().shards > 1).cloned().collect();
        many[self.random.random_range(0..many.len())].clone()
    }

    pub(crate) async fn fault(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Slow(factor) => self.pick().set_slowdown(factor),
            Fault::Chill => self.pick().reset_to_cold(),
            Fault::Restart => self.pick().restart(Duration::from_millis(300)),
            Fault::Leave => self.leave(),
            Fault::DomainOut => self.set_domain(true),
            Fault::DomainIn => {
                self.cluster.fleet.restart_domain(&self.domain, Duration::from_millis(300));
                tokio::time::sleep(Duration::from_millis(400)).await;
                self.set_domain(false);
            }
            Fault::Snapshot => self.move_snapshot(),
            Fault::Repartition => self.repartition(),
            Fault::Mute => {
                for _ in 0..5 {
                    self.pick().silence_connections();
                }
            }
            Fault::StoreDown(share) => {
                self.faults_for(share, Faults { down: true, ..Faults::default() });
            }
            Fault::LoseAnswers(share) => {
                self.faults_for(share, Faults { lose_answers: true, ..Faults::default() });
            }
            Fault::KillEgress => self.kill_egress(),
            Fault::RollingStop => self.rolling_stop().await?,
            Fault::Load(load) => self.load.store(load, Ordering::Relaxed),
        }
        Ok(())
    }

    pub(crate) fn leave(&mut self) {
        let upstream = self.pick();
        let id = upstream.spec().id.clone();
        self.cluster.platform.set_life(&id, Life::Leaving);
        let (platform, recorder) = (self.cluster.platform.clone(), self.cluster.recorder.clone());
        recorder.record(EventKind::Leaving(id.clone()));
        tokio::spawn(async move {
            tokio::time::sleep(LEAVE_TIME).await;
            upstream.restart(Duration::from_secs(3_600));
            platform.remove_hosts(&[id]);
        });
    }

    /// Takes the domain out or in, as `pistachioctl domain` would.
    pub(crate) fn set_domain(&self, out: bool) {
        let platform = &self.cluster.platform;
        let stands = platform.get(CONFIG_KEY);
        let edit: Edit = serde_json::from_str(&stands.value).unwrap_or_default();
        let Ok(text) = rules::set_domain(&edit.text, &self.domain, out, "experiment") else {
            return;
        };
        let edit = edit.next(&format!("edit-{}", stands.revision), "experiment", &text);
        let revision = platform.put(CONFIG_KEY, &serde_json::to_string(&edit).unwrap_or_default());
        self.cluster.recorder.record(EventKind::ConfigAccepted(revision));
        let domain = self.domain.clone();
        let what = if out { EventKind::DomainOut(domain) } else { EventKind::DomainIn(domain) };
        self.cluster.recorder.record(what);
    }

    pub(crate) fn move_snapshot(&mut self) {
        self.snapshot += 1;
        let (snapshot, fleet) = (self.snapshot, self.cluster.fleet.clone());
        tokio::spawn(async move {
            for upstream in fleet.upstreams.iter().filter(|u| u.spec().shards > 1) {
                let (shard, shards) = upstream.assignment();
                upstream.assign(snapshot, shard, shards);
                tokio::time::sleep(SNAPSHOT_STEP).await;
            }
        });
    }

    /// Moves the first service with many shards to half as many, with twice the replicas.
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

    pub(crate) fn faults_for(&self, share: u32, faults: Faults) {
        let platform = self.cluster.platform.clone();
        let time = scenario::share(self.length, share);
        platform.set_faults(faults);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            platform.set_faults(Faults::default());
        });
    }

    /// Kills an egress, and notes when all upstreams take work again.
    pub(crate) fn kill_egress(&mut self) {
        let place = self.random.random_range(0..self.cluster.nodes.len());
        self.cluster.kill_egress(place);
        let killed = Instant::now();
        self.killed_at = Some(killed);
        let scenes: Vec<_> = self.cluster.nodes.iter().map(|n| n.broker.state.clone()).collect();
        let (all, recovered) = (self.cluster.fleet.upstreams.len(), self.recovered.clone());
        tokio::spawn(async move {
            let mut lost = false;
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let count = |scene: &Arc<broker::ControlState>| {
                    scene.candidates.values().map(Vec::len).sum::<usize>()
                };
                let fewest = scenes.iter().map(|scene| count(&scene.borrow())).min();
                lost |= fewest < Some(all);
                if lost && fewest == Some(all) {
                    let took = killed.elapsed().as_secs_f64();
                    *recovered.lock().unwrap_or_else(PoisonError::into_inner) = Some(took);
                    return;
                }
            }
        });
    }

    pub(crate) async fn rolling_stop(&mut self) -> Result<()> {
        let names: Vec<_> =
            self.cluster.nodes.iter().map(|n| (n.name.clone(), n.domain.clone())).collect();
        let step = scenario::share(self.length, 850) / names.len() as u32;
        for (name, domain) in names {
            let next = Instant::now() + step;
            self.cluster.add_node(&domain).await?;
            tokio::time::sleep(step / 3).await;
            self.cluster.stop_node(&name);
            self.note_seeds();
            tokio::time::sleep_until(next.into()).await;
        }
        Ok(())
    }
}
