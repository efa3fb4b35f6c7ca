//! The traffic thread: the upstreams owned here, and who follows their state.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use limit::Phase;
use member::{Epoch, Key};
use once::{Ledger, Verdict};
use route::{Follow, Presence, Report, Status, Update, View};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use crate::connection::{Connection, open};
use crate::control::{bucket, is_bucket};
use crate::metrics::Metrics;
use crate::owned::{Owned, Place};
use crate::part::{Cancel, FENCE_WAIT};
use crate::state::{Command, Control, Event, Handover, Release};

/// Time between two looks at waiting parts and at the report.
const TICK: Duration = Duration::from_millis(10);

/// Time between two reads of an upstream's load endpoint.
const POLL_TIME: Duration = Duration::from_secs(1);

/// Time that a call of an upstream's side endpoints may take.
const SIDE_TIME: Duration = Duration::from_millis(500);

/// Time after which a broker that no longer follows is forgotten.
const PRESENCE_TIME: Duration = Duration::from_secs(8);

/// Longest time that a follower waits for a change.
const FOLLOW_TIME: Duration = Duration::from_secs(3);

/// State of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) metrics: Metrics,
    control: watch::Receiver<Arc<Control>>,
    events: mpsc::UnboundedSender<Event>,
    baseline: bool,
    upstreams: RefCell<BTreeMap<Box<str>, Rc<Owned>>>,
    handovers: RefCell<BTreeMap<Box<str>, (Epoch, Handover)>>,
    inherited: RefCell<BTreeMap<Key, (Epoch, Ledger)>>,
    ledgers: RefCell<BTreeMap<Key, (SystemTime, Ledger)>>,
    cancels: RefCell<BTreeMap<(u64, u32), Rc<Cancel>>>,
    report: RefCell<Report>,
    view: RefCell<View>,
    brokers: RefCell<BTreeMap<Box<str>, (Instant, Presence)>>,
    changed: Notify,
    running: Cell<u32>,
    taken: RefCell<Arc<Control>>,
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

    pub(crate) fn begin(&self, query: u64, part: u32) -> Rc<Cancel> {
        self.running.set(self.running.get() + 1);
        let cancel = Rc::new(Cancel::default());
        self.cancels.borrow_mut().insert((query, part), cancel.clone());
        cancel
    }

    pub(crate) fn end(&self, query: u64, part: u32) {
        self.running.set(self.running.get() - 1);
        self.cancels.borrow_mut().remove(&(query, part));
    }

    pub(crate) fn cancel(&self, query: u64, part: u32) {
        if let Some(cancel) = self.cancels.borrow().get(&(query, part)) {
            cancel.notify.notify_one();
        }
    }

    fn take_control(self: &Rc<Self>) {
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

    fn set_view(&self, control: &Control) {
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

    fn set_report(&self, now: Instant) {
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

    fn news(&self, known: &Follow) -> Update {
        let control = self.control.borrow().clone();
        let (view, report) = (self.view.borrow(), self.report.borrow());
        let wants_state = known.presence.is_some() || known.view > 0;
        let newer_hosts = known.hosts.is_some_and(|held| control.hosts.version > held);
        Update {
            view: (wants_state && view.version != known.view).then(|| view.clone()),
            report: (wants_state && report.version != known.report).then(|| report.clone()),
            config: (control.config.revision > known.config).then(|| control.config.clone()),
            hosts: newer_hosts.then(|| (*control.hosts).clone()),
        }
    }

    /// Forgets a broker whose connection has ended.
    pub(crate) fn forget(&self, host: &str) {
        self.brokers.borrow_mut().remove(host);
        self.set_view(&self.control.borrow().clone());
    }

    /// Goes on with the ledgers that came with their buckets.
    fn take_ledgers(&self, now: Instant, control: &Control) {
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
            ledger.not_run(id);
        }
    }

    /// Hands groups over to their next owner, which needs not wait for the fence then.
    fn hand_over(self: &Rc<Self>, command: &Command) {
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
        log::info!("{} groups are handed over to {to}", release.keys.len());
        spawn_local(async move {
            let sent = async {
                let node = wire::connect(to).await.ok()?;
                let mut call = node.client.release_request();
                call.get().set_body(&body);
                call.send().promise.await.ok()
            };
            if sent.await.is_none() {
                log::info!("the handover to {to} failed; it waits for the fence instead");
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

    /// Cancels and polls over one side connection, as long as the upstream is listed.
    async fn attend(
        self: Rc<Self>,
        owned: Rc<Owned>,
        mut cancels: mpsc::UnboundedReceiver<Box<str>>,
    ) {
        let mut side = None;
        loop {
            let request = tokio::select! {
                id = cancels.recv() => match id {
                    Some(id) => Request::delete(format!("/search/{id}")),
                    None => return,
                },
                () = tokio::time::sleep(if side.is_none() { TICK } else { POLL_TIME }) => {
                    Request::get("/load")
                }
            };
            let listed = self.owned(&owned.name).is_some_and(|other| Rc::ptr_eq(&other, &owned));
            if !listed {
                return;
            }
            if !self.may_send(Instant::now(), &owned) {
                tokio::time::sleep(TICK).await;
                continue;
            }
            let is_poll = request.method_ref() == Some(&hyper::Method::GET);
            let body = request.header("host", "upstream").body(Full::new(Bytes::new()));
            let Ok(request) = body else { continue };
            let answer = self.side_call(&owned, &mut side, request).await;
            match answer {
                Some(body) if is_poll => learn_load(&owned, &body),
                Some(_) => {}
                None => tokio::time::sleep(SIDE_TIME / 2).await,
            }
        }
    }

    async fn side_call(
        &self,
        owned: &Owned,
        side: &mut Option<Connection>,
        request: Request<Full<Bytes>>,
    ) -> Option<Bytes> {
        if side.as_ref().is_none_or(|connection| connection.sender.is_closed()) {
            if side.take().is_some() {
                owned.conns.borrow_mut().closed();
            }
            if !owned.conns.borrow_mut().try_open(Instant::now()) {
                return None;
            }
            let address = owned.target.borrow().address;
            let opened = open(address, SIDE_TIME).await;
            owned.conns.borrow_mut().opened(opened.is_ok());
            *side = opened.ok();
        }
        let connection = side.as_mut()?;
        let call = async {
            let response = connection.sender.send_request(request).await.ok()?;
            Some(response.into_body().collect().await.ok()?.to_bytes())
        };
        let answer = tokio::time::timeout(SIDE_TIME, call).await.ok().flatten();
        if answer.is_none() {
            *side = None;
            owned.conns.borrow_mut().abandoned(Instant::now());
        }
        answer
    }
}

/// Takes what a load endpoint says; answers outrank it.
fn learn_load(owned: &Owned, body: &Bytes) {
    let Ok(load) = serde_json::from_slice::<serde_json::Value>(body) else { return };
    let number = |name: &str| load.get(name).and_then(serde_json::Value::as_u64);
    if let (Some(snapshot), Some(shard), Some(shards)) =
        (number("snapshot"), number("shard"), number("shards"))
    {
        owned.learn(Place { snapshot, shard: shard as u32, shards: shards as u32 });
    }
}
