//! The control thread: follows every egress and publishes the scene.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::Stop;
use route::{Drain, Follow, Latest, Presence, Stage, Update};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::{ControlState, Told, candidates};

/// Time between two looks at the broker's own presence.
const TICK: Duration = Duration::from_millis(50);

/// Pause before a lost egress is followed again.
const RETRY_TIME: Duration = Duration::from_millis(200);

/// Time after which a silent egress is followed over a fresh connection; an egress answers within
/// three seconds even without news.
const SILENT_TIME: Duration = Duration::from_millis(4_500);

/// Searches in flight are told in steps of this size, so that few changes need a message.
const LOAD_STEP: u32 = 8;

/// Time for which a leaving broker refuses before it ends, so that no caller's request meets a
/// closed socket.
pub(crate) const REFUSE_TIME: Duration = Duration::from_millis(1_500);

/// What the control thread needs from its surroundings.
pub(crate) struct Wiring {
    pub(crate) address: SocketAddr,
    pub(crate) state: watch::Sender<Arc<ControlState>>,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) metrics: Metrics,
    pub(crate) stop: Stop,
}

struct Controller {
    settings: Settings,
    latest: Latest,
    told: BTreeMap<Box<str>, Told>,
    followed: BTreeSet<SocketAddr>,
    presence: watch::Sender<Presence>,
    leave: Drain,
    state: watch::Sender<Arc<ControlState>>,
    metrics: Metrics,
}

/// Runs until the broker has left.
pub(crate) async fn run(settings: Settings, mut wiring: Wiring) {
    let presence = Presence {
        host: settings.host.clone(),
        address: wiring.address,
        domain: settings.domain.clone(),
        load: 0,
        leaving: false,
        config: 0,
        config_ms: 0,
    };
    let seeds = settings.egresses.clone();
    let controller = Rc::new(RefCell::new(Controller {
        settings,
        latest: Latest::default(),
        told: BTreeMap::new(),
        followed: BTreeSet::new(),
        presence: watch::channel(presence).0,
        leave: Drain::default(),
        state: wiring.state,
        metrics: wiring.metrics,
    }));
    let changed = Rc::new(Notify::new());
    for seed in seeds {
        follow(&controller, &changed, seed);
    }
    let mut refusing_since = None;
    loop {
        tokio::select! {
            () = changed.notified() => {}
            () = tokio::time::sleep(TICK) => {}
            () = wiring.stop.wait(), if !wiring.stop.is_set() => {}
        }
        let now = Instant::now();
        let in_flight = wiring.in_flight.load(Ordering::Relaxed);
        let stage = controller.borrow_mut().publish(now, wiring.stop.is_set(), in_flight);
        let egresses: Vec<_> =
            controller.borrow().state.borrow().egresses.values().copied().collect();
        for egress in egresses {
            follow(&controller, &changed, egress);
        }
        if wiring.stop.is_set() && stage == Stage::Refusing {
            let since = *refusing_since.get_or_insert(now);
            if now >= since + REFUSE_TIME && in_flight == 0 {
                return;
            }
        }
    }
}

impl Controller {
    /// Works the scene out anew.
    fn publish(&mut self, now: Instant, stopping: bool, in_flight: u32) -> Stage {
        let rules = self.latest.rules();
        let out = rules.domains.get(&self.settings.domain).is_some_and(|rule| rule.out);
        self.leave.set(now, stopping || out);
        let stage = self.leave.stage(now);
        let config = self.latest.config().revision;
        self.presence.send_if_modified(|presence| {
            let new = Presence {
                load: in_flight / LOAD_STEP * LOAD_STEP,
                leaving: stage != Stage::Listed,
                config,
                config_ms: if presence.config == config { presence.config_ms } else { unix_ms() },
                ..presence.clone()
            };
            let changed = *presence != new;
            *presence = new;
            changed
        });
        let own = self.presence.borrow().clone();
        let newest = self.told.values().max_by_key(|told| told.view.epoch);
        let view = newest.map(|told| told.view.clone()).unwrap_or_default();
        let mut brokers = view.brokers;
        brokers.retain(|broker| broker.host != own.host);
        brokers.push(own);
        let state = ControlState {
            config: self.latest.config().clone(),
            rules: rules.clone(),
            epoch: view.epoch,
            egresses: view.egresses.into_iter().collect(),
            brokers,
            held: view.held,
            candidates: candidates(&self.settings.domain, rules, &self.told),
            stage,
        };
        let old = self.state.borrow().clone();
        if state.stage != old.stage {
            log::info!(stage:? = state.stage; "stage changed");
        }
        if state.config.revision != old.config.revision {
            log::info!(
                revision = state.config.revision, before = old.config.revision;
                "configuration in force"
            );
        }
        self.metrics.config.set(i64::try_from(state.config.revision).unwrap_or(i64::MAX));
        let same = state.config.revision == old.config.revision
            && state.candidates == old.candidates
            && state.brokers == old.brokers
            && state.held == old.held
            && state.egresses == old.egresses
            && state.stage == old.stage;
        if !same {
            self.state.send_replace(Arc::new(state));
        }
        stage
    }

    fn take(&mut self, host: &str, update: Update) {
        if let Some(config) = update.config {
            let revision = config.revision;
            if let Err(error) = self.latest.advance(config) {
                log::error!(revision, error:%; "configuration refused");
            }
        }
        let told = self.told.entry(host.into()).or_default();
        if let Some(view) = update.view {
            told.view = view;
        }
        if let Some(report) = update.report {
            told.report = report;
        }
    }
}

/// Returns the wall clock's time, for operators only.
fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time.as_millis() as u64
}

/// Starts to follow an egress, unless it is followed already.
fn follow(controller: &Rc<RefCell<Controller>>, changed: &Rc<Notify>, egress: SocketAddr) {
    if !controller.borrow_mut().followed.insert(egress) {
        return;
    }
    let (controller, changed) = (controller.clone(), changed.clone());
    spawn_local(async move {
        let mut misses = 0;
        // An egress that left the roster is given up after a few tries.
        while misses < 25 || controller.borrow().settings.egresses.contains(&egress) {
            let ended = follow_one(&controller, &changed, egress).await;
            let told = controller.borrow_mut().told.remove(&Box::from(egress.to_string()));
            if told.is_some() {
                misses = 0;
                log::info!(egress:%, cause:% = ended; "egress lost");
                changed.notify_one();
            }
            misses += 1;
            tokio::time::sleep(RETRY_TIME).await;
        }
        controller.borrow_mut().followed.remove(&egress);
    });
}

/// Follows one egress until its connection fails, and returns why.
async fn follow_one(
    controller: &Rc<RefCell<Controller>>,
    changed: &Rc<Notify>,
    egress: SocketAddr,
) -> Box<str> {
    let node = match wire::connect(egress).await {
        Ok(node) => node,
        Err(error) => return error.to_string().into(),
    };
    let mut presence = controller.borrow().presence.subscribe();
    let mut known = Follow::default();
    loop {
        known.presence = Some(presence.borrow_and_update().clone());
        known.config = controller.borrow().latest.config().revision;
        let mut call = node.client.follow_request();
        call.get().set_known(&serde_json::to_vec(&known).unwrap_or_default());
        let reply = tokio::select! {
            reply = call.send().promise => reply,
            _ = presence.changed() => continue,
            () = tokio::time::sleep(SILENT_TIME) => return "it went silent".into(),
        };
        let update = reply.and_then(|reply| {
            let bytes = reply.get()?.get_update()?;
            serde_json::from_slice::<Update>(bytes).map_err(|e| capnp::Error::failed(e.to_string()))
        });
        let update = match update {
            Ok(update) => update,
            Err(error) => return error.to_string().into(),
        };
        if let Some(view) = &update.view {
            known.view = view.version;
        }
        if let Some(report) = &update.report {
            known.report = report.version;
        }
        controller.borrow_mut().take(&egress.to_string(), update);
        changed.notify_one();
        // A burst of changes travels as one.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
