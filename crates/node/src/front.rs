//! The server for callers' requests.

mod connections;

use std::cell::{Cell, RefCell};
use std::net::{TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use feed::Departure;
use futures::stream::{FuturesUnordered, StreamExt};
use gather::{Availability, Gather, Part, Step};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use limit::{LoopLag, Shutdown, TICK_INTERVAL};
use platform::Call;
use table::{Route, ServiceName, Target, View};
use tokio::sync::{mpsc, watch};

use crate::alerts::Alerts;
use crate::attempt::Outgoing;
use crate::crashes::Crashes;
use crate::endpoint::{Context, Endpoint};
use crate::exchange::{Reply, check_connection, preconnect};
use crate::fanout::{Event, Fanout};
use crate::forward::{FORWARDED_HEADER, VERSION_HEADER, forward, parse_version};
use crate::metrics::{Metrics, Status};
use crate::outcome::{Outcome, read_body};
use crate::registry::Registry;
use crate::relay::Relay;
use crate::reporter::Report;
use crate::server::Body;
use crate::start::Shared;
use crate::suspect::{refusal, take_evidence};

/// Maximum delay before a host opens the first connection to a new upstream. Upstreams register
/// some seconds before they get requests.
const MAX_PRECONNECT_DELAY: Duration = Duration::from_millis(800);

/// Time before the final answer is due at which this host gives up, so that the answer arrives in
/// time.
const FINAL_MARGIN: Duration = Duration::from_millis(3);

/// Time after which callers retry when the host has no configuration; the host keeps asking for
/// one.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which callers retry when upstreams refused; queues of upstreams last milliseconds.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time after which callers retry when this host is behind with its requests; they use another
/// host.
const LAG_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time after which callers retry when this host is shutting down; they use another host.
const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time after which callers retry when upstreams are overloaded, as a multiple of the route's
/// objective. By then, about all queries in flight have ended.
const OVERLOAD_RETRY_FACTOR: f64 = 1.0;

/// Time after the soft deadline from which an answer counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(5);

/// Time after which callers retry when no upstream is known; an upstream that registers becomes
/// known with the next update of the store.
const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of hosts to which a request is forwarded.
const MAX_FORWARD_ATTEMPTS: usize = 3;

/// Number of answers of which one is logged even if it is complete, so that the log also shows
/// successful requests.
const LOG_SAMPLE_INTERVAL: u32 = 200;

/// Listening sockets of the traffic thread.
pub struct Listeners {
    /// Accepts connections of callers.
    pub front: TcpListener,
    /// Accepts relay requests of other hosts.
    pub relay: TcpListener,
    /// Receives the alerts of other hosts, at the port for relay requests.
    pub alerts: UdpSocket,
}

/// Channels between the traffic thread and the control thread.
pub struct Channels {
    /// Views of the entries in the store.
    pub views: watch::Receiver<Arc<View>>,
    /// Time of the state of the store that the views show.
    pub confirmed: watch::Receiver<Option<Instant>>,
    /// Crashes of upstreams.
    pub reports: mpsc::Sender<Report>,
    /// Whether the host is cut off from all upstreams.
    pub isolated: watch::Sender<bool>,
    /// Upstreams that have stated that they are leaving.
    pub departures: mpsc::Sender<Departure>,
}

/// Arrival of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrived, before it waited for the thread.
    pub at: Instant,
    /// Whether the caller opened a connection for it.
    pub connection: gather::Connection,
}

/// The server of the traffic thread.
pub struct Front {
    shared: Shared,
    registry: Rc<Registry>,
    /// Set once the shutdown has begun.
    shutdown: Cell<Option<Shutdown>>,
    /// Whether requests in flight are to be answered at once, at the end of the shutdown.
    closing: watch::Sender<bool>,
    open_connections: Cell<usize>,
    answered: Cell<u32>,
    loop_lag: RefCell<LoopLag>,
    relay: Rc<Relay>,
}

impl Front {
    /// Serves callers until the process has stopped.
    pub async fn run(shared: Shared, listeners: Listeners, channels: Channels) {
        let Channels { views, confirmed, reports, isolated, departures } = channels;
        let alerts = Alerts::new(Instant::now(), listeners.alerts);
        let crashes = Crashes::new(Rc::clone(&alerts), reports, Arc::clone(&shared.metrics));
        tokio::task::spawn_local(alerts.receive(Rc::clone(&crashes)));
        let settings = Arc::clone(&shared.settings);
        let registry =
            Rc::new(Registry::new(settings, crashes, isolated, departures, rand::random()));
        let relay = Relay::new(&registry, &shared.metrics);
        tokio::task::spawn_local(Rc::clone(&relay).run(listeners.relay));
        let front = Rc::new(Self {
            shared,
            registry: Rc::clone(&registry),
            shutdown: Cell::new(None),
            closing: watch::channel(false).0,
            open_connections: Cell::new(0),
            answered: Cell::new(0),
            loop_lag: RefCell::new(LoopLag::new(Instant::now())),
            relay,
        });
        tokio::task::spawn_local(Rc::clone(&front).tick());
        tokio::task::spawn_local(Rc::clone(&front).apply_views(views, confirmed));
        front.accept(listeners.front).await;
    }

    /// Applies views, and the times at which they are known to be current, until the control thread ends.
    async fn apply_views(
        self: Rc<Self>,
        mut views: watch::Receiver<Arc<View>>,
        mut confirmed: watch::Receiver<Option<Instant>>,
    ) {
        loop {
            let (result, is_view) = tokio::select! {
                result = views.changed() => (result, true),
                result = confirmed.changed() => (result, false),
            };
            if result.is_err() {
                return;
            }
            // The control thread sends a view before the time, so this view is not older.
            let at = *confirmed.borrow_and_update();
            if is_view || views.has_changed().unwrap_or(false) {
                let view = Arc::clone(&views.borrow_and_update());
                self.apply_view(&view);
            }
            self.registry.confirm(at);
        }
    }

    fn apply_view(&self, view: &Arc<View>) {
        let new = self.registry.update(Instant::now(), view);
        self.shared.configured.fetch_or(view.table.is_some(), Ordering::Release);
        for endpoint in new {
            let metrics = Arc::clone(&self.shared.metrics);
            // A random delay spreads the connections of the hosts, because opening one takes a slot of
            // the upstream for a moment.
            let delay = MAX_PRECONNECT_DELAY.mul_f64(rand::random());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                preconnect(&endpoint, &metrics).await;
            });
        }
    }

    /// Returns the upstreams and routes of this host.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the metrics of the process.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Records the ticks by which the lag of the thread's event loop is measured, and starts checks
    /// for isolation that are due, until the thread ends.
    async fn tick(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = Instant::now();
            self.loop_lag.borrow_mut().tick(now);
            if let Some(upstreams) = self.registry.start_isolation_check(now) {
                tokio::task::spawn_local(Rc::clone(&self).check_isolation(now, upstreams));
            }
        }
    }

    /// Tries connections to upstreams until one opens.
    async fn check_isolation(self: Rc<Self>, started: Instant, upstreams: Vec<Rc<Endpoint>>) {
        let checks =
            upstreams.iter().map(|upstream| check_connection(upstream, &self.shared.metrics));
        let checks: FuturesUnordered<_> = checks.collect();
        let connected = checks.any(|connected| async move { connected }).await;
        self.registry.end_isolation_check(Instant::now(), started, connected);
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection: gather::Connection,
    ) -> Response<Body> {
        let now = Instant::now();
        let waited = self.loop_lag.borrow().max_wait(now);
        let arrival = Arrival { at: now.checked_sub(waited).unwrap_or(now), connection };
        let call = Call::read(request.headers());
        let forwarded = request.headers().get(FORWARDED_HEADER).and_then(parse_version);
        let id: Box<str> = call.as_ref().map_or("(none)", Call::id_text).into();
        let path: Box<str> = request.uri().path().into();
        let outcome = match call {
            Ok(mut call) => {
                call.headers.remove(FORWARDED_HEADER);
                tokio::select! {
                    biased;
                    outcome = self.serve(arrival, call, request, forwarded) => outcome,
                    () = self.closing() => {
                        Outcome::error(StatusCode::BAD_GATEWAY, None, "this host has shut down")
                    }
                }
            }
            Err(error) => {
                log::info!(path, error:%; "malformed request");
                Outcome::error(StatusCode::BAD_REQUEST, None, "malformed request")
            }
        };
        self.record(arrival, &id, &path, &outcome);
        let mut response = outcome.response;
        if forwarded.is_some() {
            let version = self.registry.view().table.as_ref().map_or(0, |table| table.version());
            response.headers_mut().insert(VERSION_HEADER, HeaderValue::from(version));
        }
        if self.shutdown.get().is_some() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Counts an answer, and logs it if it is a failure, incomplete, late or a sample.
    fn record(&self, arrival: Arrival, id: &str, path: &str, outcome: &Outcome) {
        let took = arrival.at.elapsed();
        let status = outcome.response.status();
        self.shared.metrics.answers.get_or_create(&Status { status: status.as_u16() }).inc();
        self.shared.metrics.latency.observe(took.as_secs_f64());
        self.answered.set(self.answered.get().wrapping_add(1));
        let sampled = self.answered.get().is_multiple_of(LOG_SAMPLE_INTERVAL);
        let late = outcome.route.as_ref().is_some_and(|route| took > route.objective);
        if status.is_success() && outcome.missing == 0 && !late && !sampled {
            return;
        }
        log::info!(
            request = id,
            path,
            status = status.as_u16(),
            cause = outcome.cause,
            route = outcome.route.as_ref().map_or("(none)", |route| &route.name),
            missing = outcome.missing,
            detail = outcome.detail,
            took_ms = took.as_secs_f64() * 1_000.0,
            config = self.registry.view().table.as_ref().map_or(0, |table| table.version());
            "answered"
        );
    }

    /// Serves a request. If another host has forwarded it, `forwarded` is the version of the
    /// configuration that the answer must at least be based on.
    async fn serve(
        &self,
        arrival: Arrival,
        mut call: Call,
        request: Request<Incoming>,
        forwarded: Option<u64>,
    ) -> Outcome {
        let evidence = take_evidence(&mut call.headers).filter(|_| forwarded.is_some());
        let view = self.registry.view();
        let Some(table) = view.table.as_ref() else {
            return Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNCONFIGURED_RETRY_DELAY),
                "no configuration yet",
            );
        };
        if forwarded.is_some_and(|version| version > table.version()) {
            return Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNCONFIGURED_RETRY_DELAY),
                "configuration older than at the forwarding host",
            );
        }
        let target = request.uri().path_and_query().cloned();
        let method = request.method().clone();
        let body = match read_body(request.into_body(), table.limits()).await {
            Ok(body) => body,
            Err((status, cause)) => return Outcome::error(status, None, cause),
        };
        let Some(target) = target else {
            return Outcome::error(StatusCode::BAD_REQUEST, None, "request without a path");
        };
        let Some(route) = table.find(&call.host, target.path()) else {
            return Outcome::error(StatusCode::NOT_FOUND, None, "no route");
        };
        if !self.loop_lag.borrow().admits(Instant::now(), route.objective) {
            return Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(LAG_RETRY_DELAY),
                "this host is behind with its requests",
            );
        }
        let time = call.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let deadline = arrival.at + time.saturating_sub(FINAL_MARGIN);
        if self.shutdown.get().is_some_and(|shutdown| !shutdown.admits(Instant::now(), deadline)) {
            return Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(SHUTDOWN_RETRY_DELAY),
                "this host is shutting down",
            );
        }
        let outgoing = Rc::new(Outgoing::new(call, method, target, body, deadline));
        let now = Instant::now();
        let crashes = self.registry.crashes();
        let evidence = evidence.into_iter().flatten();
        evidence.for_each(|strike| crashes.suspect(now, strike));
        let outcome = if let Some(refusal) = refusal(&crashes, now, outgoing.fingerprint) {
            refusal
        } else {
            let is_suspect = crashes.is_suspect(now, outgoing.fingerprint);
            match (forwarded.is_some(), is_suspect) {
                (false, true) => self.serve_suspect(arrival, route, outgoing).await,
                (false, false) => self.serve_anywhere(arrival, route, outgoing).await,
                (true, true) => self.serve_probe(arrival, route, outgoing).await,
                (true, false) => self.serve_here(arrival, route, outgoing).await,
            }
        };
        Outcome { route: Some(Arc::clone(route)), ..outcome }
    }

    /// Serves a request, through another host while this one is isolated or if it is a weak one that is
    /// not advertised.
    ///
    /// Few requests reach such hosts. If each of these opened connections to all upstreams for them, none
    /// would be left for the others.
    ///
    /// If this host becomes isolated during an idempotent request, the request fails at once, so that
    /// the caller can repeat it at another host. It is not forwarded then, since it may already have
    /// been sent to as many upstreams as its route allows.
    async fn serve_anywhere(
        &self,
        arrival: Arrival,
        route: &Route,
        outgoing: Rc<Outgoing>,
    ) -> Outcome {
        let context = self.registry.context();
        let elsewhere = *context.isolated.borrow() || self.registry.forwards();
        if elsewhere && let Some(outcome) = self.forward(&outgoing).await {
            return outcome;
        }
        let here = self.serve_here(arrival, route, Rc::clone(&outgoing));
        if !route.idempotent {
            return here.await;
        }
        tokio::pin!(here);
        tokio::select! {
            biased;
            outcome = here.as_mut() => return outcome,
            () = becomes_isolated(&context) => {}
        }
        if self.registry.forwarder(Instant::now()).is_none() {
            return here.await;
        }
        Outcome::error(StatusCode::BAD_GATEWAY, None, "this host has lost all upstreams")
    }

    /// Forwards a request to another host. Returns `None` if no host could be reached.
    async fn forward(&self, outgoing: &Outgoing) -> Option<Outcome> {
        for _ in 0..MAX_FORWARD_ATTEMPTS {
            let host = self.registry.forwarder(Instant::now())?;
            let outcome =
                forward(&self.registry, &self.shared.metrics, &host, outgoing, None).await;
            if outcome.is_some() {
                return outcome;
            }
        }
        None
    }

    /// Serves a request with the upstreams that this host reaches.
    pub(crate) async fn serve_here(
        &self,
        arrival: Arrival,
        route: &Route,
        outgoing: Rc<Outgoing>,
    ) -> Outcome {
        match &route.target {
            Target::Service(service) => self.single(route, service, outgoing).await,
            Target::Split(shares) => match self.registry.next_share(&route.name, shares) {
                Some(share) => self.single(route, &share.service, outgoing).await,
                None => {
                    Outcome::error(StatusCode::SERVICE_UNAVAILABLE, None, "split without weights")
                }
            },
            Target::Gather(shards) => self.gather(arrival, route, shards, outgoing).await,
        }
    }

    async fn single(
        &self,
        route: &Route,
        service: &ServiceName,
        outgoing: Rc<Outgoing>,
    ) -> Outcome {
        let now = Instant::now();
        let availability = Availability::new([self.registry.available_at(now, service)]);
        if availability.unavailable_by(now + route.objective).next().is_some() {
            return unavailable(
                now,
                &availability,
                1,
                "service without upstreams that take requests",
            );
        }
        let deadline = outgoing.deadline;
        let services = std::slice::from_ref(service);
        let metrics = Arc::clone(&self.shared.metrics);
        let mut fanout =
            Fanout::new(Rc::clone(&self.registry), metrics, outgoing, route, services, 1, 0);
        fanout.start(Instant::now());
        let outcome = match self.next_event(&mut fanout, deadline).await {
            Event::Part(_, reply) | Event::Lost(_, Some(reply)) if reply.is_truthful() => {
                Outcome::from_reply(reply)
            }
            Event::Lost(_, None) if fanout.is_not_run() => Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(REFUSED_RETRY_DELAY),
                "refused by all upstreams",
            ),
            Event::Part(..) | Event::Lost(..) => {
                Outcome::error(StatusCode::BAD_GATEWAY, None, "no usable answer of an upstream")
            }
            Event::Merged(..) => unreachable!("only queries over many shards use relays"),
            Event::Due if fanout.is_not_run() => Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(REFUSED_RETRY_DELAY),
                "no upstream took the request in time",
            ),
            Event::Due => Outcome::error(StatusCode::GATEWAY_TIMEOUT, None, "timeout"),
        };
        Outcome { detail: fanout.describe(Instant::now()), ..outcome }
    }

    async fn gather(
        &self,
        arrival: Arrival,
        route: &Route,
        shards: &table::Gather,
        outgoing: Rc<Outgoing>,
    ) -> Outcome {
        let deadline = outgoing.deadline;
        let (id, fingerprint) = (outgoing.call.id.clone(), outgoing.fingerprint);
        let soft_deadline = gather::soft_deadline(arrival.at, route.objective, arrival.connection);
        let mut state =
            Gather::new(shards.shards.len(), shards.min_shards(), soft_deadline, deadline);
        let now = Instant::now();
        let available = shards.shards.iter().map(|shard| self.registry.available_at(now, shard));
        let availability = Availability::new(available);
        availability.unavailable_by(soft_deadline).for_each(|shard| state.mark_lost(shard));
        if state.step(arrival.at) == Step::Fail {
            let cause = "too few shards with upstreams that take requests";
            return unavailable(now, &availability, shards.min_shards(), cause);
        }
        let Some(mut permit) = self.registry.admit(route) else {
            return Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(route.objective.mul_f64(OVERLOAD_RETRY_FACTOR)),
                "upstreams are overloaded",
            );
        };
        let metrics = Arc::clone(&self.shared.metrics);
        let registry = Rc::clone(&self.registry);
        let (services, min_parts, max_records) =
            (&shards.shards, shards.min_shards(), shards.top_k);
        let mut fanout =
            Fanout::new(registry, metrics, outgoing, route, services, min_parts, max_records);
        availability.unavailable_by(soft_deadline).for_each(|shard| fanout.skip(shard));
        fanout.start_query(Instant::now(), soft_deadline);
        loop {
            // At the end of a shutdown the query is answered with the parts that are in.
            let now = if *self.closing.borrow() { deadline } else { Instant::now() };
            let until = match state.step(now) {
                Step::Wait(until) => until,
                Step::Answer => {
                    if fanout.is_congested() && Instant::now() > soft_deadline + LATE_MARGIN {
                        permit.mark_congested();
                    }
                    break;
                }
                Step::Fail if fanout.is_not_run() => {
                    return Outcome::error(
                        StatusCode::SERVICE_UNAVAILABLE,
                        Some(REFUSED_RETRY_DELAY),
                        "refused by all upstreams",
                    );
                }
                Step::Fail => {
                    if fanout.is_congested() {
                        permit.mark_congested();
                    }
                    if fanout.has_failed_everywhere() {
                        self.registry.crashes().accuse(Instant::now(), fingerprint, &id);
                    }
                    return Outcome {
                        missing: state.missing(),
                        detail: fanout.describe(Instant::now()),
                        ..Outcome::error(StatusCode::GATEWAY_TIMEOUT, None, "too few parts in time")
                    };
                }
            };
            match self.next_event(&mut fanout, until).await {
                Event::Part(index, reply) => match part(reply) {
                    Some(part) => state.add(index, part),
                    None => state.mark_lost(index),
                },
                Event::Merged(parts, records) => state.add_merged(parts, records),
                Event::Lost(index, _) => state.mark_lost(index),
                Event::Due => {}
            }
        }
        let missing = state.missing();
        self.shared.metrics.parts_missing.inc_by(missing as u64);
        let body = Full::new(state.merge(shards.top_k));
        let response = platform::gather_response(&id, state.stamps(), missing, body);
        let cause = if missing == 0 { "complete answer" } else { "partial answer" };
        let detail = if missing == 0 { String::new() } else { fanout.describe(Instant::now()) };
        Outcome { response, cause, route: None, missing, detail }
    }
}

/// Waits until the host is isolated, or for ever if the host stops before that.
async fn becomes_isolated(context: &Context) {
    let isolated = context.isolated.subscribe().wait_for(|isolated| *isolated).await.is_ok();
    if !isolated {
        std::future::pending::<()>().await;
    }
}

/// Refuses a request because too few upstreams accept requests in time. The retry time in the
/// answer is when `min_shards` shards accept requests, if that is known.
fn unavailable(
    now: Instant,
    availability: &Availability,
    min_shards: usize,
    cause: &'static str,
) -> Outcome {
    let wait = availability
        .available_at(min_shards)
        .map_or(NO_UPSTREAM_RETRY_DELAY, |available| available - now);
    Outcome::error(StatusCode::SERVICE_UNAVAILABLE, Some(wait), cause)
}

/// Returns the part in an upstream's answer, or `None` if the answer has no signature or no success
/// status.
fn part(reply: Reply) -> Option<Part> {
    let stamp = reply.answer.stamp.filter(|_| reply.status.is_success())?;
    Some(Part { stamp, records: reply.body })
}
