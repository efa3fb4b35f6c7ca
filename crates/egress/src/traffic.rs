//! The traffic thread: the upstreams owned here, and who follows their state.

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
use crate::state::{Command, Control, Event, Handover};
use crate::upstream::Owned;

/// Time between two looks at waiting parts and at the report.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Time after which a broker that no longer follows is forgotten.
const PRESENCE_TIME: Duration = Duration::from_secs(8);

/// State of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) metrics: Metrics,
    pub(crate) control: watch::Receiver<Arc<Control>>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) baseline: bool,
    pub(crate) upstreams: RefCell<BTreeMap<Box<str>, Rc<Owned>>>,
    pub(crate) handovers: RefCell<BTreeMap<Box<str>, (Epoch, Handover)>>,
    pub(crate) inherited: RefCell<BTreeMap<Key, (Epoch, Ledger)>>,
    pub(crate) ledgers: RefCell<BTreeMap<Key, (SystemTime, Ledger)>>,
    pub(crate) cancels: RefCell<BTreeMap<(u64, u32), Rc<Notify>>>,
    pub(crate) report: RefCell<Report>,
    pub(crate) view: RefCell<View>,
    pub(crate) brokers: RefCell<BTreeMap<Box<str>, (Instant, Presence)>>,
    pub(crate) changed: Notify,
    pub(crate) running: Cell<u32>,
    pub(crate) taken: RefCell<Arc<Control>>,
}

impl Traffic {
    pub(crate) fn new(
        control: watch::Receiver<Arc<Control>>,
        events: mpsc::UnboundedSender<Event>,
        metrics: Metrics,
        baseline: bool,
    ) -> Rc<Self> {
        // Versions grow over restarts, so that a follower never takes a new life's for its own.
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let version = start.as_micros() as u64;
        Rc::new(Self {
            metrics,
            control,
            events,
            baseline,
            upstreams: RefCell::default(),
            handovers: RefCell::default(),
            inherited: RefCell::default(),
            ledgers: RefCell::default(),
            cancels: RefCell::default(),
            report: RefCell::new(Report { version, ..Report::default() }),
            view: RefCell::new(View { version, ..View::default() }),
            brokers: RefCell::default(),
            changed: Notify::new(),
            running: Cell::new(0),
            taken: RefCell::default(),
        })
    }

    /// Looks at what is due until the process ends.
    pub(crate) async fn run(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut control = self.control.clone();
        loop {
            tokio::select! {
                changed = control.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.take_control();
                }
                Some(command) = commands.recv() => {
                    self.take_control();
                    self.hand_over(&command);
                }
                () = tokio::time::sleep(TICK) => {}
            }
            self.pump();
        }
    }

    /// Returns the upstream if it belongs to this host.
    pub(crate) fn owned(&self, upstream: &str) -> Option<Rc<Owned>> {
        self.upstreams.borrow().get(upstream).cloned()
    }

    /// Returns whether this host may send to the upstream right now.
    pub(crate) fn may_send(&self, now: Instant, owned: &Owned) -> bool {
        self.control.borrow().grant(now, &owned.target.borrow().key).is_some()
    }

    /// Returns the number of parts on their way.
    pub(crate) fn running(&self) -> u32 {
        self.running.get()
    }

    pub(crate) fn begin(&self, query: u64, part: u32) -> Rc<Notify> {
        self.running.set(self.running.get() + 1);
        let cancel = Rc::new(Notify::new());
        self.cancels.borrow_mut().insert((query, part), cancel.clone());
        cancel
    }

    pub(crate) fn end(&self, query: u64, part: u32) {
        self.running.set(self.running.get() - 1);
        self.cancels.borrow_mut().remove(&(query, part));
    }

    pub(crate) fn cancel(&self, query: u64, part: u32) {
        if let Some(cancel) = self.cancels.borrow().get(&(query, part)) {
            cancel.notify_one();
        }
    }

    pub(crate) fn take_control(self: &Rc<Self>) {
        let control = self.control.borrow().clone();
        // Most publications only renew grants, which are looked up where they are needed.
        if !control.differs(&self.taken.replace(control.clone())) {
            return;
        }
        let now = Instant::now();
        // A handover counts in its own epoch only: later, others may have owned the group.
        self.handovers.borrow_mut().retain(|_, (epoch, _)| *epoch >= control.epoch);
        self.inherited.borrow_mut().retain(|_, (epoch, _)| *epoch >= control.epoch);
        self.take_ledgers(now, &control);
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.retain(|name, _| control.targets.contains_key(name));
        for (name, target) in &*control.targets {
            let Some(service) = control.rules.services.get(&target.service) else { continue };
            let Some(grant) = control.grant(now, &target.key) else { continue };
            let owned = upstreams.entry(name.clone()).or_insert_with(|| {
                let (cancels, wanted) = mpsc::unbounded_channel();
                let owned =
                    Owned::new(name, target.clone(), &service.limit, self.baseline, cancels);
                let owned = Rc::new(owned);
                spawn_local(self.clone().attend(owned.clone(), wanted));
                owned
            });
            owned.update(target.clone(), &service.limit);
            let handovers = self.handovers.borrow();
            let handover = handovers.get(name).filter(|(epoch, _)| *epoch == control.epoch);
            let handover = handover.map(|(_, handover)| handover);
            owned.set_tenure(now, grant.since, handover);
        }
        drop(upstreams);
        self.set_view(&control);
    }

    fn pump(&self) {
        let now = Instant::now();
        for owned in self.upstreams.borrow().values() {
            owned.pump(now);
        }
        self.set_report(now);
        let before = self.brokers.borrow().len();
        self.brokers.borrow_mut().retain(|_, (at, _)| now < *at + PRESENCE_TIME);
        if self.brokers.borrow().len() != before {
            self.set_view(&self.control.borrow().clone());
        }
    }
}
