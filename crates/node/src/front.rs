//! Callers' requests.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gather::{Availability, Gather, Part, Step};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use limit::{LoopLag, TICK_INTERVAL};
use platform::Call;
use table::{Route, ServiceName, Target, View};
use tokio::sync::watch;

use crate::attempt::Outgoing;
use crate::exchange::{Reply, prepare};
use crate::fanout::{Event, Fanout};
use crate::metrics::Status;
use crate::outcome::{Outcome, read_body};
use crate::registry::Registry;
use crate::relay::Relay;
use crate::server::{Body, accept, adopt};
use crate::start::Shared;

/// Part of the grace period for which a stopping host still takes requests, since callers keep its
/// address for a while.
const LEAVE_SHARE: f64 = 0.55;

/// Part of the grace period after which a stopping host ends whatever is left.
const CLOSE_SHARE: f64 = 0.93;

/// Time for the way from and to the caller, beside the part of the objective below. A caller in
/// another failure domain is 2 ms away, and one that connects anew asks the directory first: three
/// round trips and late timers.
const RETURN_TIME: Duration = Duration::from_millis(10);

/// Time over which a host opens first connections to new upstreams, which register some seconds before
/// they get requests.
const PREPARE_TIME: Duration = Duration::from_millis(800);

/// Part of the objective kept for the way from and to the caller and for late timers.
const RETURN_SHARE: f64 = 0.06;

/// Time before a final answer is due at which this host gives up, so that it arrives in time.
const FINAL_MARGIN: Duration = Duration::from_millis(3);

/// When callers come back after a host had no configuration; it asks for one all the time.
const RETRY_START: Duration = Duration::from_millis(200);

/// When callers come back after upstreams refused; their queues are milliseconds long.
const RETRY_REFUSED: Duration = Duration::from_millis(40);

/// When callers come back after this host was behind; they take another one.
const RETRY_BEHIND: Duration = Duration::from_millis(10);

/// When callers come back after upstreams were overloaded, in objectives of the route: about when the
/// queries in flight have ended.
const RETRY_FULL: f64 = 1.0;

/// Time after the soft deadline from which an answer counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(5);

/// When callers come back after no upstream was known; a new one takes about a heartbeat.
const RETRY_NONE: Duration = Duration::from_millis(300);

/// Smallest buffer that the library takes.
const MIN_BUFFER: usize = 8 * 1024;

/// One complete answer in this many is logged, so that the log shows ordinary requests as well.
const LOG_SAMPLE: u32 = 200;

/// Sockets of the traffic thread.
pub struct Listeners {
    /// For callers.
    pub front: TcpListener,
    /// For other hosts that order parts.
    pub relay: TcpListener,
}

/// The traffic thread's server.
pub struct Front {
    shared: Shared,
    registry: Rc<Registry>,
    leaving: Cell<bool>,
    open: Cell<usize>,
    answered: Cell<u32>,
    backlog: RefCell<LoopLag>,
    relay: Rc<Relay>,
}

impl Front {
    /// Serves callers until the process has stopped.
    pub async fn run(shared: Shared, listeners: Listeners, mut views: watch::Receiver<Arc<View>>) {
        let seed = rand::random();
        let registry = Rc::new(Registry::new(Arc::clone(&shared.settings), seed));
        let relay = Relay::new(&registry, &shared.metrics);
        tokio::task::spawn_local(Rc::clone(&relay).run(listeners.relay));
        let front = Rc::new(Self {
            shared,
            registry: Rc::clone(&registry),
            leaving: Cell::new(false),
            open: Cell::new(0),
            answered: Cell::new(0),
            backlog: RefCell::new(LoopLag::new(Instant::now())),
            relay,
        });
        tokio::task::spawn_local(Rc::clone(&front).tick());
        let metrics = Arc::clone(&front.shared.metrics);
        tokio::task::spawn_local(async move {
            while views.changed().await.is_ok() {
                let view = Arc::clone(&views.borrow_and_update());
                for endpoint in registry.update(Instant::now(), view) {
                    let metrics = Arc::clone(&metrics);
                    // Hosts spread their connections, since each takes a slot for a moment.
                    let delay = PREPARE_TIME.mul_f64(rand::random());
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(delay).await;
                        prepare(&endpoint, &metrics).await;
                    });
                }
            }
        });
        front.accept(listeners.front).await;
    }

    /// Ticks for as long as the thread runs.
    async fn tick(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.backlog.borrow_mut().tick(Instant::now());
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let listener = adopt(listener);
        let (close, closing) = watch::channel(false);
        let mut stop = self.shared.stop.clone();
        let grace = self.shared.settings.bounds.grace;
        let stopped = async {
            stop.wait().await;
            self.leaving.set(true);
            log::info!(open = self.open.get(); "leaving: answers close their connections");
            tokio::time::sleep(grace.mul_f64(LEAVE_SHARE)).await;
        };
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                stream = accept(&listener) => {
                    let front = Rc::clone(&self);
                    let closing = closing.clone();
                    tokio::task::spawn_local(front.connection(TokioIo::new(stream), closing));
                }
                () = &mut stopped => break,
            }
        }
        drop(listener);
        close.send_replace(true);
        let last = Instant::now() + grace.mul_f64(CLOSE_SHARE - LEAVE_SHARE);
        while self.open.get() + self.relay.busy() > 0 && Instant::now() < last {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        log::info!(open = self.open.get(); "connections of callers ended");
    }

    async fn connection(
        self: Rc<Self>,
        stream: TokioIo<tokio::net::TcpStream>,
        mut closing: watch::Receiver<bool>,
    ) {
        self.open.set(self.open.get() + 1);
        let limits = self.registry.view().table.as_ref().map(|table| table.limits().clone());
        let limits = limits.unwrap_or_default();
        let front = Rc::clone(&self);
        let service = service_fn(move |request| {
            let front = Rc::clone(&front);
            async move { Ok::<_, Infallible>(front.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The library counts idle time as time for the next head.
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
            .serve_connection(stream, service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            log::debug!(error:%; "a caller's connection broke");
        }
        self.open.set(self.open.get() - 1);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let now = Instant::now();
        let waited = self.backlog.borrow().max_wait(now);
        let arrival = now.checked_sub(waited).unwrap_or(now);
        let call = Call::read(request.headers());
        let id: Box<str> = call.as_ref().map_or("(none)", Call::id_text).into();
        let path: Box<str> = request.uri().path().into();
        let outcome = match call {
            Ok(call) => self.serve(arrival, call, request).await,
            Err(error) => {
                log::info!(path, error:%; "malformed request");
                Outcome::own(StatusCode::BAD_REQUEST, None, "malformed request")
            }
        };
        self.tell(arrival, &id, &path, &outcome);
        let mut response = outcome.response;
        if self.leaving.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Counts an answer, and logs it if it is a failure, incomplete or drawn as a sample.
    fn tell(&self, arrival: Instant, id: &str, path: &str, outcome: &Outcome) {
        let took = arrival.elapsed();
        let status = outcome.response.status();
        self.shared.metrics.answers.get_or_create(&Status { status: status.as_u16() }).inc();
        self.shared.metrics.latency.observe(took.as_secs_f64());
        self.answered.set(self.answered.get().wrapping_add(1));
        let sampled = self.answered.get().is_multiple_of(LOG_SAMPLE);
        if status.is_success() && outcome.missing == 0 && !sampled {
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

    async fn serve(&self, arrival: Instant, call: Call, request: Request<Incoming>) -> Outcome {
        let view = self.registry.view();
        let Some(table) = view.table.as_ref() else {
            return Outcome::own(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(RETRY_START),
                "no configuration yet",
            );
        };
        let target = request.uri().path_and_query().cloned();
        let method = request.method().clone();
        let body = match read_body(request.into_body(), table.limits()).await {
            Ok(body) => body,
            Err((status, cause)) => return Outcome::own(status, None, cause),
        };
        let Some(target) = target else {
            return Outcome::own(StatusCode::BAD_REQUEST, None, "request without a path");
        };
        let Some(route) = table.find(&call.host, target.path()) else {
            return Outcome::own(StatusCode::NOT_FOUND, None, "no route");
        };
        if !self.backlog.borrow().admits(Instant::now(), route.objective) {
            return Outcome::own(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(RETRY_BEHIND),
                "this host is behind with its requests",
            );
        }
        let time = call.patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        let deadline = arrival + time.saturating_sub(FINAL_MARGIN);
        let outgoing = Outgoing { call, method, target: target.into(), body, deadline };
        let outcome = match &route.target {
            Target::Service(service) => self.single(route, service, outgoing).await,
            Target::Split(shares) => match self.registry.split(&route.name, shares) {
                Some(share) => self.single(route, &share.service, outgoing).await,
                None => {
                    Outcome::own(StatusCode::SERVICE_UNAVAILABLE, None, "split without weights")
                }
            },
            Target::Gather(shards) => self.gather(arrival, route, shards, outgoing).await,
        };
        Outcome { route: Some(Arc::clone(route)), ..outcome }
    }

    async fn single(&self, route: &Route, service: &ServiceName, outgoing: Outgoing) -> Outcome {
        let now = Instant::now();
        let openings = Availability::new([self.registry.available_at(now, service)]);
        if openings.unavailable_by(now + route.objective).next().is_some() {
            return closed(now, &openings, 1, "service without upstreams that take requests");
        }
        let deadline = outgoing.deadline;
        let services = std::slice::from_ref(service);
        let metrics = Arc::clone(&self.shared.metrics);
        let mut fanout =
            Fanout::new(Rc::clone(&self.registry), metrics, outgoing, route, services, 1, 0);
        fanout.start(Instant::now());
        match fanout.next(deadline).await {
            Event::Part(_, reply) | Event::Lost(_, Some(reply)) => Outcome::reply(reply),
            Event::Lost(_, None) if fanout.is_not_run() => Outcome::own(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(RETRY_REFUSED),
                "refused by all upstreams",
            ),
            Event::Lost(_, None) => {
                Outcome::own(StatusCode::BAD_GATEWAY, None, "no usable answer of an upstream")
            }
            Event::Merged(..) => unreachable!("only queries over many shards use relays"),
            Event::Due if fanout.is_not_run() => Outcome::own(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(RETRY_REFUSED),
                "no upstream took the request in time",
            ),
            Event::Due => Outcome::own(StatusCode::GATEWAY_TIMEOUT, None, "timeout"),
        }
    }

    async fn gather(
        &self,
        arrival: Instant,
        route: &Route,
        shards: &table::Gather,
        outgoing: Outgoing,
    ) -> Outcome {
        let deadline = outgoing.deadline;
        let id = outgoing.call.id.clone();
        let margin = RETURN_TIME + route.objective.mul_f64(RETURN_SHARE);
        let soft = arrival + route.objective.saturating_sub(margin);
        let mut state = Gather::new(shards.shards.len(), shards.min_shards(), soft, deadline);
        let now = Instant::now();
        let openings = shards.shards.iter().map(|shard| self.registry.available_at(now, shard));
        let openings = Availability::new(openings);
        openings.unavailable_by(soft).for_each(|shard| state.mark_lost(shard));
        if state.step(arrival) == Step::Fail {
            let cause = "too few shards with upstreams that take requests";
            return closed(now, &openings, shards.min_shards(), cause);
        }
        let Some(mut entry) = self.registry.enter(route) else {
            return Outcome::own(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(route.objective.mul_f64(RETRY_FULL)),
                "upstreams are overloaded",
            );
        };
        let metrics = Arc::clone(&self.shared.metrics);
        let registry = Rc::clone(&self.registry);
        let (services, least, most) = (&shards.shards, shards.min_shards(), shards.top_k);
        let mut fanout = Fanout::new(registry, metrics, outgoing, route, services, least, most);
        openings.unavailable_by(soft).for_each(|shard| fanout.skip(shard));
        fanout.start_query(Instant::now(), soft);
        loop {
            let until = match state.step(Instant::now()) {
                Step::Wait(until) => until,
                Step::Answer => {
                    if fanout.is_congested() && Instant::now() > soft + LATE_MARGIN {
                        entry.congested();
                    }
                    break;
                }
                Step::Fail if fanout.is_not_run() => {
                    return Outcome::own(
                        StatusCode::SERVICE_UNAVAILABLE,
                        Some(RETRY_REFUSED),
                        "refused by all upstreams",
                    );
                }
                Step::Fail => {
                    if fanout.is_congested() {
                        entry.congested();
                    }
                    return Outcome {
                        missing: state.missing(),
                        detail: fanout.describe_missing(Instant::now()),
                        ..Outcome::own(StatusCode::GATEWAY_TIMEOUT, None, "too few parts in time")
                    };
                }
            };
            match fanout.next(until).await {
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
        let response = platform::gathered(&id, state.stamps(), missing, body);
        let cause = if missing == 0 { "all parts" } else { "some parts" };
        let detail =
            if missing == 0 { String::new() } else { fanout.describe_missing(Instant::now()) };
        Outcome { response, cause, route: None, missing, detail }
    }
}

/// Refuses a request whose upstreams take too little; callers come back when they take enough.
fn closed(now: Instant, openings: &Availability, least: usize, cause: &'static str) -> Outcome {
    let wait = openings.available_at(least).map_or(RETRY_NONE, |opens| opens - now);
    Outcome::own(StatusCode::SERVICE_UNAVAILABLE, Some(wait), cause)
}

/// Returns the part in an upstream's answer; only a success is one.
fn part(reply: Reply) -> Option<Part> {
    let stamp = reply.answer.stamp.filter(|_| reply.status.is_success())?;
    Some(Part { stamp, records: reply.body })
}
