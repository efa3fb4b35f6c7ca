//! The state of this egress that brokers and other egresses follow.

use std::time::{Duration, Instant};

use limit::Phase;
use route::{Follow, Report, Status, Update, View};

use crate::part::GRANT_TIMEOUT;
use crate::state::Control;
use crate::traffic::Traffic;

/// Maximum time for which a long poll (a follow request) is held open while nothing changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(3);

impl Traffic {
    /// Updates the view, and notifies followers if it has changed.
    pub(crate) fn update_view(&self, control: &Control) {
        let brokers =
            self.brokers.borrow().values().map(|(_, presence)| presence.clone()).collect();
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

    /// Updates the report of the upstreams for which this host holds a grant, and notifies
    /// followers if the report has changed.
    pub(crate) fn update_report(&self, now: Instant) {
        let control = self.control.borrow().clone();
        let mut new = Vec::new();
        for (name, upstream) in &*self.upstreams.borrow() {
            let target = upstream.target.borrow();
            let (served_shard, phase) =
                (upstream.served_shard.get(), upstream.limiter.borrow().phase(now));
            if control.grant(now, &target.key).is_some() {
                upstream.last_granted.set(Some(now));
            }
            // Parts wait this long for a grant, so a shorter gap between grants is not reported.
            let granted = upstream.last_granted.get().is_some_and(|at| now < at + GRANT_TIMEOUT);
            let granted = granted && !upstream.handed_over.get();
            if !granted
                || served_shard.snapshot == 0
                || matches!(phase, Phase::Draining | Phase::Gone)
            {
                continue;
            }
            new.push(Status {
                upstream: name.clone(),
                service: target.service.clone(),
                domain: target.domain.clone(),
                shard: served_shard.shard,
                shards: served_shard.shards,
                snapshot: served_shard.snapshot,
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

    /// Answers a long poll: returns the state that differs from the versions in `known` as soon as
    /// there is any, or an empty update after [`LONG_POLL_TIMEOUT`].
    pub(crate) async fn follow(&self, known: Follow) -> Update {
        if let Some(presence) = &known.presence {
            let entry = (Instant::now(), presence.clone());
            self.brokers.borrow_mut().insert(presence.host.clone(), entry);
            self.update_view(&self.control.borrow().clone());
        }
        let until = Instant::now() + LONG_POLL_TIMEOUT;
        let mut control = self.control.clone();
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let update = self.changed_state(&known);
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

    /// Returns the view and the report if their versions differ from those in `known`, and the
    /// configuration and the list of hosts if they are newer.
    pub(crate) fn changed_state(&self, known: &Follow) -> Update {
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

    /// Removes a broker whose connection has ended.
    pub(crate) fn remove_broker(&self, host: &str) {
        self.brokers.borrow_mut().remove(host);
        self.update_view(&self.control.borrow().clone());
    }
}
