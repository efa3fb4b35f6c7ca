//! The control thread: follows every egress and publishes the control state.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::ShutdownSignal;
use route::{Drain, Follow, Latest, Presence, Stage, Update};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::{ControlState, EgressState, candidates};

/// Maximum interval between two updates of the control state and of the state that this broker
/// reports of itself.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before an egress is followed again after its connection was lost.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Time after which an egress that does not answer is followed over a new connection. An egress
/// answers within 3 s even if nothing has changed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Step in which the number of searches in flight is reported, so that small changes do not cause
/// messages.
const LOAD_STEP: u32 = 8;

/// Time for which a broker that shuts down refuses requests before its HTTP server stops, so that
/// no request of a caller finds a closed socket.
pub(crate) const REFUSAL_GRACE: Duration = Duration::from_millis(1_500);

/// The channels, counters and shutdown signal that the control thread works with.
pub(crate) struct Context {
    pub(crate) address: SocketAddr,
    pub(crate) state: watch::Sender<Arc<ControlState>>,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: ShutdownSignal,
}

/// The state of the control thread.
struct Controller {
    settings: Settings,
    latest: Latest,
    /// Latest state of the connected egresses, by address.
    egresses: BTreeMap<Box<str>, EgressState>,
    followed: BTreeSet<SocketAddr>,
    presence: watch::Sender<Presence>,
    drain: Drain,
    state: watch::Sender<Arc<ControlState>>,
    metrics: Metrics,
}

/// Runs until the shutdown has begun and this broker has drained.
pub(crate) async fn run(settings: Settings, mut context: Context) {
    let presence = Presence {
        host: settings.host.clone(),
        address: context.address,
        domain: settings.domain.clone(),
        load: 0,
        leaving: false,
        config: 0,
        config_ms: 0,
    };
    let bootstrap_addresses = settings.egresses.clone();
    let controller = Rc::new(RefCell::new(Controller {
        settings,
        latest: Latest::default(),
        egresses: BTreeMap::new(),
        followed: BTreeSet::new(),
        presence: watch::channel(presence).0,
        drain: Drain::default(),
        state: context.state,
        metrics: context.metrics,
    }));
    let changed = Rc::new(Notify::new());
    for egress in bootstrap_addresses {
        follow(&controller, &changed, egress);
    }
    let mut refusing_since = None;
    loop {
        tokio::select! {
            () = changed.notified() => {}
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            () = context.shutdown.wait(), if !context.shutdown.is_set() => {}
        }
        let now = Instant::now();
        let in_flight = context.in_flight.load(Ordering::Relaxed);
        let stage = controller.borrow_mut().publish(now, context.shutdown.is_set(), in_flight);
        let egresses: Vec<_> =
            controller.borrow().state.borrow().egresses.values().copied().collect();
        for egress in egresses {
            follow(&controller, &changed, egress);
        }
        if context.shutdown.is_set() && stage == Stage::Refusing {
            let since = *refusing_since.get_or_insert(now);
            if now >= since + REFUSAL_GRACE && in_flight == 0 {
                return;
            }
        }
    }
}

impl Controller {
    /// Computes the control state and publishes it if it has changed.
    ///
    /// Returns the stage of draining.
    fn publish(&mut self, now: Instant, shutting_down: bool, in_flight: u32) -> Stage {
        let rules = self.latest.rules();
        let is_evacuated = rules.domains.get(&self.settings.domain).is_some_and(|rule| rule.out);
        self.drain.set(now, shutting_down || is_evacuated);
        let stage = self.drain.stage(now);
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
        let newest = self.egresses.values().max_by_key(|egress| egress.view.epoch);
        let view = newest.map(|egress| egress.view.clone()).unwrap_or_default();
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
            candidates: candidates(&self.settings.domain, rules, &self.egresses),
            stage,
        };
        let old = self.state.borrow().clone();
        if state.stage != old.stage {
            log::info!(stage:? = state.stage; "drain stage changed");
        }
        if state.config.revision != old.config.revision {
            log::info!(
                revision = state.config.revision, before = old.config.revision;
                "configuration in force"
            );
        }
        self.metrics.config.set(i64::try_from(state.config.revision).unwrap_or(i64::MAX));
        let unchanged = state.config.revision == old.config.revision
            && state.candidates == old.candidates
            && state.brokers == old.brokers
            && state.held == old.held
            && state.egresses == old.egresses
            && state.stage == old.stage;
        if !unchanged {
            self.state.send_replace(Arc::new(state));
        }
        stage
    }

    /// Applies an update from the egress at `address`.
    fn apply_update(&mut self, address: &str, update: Update) {
        if let Some(config) = update.config {
            let revision = config.revision;
            if let Err(error) = self.latest.advance(config) {
                log::error!(revision, error:%; "invalid configuration rejected");
            }
        }
        let egress = self.egresses.entry(address.into()).or_default();
        if let Some(view) = update.view {
            egress.view = view;
        }
        if let Some(report) = update.report {
            egress.report = report;
        }
    }
}

/// Returns the wall-clock time in milliseconds of Unix time, which is only shown to operators.
fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time.as_millis() as u64
}

/// Starts following an egress unless it is already followed.
fn follow(controller: &Rc<RefCell<Controller>>, changed: &Rc<Notify>, egress: SocketAddr) {
    if !controller.borrow_mut().followed.insert(egress) {
        return;
    }
    let (controller, changed) = (controller.clone(), changed.clone());
    spawn_local(async move {
        let mut failures = 0;
        // An egress that is not in the settings is given up after 25 failures in a row. The control
        // loop follows it again if the view still contains it.
        while failures < 25 || controller.borrow().settings.egresses.contains(&egress) {
            let error = follow_until_failure(&controller, &changed, egress).await;
            let known = controller.borrow_mut().egresses.remove(&Box::from(egress.to_string()));
            if known.is_some() {
                failures = 0;
                log::info!(egress:%, cause:% = error; "connection to egress lost");
                changed.notify_one();
            }
            failures += 1;
            tokio::time::sleep(RECONNECT_BACKOFF).await;
        }
        controller.borrow_mut().followed.remove(&egress);
    });
}

/// Follows one egress until the connection fails, and returns the cause.
async fn follow_until_failure(
    controller: &Rc<RefCell<Controller>>,
    changed: &Rc<Notify>,
    egress: SocketAddr,
) -> Box<str> {
    let connection = match wire::connect(egress).await {
        Ok(connection) => connection,
        Err(error) => return error.to_string().into(),
    };
    let mut presence = controller.borrow().presence.subscribe();
    let mut known = Follow::default();
    loop {
        known.presence = Some(presence.borrow_and_update().clone());
        known.config = controller.borrow().latest.config().revision;
        let mut call = connection.client.follow_request();
        call.get().set_known(&serde_json::to_vec(&known).unwrap_or_default());
        let reply = tokio::select! {
            reply = call.send().promise => reply,
            _ = presence.changed() => continue,
            () = tokio::time::sleep(ANSWER_TIMEOUT) => return "no answer within 4.5 s".into(),
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
        controller.borrow_mut().apply_update(&egress.to_string(), update);
        changed.notify_one();
        // Changes that follow shortly are sent in one update.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
