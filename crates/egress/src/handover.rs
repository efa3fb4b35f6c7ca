//! What moves with a group to its next owner, and the ledgers of requests that run at most once.

use std::rc::Rc;
use std::time::{Instant, SystemTime};

use limit::Phase;
use member::Key;
use once::{Ledger, Verdict};
use route::{bucket, is_bucket};
use tokio::task::spawn_local;

use crate::state::{Command, Control, Event, Handover, Release};
use crate::traffic::Traffic;

impl Traffic {
    /// Goes on with the ledgers that came with their buckets.
    pub(crate) fn take_ledgers(&self, now: Instant, control: &Control) {
        self.inherited.borrow_mut().retain(|key, (epoch, ledger)| {
            let Some(grant) = control.grant(now, key) else { return true };
            if *epoch != control.epoch {
                return true;
            }
            let mut ledgers = self.ledgers.borrow_mut();
            // One that has granted already in this tenure stays.
            if ledgers.get(key).is_none_or(|(since, _)| *since != grant.since) {
                ledgers.insert(key.clone(), (grant.since, ledger.clone()));
            }
            false
        });
        // A bucket without claims is handed over as well: its ledger knows that there were none.
        for (key, grant) in control.grants.iter().filter(|(key, _)| is_bucket(key)) {
            let mut ledgers = self.ledgers.borrow_mut();
            let new = || (grant.since, Ledger::new(grant.since));
            let held = ledgers.entry(key.clone()).or_insert_with(new);
            if held.0 != grant.since {
                *held = new();
            }
        }
    }

    /// Claims the run of a request that must run at most once.
    pub(crate) fn claim(self: &Rc<Self>, id: &str) -> Option<Verdict> {
        self.take_control();
        let key = bucket(id);
        let grant = self.control.borrow().grant(Instant::now(), &key)?;
        let mut ledgers = self.ledgers.borrow_mut();
        let fresh = || (grant.since, Ledger::new(grant.since));
        let (since, ledger) = ledgers.entry(key).or_insert_with(fresh);
        if *since != grant.since {
            (*since, *ledger) = fresh();
        }
        Some(ledger.claim(SystemTime::now(), id))
    }

    /// Takes back the grant of a request that has provably not run.
    pub(crate) fn not_run(&self, id: &str) {
        if let Some((_, ledger)) = self.ledgers.borrow_mut().get_mut(&bucket(id)) {
            ledger.revoke(id);
        }
    }

    /// Hands groups over to their next owner, which needs not wait for the fence then.
    pub(crate) fn hand_over(self: &Rc<Self>, command: &Command) {
        let now = Instant::now();
        let mut upstreams = Vec::new();
        for (name, owned) in &*self.upstreams.borrow() {
            if !command.keys.contains(&owned.target.borrow().key) {
                continue;
            }
            owned.handed_over.set(true);
            let gate = owned.gate.borrow();
            let until = gate.busy_until().unwrap_or(now);
            upstreams.push(Handover {
                upstream: name.clone(),
                warm: gate.phase(now) == Phase::Warm,
                busy: gate.busy(now),
                busy_ms: until.saturating_duration_since(now).as_millis() as u64 + 1,
                snapshot: owned.place.get().snapshot,
            });
        }
        let keys = command.keys.iter().map(|key| (key.domain.clone(), key.name.clone())).collect();
        let mut ledgers = self.ledgers.borrow_mut();
        let given = command.keys.iter().filter_map(|key| {
            let (_, ledger) = ledgers.remove(key)?;
            Some((key.name.clone(), ledger))
        });
        let ledgers = given.collect();
        let release = Release { epoch: command.epoch, keys, upstreams, ledgers };
        let Ok(body) = serde_json::to_vec(&release) else { return };
        let to = command.to;
        log::info!(to:%, groups = release.keys.len(), epoch = release.epoch; "groups handed over");
        spawn_local(async move {
            let sent = async {
                let node = wire::connect(to).await.ok()?;
                let mut call = node.client.release_request();
                call.get().set_body(&body);
                call.send().promise.await.ok()
            };
            if sent.await.is_none() {
                log::info!(to:%; "handover failed, the new owner waits for the fence");
            }
        });
    }

    /// Takes a handover by a former owner.
    pub(crate) fn take_over(&self, release: Release) {
        for handover in release.upstreams {
            let name = handover.upstream.clone();
            self.handovers.borrow_mut().insert(name, (release.epoch, handover));
        }
        for (name, ledger) in release.ledgers {
            let key = Key { domain: "".into(), name };
            self.inherited.borrow_mut().insert(key, (release.epoch, ledger));
        }
        let keys = release.keys.into_iter().map(|(domain, name)| Key { domain, name }).collect();
        let _ = self.events.send(Event::Released(release.epoch, keys));
    }
}
