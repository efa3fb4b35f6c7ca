//! Handover of groups and ledger buckets between owners, and the ledgers of requests that must run
//! at most once.

use std::rc::Rc;
use std::time::{Instant, SystemTime};

use limit::Phase;
use member::Key;
use once::{Ledger, Verdict};
use route::{bucket, is_bucket};
use tokio::task::spawn_local;

use crate::state::{Command, Control, Event, Handover, UpstreamState};
use crate::traffic::Traffic;

impl Traffic {
    /// Adopts the ledgers that were handed over for the buckets that this host owns now, and begins
    /// new ledgers for its other buckets.
    pub(crate) fn adopt_ledgers(&self, now: Instant, control: &Control) {
        self.received_ledgers.borrow_mut().retain(|key, (epoch, ledger)| {
            let Some(grant) = control.grant(now, key) else { return true };
            if *epoch != control.epoch {
                return true;
            }
            let mut ledgers = self.ledgers.borrow_mut();
            // A ledger that was begun in this tenure stays, as it may contain claims.
            if ledgers.get(key).is_none_or(|(since, _)| *since != grant.since) {
                ledgers.insert(key.clone(), (grant.since, ledger.clone()));
            }
            false
        });
        // A bucket without claims also needs a ledger: handed over, the empty ledger shows the next
        // owner that there are no claims.
        for (key, grant) in control.grants.iter().filter(|(key, _)| is_bucket(key)) {
            let mut ledgers = self.ledgers.borrow_mut();
            let new = || (grant.since, Ledger::new(grant.since));
            let held = ledgers.entry(key.clone()).or_insert_with(new);
            if held.0 != grant.since {
                *held = new();
            }
        }
    }

    /// Claims the right to run a request that must run at most once. Returns `None` if this host
    /// holds no grant for the bucket of the request.
    pub(crate) fn claim(self: &Rc<Self>, id: &str) -> Option<Verdict> {
        self.adopt_control();
        let key = bucket(id);
        let grant = self.control.borrow().grant(Instant::now(), &key)?;
        let mut ledgers = self.ledgers.borrow_mut();
        let new = || (grant.since, Ledger::new(grant.since));
        let (since, ledger) = ledgers.entry(key).or_insert_with(new);
        if *since != grant.since {
            (*since, *ledger) = new();
        }
        Some(ledger.claim(SystemTime::now(), id))
    }

    /// Revokes the claim of a request that has provably not run.
    pub(crate) fn revoke_claim(&self, id: &str) {
        if let Some((_, ledger)) = self.ledgers.borrow_mut().get_mut(&bucket(id)) {
            ledger.revoke(id);
        }
    }

    /// Hands groups and buckets over to their next owner, which then need not wait for the takeover
    /// delay.
    pub(crate) fn hand_over(self: &Rc<Self>, command: &Command) {
        let now = Instant::now();
        let mut upstreams = Vec::new();
        for (name, upstream) in &*self.upstreams.borrow() {
            if !command.keys.contains(&upstream.target.borrow().key) {
                continue;
            }
            upstream.handed_over.set(true);
            let limiter = upstream.limiter.borrow();
            let until = limiter.busy_until().unwrap_or(now);
            upstreams.push(UpstreamState {
                upstream: name.clone(),
                warm: limiter.phase(now) == Phase::Warm,
                busy: limiter.busy(now),
                busy_ms: until.saturating_duration_since(now).as_millis() as u64 + 1,
                snapshot: upstream.served_shard.get().snapshot,
            });
        }
        let keys = command.keys.iter().map(|key| (key.domain.clone(), key.name.clone())).collect();
        let mut ledgers = self.ledgers.borrow_mut();
        let moved = command.keys.iter().filter_map(|key| {
            let (_, ledger) = ledgers.remove(key)?;
            Some((key.name.clone(), ledger))
        });
        let ledgers = moved.collect();
        let handover = Handover { epoch: command.epoch, keys, upstreams, ledgers };
        let Ok(body) = serde_json::to_vec(&handover) else { return };
        let to = command.to;
        log::info!(
            to:%, groups = handover.keys.len(), epoch = handover.epoch;
            "groups handed over"
        );
        spawn_local(async move {
            let sent = async {
                let connection = wire::connect(to).await.ok()?;
                let mut call = connection.client.release_request();
                call.get().set_body(&body);
                call.send().promise.await.ok()
            };
            if sent.await.is_none() {
                log::info!(to:%; "handover failed; the next owner waits for the takeover delay");
            }
        });
    }

    /// Stores the state that a former owner has handed over, and tells the control thread.
    pub(crate) fn receive_handover(&self, handover: Handover) {
        for state in handover.upstreams {
            let name = state.upstream.clone();
            self.received_upstreams.borrow_mut().insert(name, (handover.epoch, state));
        }
        for (name, ledger) in handover.ledgers {
            let key = Key { domain: "".into(), name };
            self.received_ledgers.borrow_mut().insert(key, (handover.epoch, ledger));
        }
        let keys = handover.keys.into_iter().map(|(domain, name)| Key { domain, name }).collect();
        let _ = self.events.send(Event::HandoverReceived(handover.epoch, keys));
    }
}
