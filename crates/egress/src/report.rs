//! What brokers and other egresses are told of this one.

use std::time::{Duration, Instant};

use limit::Phase;
use route::{Follow, Report, Status, Update, View};

use crate::part::FENCE_WAIT;
use crate::state::Control;
use crate::traffic::Traffic;

/// Longest time that a follower waits for a change.
const FOLLOW_TIME: Duration = Duration::from_secs(3);

impl Traffic {
    pub(crate) fn set_view(&self, control: &Control) {
        let brokers = self.brokers.borrow().values().map(|(_, p)| p.clone()).collect();
        let mut view = self.view.borrow_mut();
        let new = View {
            version: view.version,
            epoch: control.epoch,
            egresses: control.egresses.clone(),
            brokers,
            held: control.held.clone(),
        };
        if *view != new {
            *view = View { version: new.version + 1, ..new };
            self.changed.notify_waiters();
        }
    }

    pub(crate) fn set_report(&self, now: Instant) {
        let control = self.control.borrow().clone();
        let mut new = Vec::new();
        for (name, owned) in &*self.upstreams.borrow() {
            let target = owned.target.borrow();
            let (place, phase) = (owned.place.get(), owned.gate.borrow().phase(now));
            if control.grant(now, &target.key).is_some() {
                owned.open_at.set(Some(now));
            }
            // Parts wait as long for the fence, so a lapse that short is not worth a report.
            let open = owned.open_at.get().is_some_and(|at| now < at + FENCE_WAIT);
            let open = open && !owned.handed_over.get();
            if !open || place.snapshot == 0 || matches!(phase, Phase::Draining | Phase::Gone) {
                continue;
            }
            new.push(Status {
                upstream: name.clone(),
                service: target.service.clone(),
                domain: target.domain.clone(),
                shard: place.shard,
                shards: place.shards,
                snapshot: place.snapshot,
                phase: phase.name().into(),
            });
        }
        let mut report = self.report.borrow_mut();
        if report.upstreams != new || report.epoch != control.epoch {
            let version = report.version + 1;
            *report = Report { version, epoch: control.epoch, upstreams: new };
            self.changed.notify_waiters();
        }
    }

    /// Answers a follower as soon as there is something new for it.
    pub(crate) async fn follow(&self, known: Follow) -> Update {
        if let Some(presence) = &known.presence {
            let entry = (Instant::now(), presence.clone());
            self.brokers.borrow_mut().insert(presence.host.clone(), entry);
            self.set_view(&self.control.borrow().clone());
        }
        let until = Instant::now() + FOLLOW_TIME;
        let mut control = self.control.clone();
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let update = self.news(&known);
            if update != Update::default() || Instant::now() >= until {
                return update;
            }
            let held = (known.config, known.hosts);
            tokio::select! {
                () = changed => {}
                _ = control.wait_for(|c| {
                    c.config.revision > held.0 || held.1.is_some_and(|v| c.hosts.version > v)
                }) => {}
                () = tokio::time::sleep_until(until.into()) => {}
            }
        }
    }

    pub(crate) fn news(&self, known: &Follow) -> Update {
        let control = self.control.borrow().clone();
        let (view, report) = (self.view.borrow(), self.report.borrow());
        let wants_state = known.presence.is_some() || known.view > 0;
        let newer_hosts = known.hosts.is_some_and(|held| control.hosts.version > held);
        Update {
            view: (wants_state && view.version != known.view).then(|| view.clone()),
            report: (wants_state && report.version != known.report).then(|| report.clone()),
            config: (control.config.revision > known.config).then(|| (*control.config).clone()),
            hosts: newer_hosts.then(|| (*control.hosts).clone()),
        }
    }

    /// Forgets a broker whose connection has ended.
    pub(crate) fn forget(&self, host: &str) {
        self.brokers.borrow_mut().remove(host);
        self.set_view(&self.control.borrow().clone());
    }
}
