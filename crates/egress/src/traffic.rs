//! The traffic thread: the upstreams that this host owns, and the brokers that follow this host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use member::{Epoch, Key};
use once::Ledger;
use route::{Presence, Report, View};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use crate::metrics::Metrics;
use crate::state::{Command, Control, Event, UpstreamState};
use crate::upstream::Upstream;

/// Interval at which the queues and the report are updated.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time after the last follow request of a broker at which the broker is removed from the view.
const PRESENCE_TTL: Duration = Duration::from_secs(8);

/// State of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) metrics: Metrics,
    pub(crate) control: watch::Receiver<Arc<Control>>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) baseline: bool,
    /// Upstreams by name.
    pub(crate) upstreams: RefCell<BTreeMap<Box<str>, Rc<Upstream>>>,
    /// State of upstreams that former owners have handed over, with the epoch of the handover.
    pub(crate) received_upstreams: RefCell<BTreeMap<Box<str>, (Epoch, UpstreamState)>>,
    /// Ledgers that former owners have handed over, with the epoch of the handover.
    pub(crate) received_ledgers: RefCell<BTreeMap<Key, (Epoch, Ledger)>>,
    /// Ledgers of the buckets that this host owns, with the start of the tenure.
    pub(crate) ledgers: RefCell<BTreeMap<Key, (SystemTime, Ledger)>>,
    /// Signals that cancel running parts, by search id and part id.
    pub(crate) cancels: RefCell<BTreeMap<(u64, u32), Rc<Notify>>>,
    pub(crate) report: RefCell<Report>,
    pub(crate) view: RefCell<View>,
    /// Brokers by name, with the time of their last follow request.
    pub(crate) brokers: RefCell<BTreeMap<Box<str>, (Instant, Presence)>>,
    /// Notifies followers of changes of the view and the report.
    pub(crate) changed: Notify,
    /// Number of parts in flight.
    pub(crate) in_flight: Cell<u32>,
    /// The control state last adopted by this thread.
    pub(crate) adopted: RefCell<Arc<Control>>,
}

impl Traffic {
    pub(crate) fn new(
        control: watch::Receiver<Arc<Control>>,
        events: mpsc::UnboundedSender<Event>,
        metrics: Metrics,
        baseline: bool,
    ) -> Rc<Self> {
        // Versions grow across restarts, so that a follower never takes the state of a new process
        // for one that it already holds.
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let version = start.as_micros() as u64;
        Rc::new(Self {
            metrics,
            control,
            events,
            baseline,
            upstreams: RefCell::default(),
            received_upstreams: RefCell::default(),
            received_ledgers: RefCell::default(),
            ledgers: RefCell::default(),
            cancels: RefCell::default(),
            report: RefCell::new(Report { version, ..Report::default() }),
            view: RefCell::new(View { version, ..View::default() }),
            brokers: RefCell::default(),
            changed: Notify::new(),
            in_flight: Cell::new(0),
            adopted: RefCell::default(),
        })
    }

    /// Adopts published control state, hands groups and buckets over and updates the queues until
    /// the control thread has ended.
    pub(crate) async fn run(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut control = self.control.clone();
        loop {
            tokio::select! {
                changed = control.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.adopt_control();
                }
                Some(command) = commands.recv() => {
                    self.adopt_control();
                    self.hand_over(&command);
                }
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
            self.tick();
        }
    }

    /// Returns the upstream `name`, or `None` if it is not listed or this host has never held a
    /// grant for it.
    pub(crate) fn upstream(&self, name: &str) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(name).cloned()
    }

    /// Returns whether this host holds a grant for the group of the upstream at `now`.
    pub(crate) fn has_grant(&self, now: Instant, upstream: &Upstream) -> bool {
        self.control.borrow().grant(now, &upstream.target.borrow().key).is_some()
    }

    /// Returns the number of parts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Registers a part in flight; returns the signal that cancels it.
    pub(crate) fn begin_part(&self, search_id: u64, part: u32) -> Rc<Notify> {
        self.in_flight.set(self.in_flight.get() + 1);
        let cancel = Rc::new(Notify::new());
        self.cancels.borrow_mut().insert((search_id, part), cancel.clone());
        cancel
    }

    /// Removes a part that has ended.
    pub(crate) fn end_part(&self, search_id: u64, part: u32) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.cancels.borrow_mut().remove(&(search_id, part));
    }

    /// Cancels a part if it is in flight.
    pub(crate) fn cancel_part(&self, search_id: u64, part: u32) {
        if let Some(cancel) = self.cancels.borrow().get(&(search_id, part)) {
            cancel.notify_one();
        }
    }

    /// Adopts the published control state: updates the upstreams, the tenures, the ledgers and the
    /// view.
    pub(crate) fn adopt_control(self: &Rc<Self>) {
        let control = self.control.borrow().clone();
        // Most publications only renew grants, which are read from the published state when needed.
        if !control.differs(&self.adopted.replace(control.clone())) {
            return;
        }
        let now = Instant::now();
        // A handover is valid in its own epoch only: in a later epoch, other hosts may have owned
        // the group or the bucket in the meantime.
        self.received_upstreams.borrow_mut().retain(|_, (epoch, _)| *epoch >= control.epoch);
        self.received_ledgers.borrow_mut().retain(|_, (epoch, _)| *epoch >= control.epoch);
        self.adopt_ledgers(now, &control);
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.retain(|name, _| control.targets.contains_key(name));
        for (name, target) in &*control.targets {
            let Some(service) = control.rules.services.get(&target.service) else { continue };
            let Some(grant) = control.grant(now, &target.key) else { continue };
            let upstream = upstreams.entry(name.clone()).or_insert_with(|| {
                let (cancels, cancel_requests) = mpsc::unbounded_channel();
                let upstream =
                    Upstream::new(name, target.clone(), &service.limit, self.baseline, cancels);
                let upstream = Rc::new(upstream);
                spawn_local(self.clone().manage(upstream.clone(), cancel_requests));
                upstream
            });
            upstream.update(target.clone(), &service.limit);
            let received = self.received_upstreams.borrow();
            let handover = received.get(name).filter(|(epoch, _)| *epoch == control.epoch);
            let handover = handover.map(|(_, handover)| handover);
            upstream.set_tenure(now, grant.since, handover);
        }
        drop(upstreams);
        self.update_view(&control);
    }

    /// Updates the queues of the upstreams, the report and the brokers in the view.
    fn tick(&self) {
        let now = Instant::now();
        for upstream in self.upstreams.borrow().values() {
            upstream.advance_queue(now);
        }
        self.update_report(now);
        let before = self.brokers.borrow().len();
        self.brokers.borrow_mut().retain(|_, (at, _)| now < *at + PRESENCE_TTL);
        if self.brokers.borrow().len() != before {
            self.update_view(&self.control.borrow().clone());
        }
    }
}
