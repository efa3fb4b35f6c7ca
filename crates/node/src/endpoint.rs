//! An upstream with its connections and statistics, as the traffic thread keeps it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::Departure;
use pick::{ColdStart, Election, Hosts, Isolation, Replica};
use platform::{Answer, Settings};
use table::{Service, Upstream, View};
use tokio::sync::{mpsc, watch};

use crate::buffers::Buffers;
use crate::crashes::Crashes;
use crate::pool::Pool;

/// Time after which the entry of an upstream tells of its start, as a multiple of the interval at which
/// upstreams write their entries, which they keep approximately.
const ENTRY_DELAY_FACTOR: f64 = 1.5;

/// Fraction of a cold upstream's rate limit that one host uses. Requests of its predecessor, which it does
/// not see, may arrive within the same second.
const COLD_RATE_RATIO: f64 = 0.4;

/// State that all endpoints of a host share.
pub struct Context {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// The view in force.
    pub view: RefCell<Arc<View>>,
    /// Time of the state of the store that the view shows, if the store was read.
    pub confirmed: Cell<Option<Instant>>,
    /// The hosts among which the rate limits of upstreams are divided.
    pub hosts: RefCell<Hosts>,
    /// The hosts of which one sends to a cold upstream.
    pub election: RefCell<Election>,
    /// Memory for incomplete answers.
    pub buffers: Rc<Buffers>,
    /// Requests that crash upstreams.
    pub crashes: Rc<Crashes>,
    /// Whether the host is cut off from all upstreams.
    pub isolation: RefCell<Isolation>,
    /// Publishes changes of the isolation.
    pub isolated: watch::Sender<bool>,
    /// Tells the control thread which upstreams have stated that they are leaving.
    pub departures: mpsc::Sender<Departure>,
}

impl Context {
    /// Records an answer of an upstream, which ends the isolation of the host.
    pub fn record_answer(&self, now: Instant) {
        if self.isolation.borrow_mut().answered(now) {
            self.publish_isolation();
        }
    }

    /// Publishes a change of the isolation.
    pub fn publish_isolation(&self) {
        let isolated = self.isolation.borrow().is_isolated();
        if isolated {
            log::warn!("host cannot reach any upstream; forwarding requests to other hosts");
        } else {
            log::info!("host reaches upstreams again");
        }
        self.isolated.send_replace(isolated);
    }
}

/// An upstream with its connections and statistics.
pub struct Endpoint {
    /// The entry that the upstream registered.
    pub upstream: Arc<Upstream>,
    /// Statistics of this host's requests to the upstream.
    pub replica: Rc<RefCell<Replica>>,
    /// Connections of this host to the upstream.
    pub connections: Rc<Pool>,
    /// Whether the upstream is in another failure domain than this host.
    pub remote: bool,
    /// Whether another process answered at the address. The next entry of the upstream resets this.
    pub replaced: Cell<bool>,
    /// When the last health check that the upstream has answered was sent.
    checked: Cell<Option<Instant>>,
    /// Whether the control thread was told that the upstream is leaving.
    departure_reported: Cell<bool>,
    /// State that the endpoint shares with those of other upstreams.
    pub context: Rc<Context>,
    /// Requests sent since the rate limit of the upstream last changed.
    limited_requests: Cell<u32>,
}

impl Endpoint {
    /// Creates an endpoint. It shares statistics and connections with `previous`, which is the
    /// endpoint of an earlier entry of the same process.
    pub fn new(
        upstream: Arc<Upstream>,
        remote: bool,
        context: &Rc<Context>,
        previous: Option<&Self>,
    ) -> Self {
        let replica = previous.map(|previous| Rc::clone(&previous.replica));
        let connections = previous.map(|previous| Rc::clone(&previous.connections));
        Self {
            replica: replica.unwrap_or_else(|| Rc::new(RefCell::new(Replica::new(upstream.slots)))),
            connections: connections.unwrap_or_default(),
            upstream,
            remote,
            replaced: Cell::new(false),
            checked: Cell::new(previous.and_then(|previous| previous.checked.get())),
            departure_reported: Cell::new(false),
            context: Rc::clone(context),
            limited_requests: Cell::new(0),
        }
    }

    /// Records that a request was lost or a connection broke. The upstream may then have restarted,
    /// unless a connection to it is still established.
    pub fn record_loss(&self) {
        if !self.connections.has_established() {
            self.replica.borrow_mut().suspect_restart();
        }
    }

    /// Returns whether it is known if the process at the other end of a connection, established at
    /// `opened`, is cold.
    ///
    /// The store and health checks tell whether a process is cold, and a connection that is still
    /// established that the process is the same. Without one, the process may have restarted since.
    pub fn is_known(&self, now: Instant, opened: Instant) -> bool {
        let delay = self.context.settings.heartbeat.mul_f64(ENTRY_DELAY_FACTOR);
        let stated = self.context.confirmed.get().and_then(|at| at.checked_sub(delay));
        let Some(known_at) = stated.max(self.checked.get()) else { return false };
        opened <= known_at || self.connections.was_established(now, known_at)
    }

    /// Records that the upstream has answered a health check that was sent at `sent`.
    pub fn record_check(&self, sent: Instant) {
        self.checked.set(Some(sent));
    }

    /// Returns the configuration of the upstream's service, if there is any.
    pub fn service(&self) -> Option<Arc<Service>> {
        let view = self.context.view.borrow();
        view.table.as_ref()?.service(&self.upstream.service).cloned()
    }

    /// Creates the limit of the upstream if it is cold until `until`.
    pub fn cold_start(&self, until: Instant) -> ColdStart {
        let mut cold = ColdStart::new(until, None);
        cold.set_turn(self.cold_turn());
        cold
    }

    /// Returns the time from which this host may send to the upstream while it is cold, and the time
    /// between two requests, or `None` if it must not send any.
    pub fn cold_turn(&self) -> Option<(Instant, Duration)> {
        let Upstream { id, domain, .. } = &*self.upstream;
        let from = self.context.election.borrow().first_from(id, domain)?;
        let bounds = &self.context.settings.bounds;
        let rate = self.service().map_or(0.0, |service| service.cold_per_second);
        let allowed = (rate * bounds.cold_factor + bounds.cold_slack) * COLD_RATE_RATIO;
        (allowed >= 1.0).then(|| (from, Duration::from_secs_f64(1.0 / allowed)))
    }

    /// Returns whether the upstream may have restarted, so that it gets no requests until a health
    /// check has shown whether it is cold.
    pub fn may_have_restarted(&self) -> bool {
        self.replica.borrow().may_have_restarted()
    }

    /// Returns whether the upstream is warming up, so that only one host may send to it.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.replica.borrow().is_cold(now)
    }

    /// Records what the answer to a request that was sent at `sent` states about the upstream: that
    /// it is leaving, a pause that it wants, or a rate limit.
    ///
    /// Only an answer with the upstream's signature ends a rate limit: a refusal comes from an
    /// upstream that has not run the request, and other answers may be corrupt.
    pub fn record_answer(&self, now: Instant, sent: Instant, answer: &Answer) {
        if answer.leaving {
            self.record_departure();
        }
        if let Some(pause) = answer.pause {
            self.record_pause(now, pause);
        }
        match answer.rate_limit {
            Some(limit) => self.record_rate_limit(now, limit),
            None if answer.refused || answer.stamp.is_none() => {}
            None => {
                let before = self.rate_limit();
                self.replica.borrow_mut().lift_rate_limit(sent);
                self.log_rate_limit_change(before);
            }
        }
    }

    /// Tells the control thread that the upstream is leaving, which takes it out of the view.
    pub fn record_departure(&self) {
        if self.departure_reported.get() {
            return;
        }
        let (upstream, service) = (&self.upstream.id, &*self.upstream.service);
        let departure =
            Departure { upstream: upstream.clone(), started_ms: self.upstream.started_ms };
        match self.context.departures.try_send(departure) {
            Ok(()) => {
                self.departure_reported.set(true);
                log::info!(upstream, service; "upstream has stated that it is leaving");
            }
            // The next answer of the upstream states it again.
            Err(error) => {
                log::warn!(upstream, error:%; "cannot record that an upstream is leaving");
            }
        }
    }

    /// Records that the upstream wants no requests for the given time.
    pub fn record_pause(&self, now: Instant, pause: Duration) {
        let mut replica = self.replica.borrow_mut();
        if replica.paused_for(now).is_none() {
            let (upstream, service) = (&*self.upstream.id, &*self.upstream.service);
            let pause_ms = pause.as_millis() as u64;
            log::info!(upstream, service, pause_ms; "upstream has asked for a pause");
        }
        replica.pause(now, pause);
    }

    /// Returns the time for which the upstream wants no more requests, or `None` if it takes some.
    pub fn paused_for(&self, now: Instant) -> Option<Duration> {
        self.replica.borrow().paused_for(now)
    }

    /// Returns whether the upstream has stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.departure_reported.get()
    }

    /// Records that the upstream has stated a rate limit, in requests per second for all hosts
    /// together.
    pub fn record_rate_limit(&self, now: Instant, limit: f64) {
        let before = self.rate_limit();
        let rate = self.context.hosts.borrow().rate(&self.upstream.id, limit);
        self.replica.borrow_mut().state_rate_limit(now, limit, rate);
        self.log_rate_limit_change(before);
    }

    /// Applies a change of the hosts among which the rate limit is divided.
    pub fn update_rate(&self, now: Instant) {
        if let Some(limit) = self.rate_limit() {
            let rate = self.context.hosts.borrow().rate(&self.upstream.id, limit);
            self.replica.borrow_mut().set_rate(now, rate);
        }
    }

    /// Returns the rate limit of the upstream in requests per second for all hosts together, if it
    /// has stated one.
    pub fn rate_limit(&self) -> Option<f64> {
        self.replica.borrow().rate_limit()
    }

    /// Counts a request; returns whether the upstream has stated a rate limit.
    pub fn count_limited_request(&self) -> bool {
        let limited = self.rate_limit().is_some();
        self.limited_requests.set(self.limited_requests.get() + u32::from(limited));
        limited
    }

    fn log_rate_limit_change(&self, before: Option<f64>) {
        let rate_limit = self.rate_limit();
        if before == rate_limit {
            return;
        }
        let requests = self.limited_requests.take();
        let (upstream, service) = (&*self.upstream.id, &*self.upstream.service);
        match rate_limit {
            Some(limit) => log::info!(
                upstream, service, limit, requests;
                "upstream has stated a rate limit"
            ),
            None => log::info!(upstream, service, requests; "rate limit of an upstream has ended"),
        }
    }

    /// Returns whether this host may send to the upstream on behalf of another host.
    pub fn accepts_relayed(&self, now: Instant) -> bool {
        self.has_room() && self.replica.borrow().accepts_relayed(now)
    }

    /// Returns whether a request can be sent now: the address still belongs to the upstream, and a
    /// connection is idle or may be opened.
    pub fn has_room(&self) -> bool {
        !self.replaced.get() && self.connections.has_room()
    }
}
