//! The HTTP server for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::{Instant, SystemTime};

use query::Outcome;
use route::{DIRECTORY_TTL, Stage, entries};
use salvo::http::header::{CONNECTION, HeaderValue};
use salvo::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};

use crate::answer::{self, Answer};
use crate::engine::SearchJob;
use crate::metrics::{self, Metrics};
use crate::request::{self, MAX_BODY_BYTES};
use crate::state::ControlState;

/// State that all handlers share.
pub(crate) struct Front {
    pub(crate) domain: Box<str>,
    pub(crate) state: watch::Receiver<Arc<ControlState>>,
    pub(crate) engines: Vec<mpsc::UnboundedSender<SearchJob>>,
    /// Number of searches so far, which selects the traffic thread of the next one.
    pub(crate) next: AtomicUsize,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) metrics: Metrics,
}

/// Counts a search as in flight until dropped.
struct InFlight<'a>(&'a Front);

impl<'a> InFlight<'a> {
    fn new(front: &'a Front) -> Self {
        front.in_flight.fetch_add(1, Ordering::Relaxed);
        front.metrics.in_flight.inc();
        Self(front)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.in_flight.dec();
    }
}

/// Endpoint of the HTTP interface.
#[derive(Clone, Copy)]
enum Endpoint {
    Search,
    Entries,
    Health,
    Metrics,
}

struct Route {
    front: Arc<Front>,
    endpoint: Endpoint,
}

/// Returns the HTTP service for callers.
pub(crate) fn service(front: &Arc<Front>) -> Service {
    let route = |endpoint| Route { front: front.clone(), endpoint };
    let router = Router::new()
        .push(Router::with_path("v1/search/{service}").post(route(Endpoint::Search)))
        .push(Router::with_path("v1/entries").get(route(Endpoint::Entries)))
        .push(Router::with_path("healthz").get(route(Endpoint::Health)))
        .push(Router::with_path("metrics").get(route(Endpoint::Metrics)));
    Service::new(router).catcher(salvo::catcher::Catcher::default().hoop(NotFound))
}

/// Answers unknown paths and wrong methods with the same JSON body as all other errors.
struct NotFound;

#[async_trait]
impl Handler for NotFound {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let path = req.uri().path().to_string();
        let message = match res.status_code {
            Some(StatusCode::NOT_FOUND) => format!("path \"{path}\" does not exist"),
            Some(StatusCode::METHOD_NOT_ALLOWED) => {
                format!("method {} does not fit path \"{path}\"", req.method())
            }
            _ => return,
        };
        res.render(Json(serde_json::json!({ "error": message })));
        ctrl.skip_rest();
    }
}

#[async_trait]
impl Handler for Route {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.endpoint {
            Endpoint::Search => self.front.search(req, res).await,
            Endpoint::Entries => self.front.entries(res),
            Endpoint::Health => self.front.health(res),
            Endpoint::Metrics => res.render(Text::Plain(self.front.metrics.text())),
        }
    }
}

/// Logs an answer unless it is complete.
fn log_incomplete(state: &ControlState, id: &str, answer: &Answer, received: Instant) {
    if answer.outcome == answer::COMPLETE {
        return;
    }
    log::info!(
        request = id,
        status = answer.status,
        outcome = answer.outcome,
        cause = answer.cause,
        took_ms = received.elapsed().as_secs_f64() * 1_000.0,
        revision = state.config.revision,
        epoch = state.epoch;
        "answered"
    );
}

fn write(res: &mut Response, status: u16, body: String) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.render(Text::Json(body));
}

impl Front {
    async fn search(&self, req: &mut Request, res: &mut Response) {
        let received = Instant::now();
        let in_flight = InFlight::new(self);
        let state = self.state.borrow().clone();
        let is_refusing = state.stage == Stage::Refusing;
        if is_refusing {
            res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if state.config.revision == 0 {
            let refused = answer::not_run("", "no configuration is known yet", Vec::new());
            log_incomplete(&state, "", &refused, received);
            return write(res, refused.status, refused.body);
        }
        let request = match self.parse(&state, req).await {
            Ok(request) => request,
            Err(error) => {
                self.metrics.bad_requests.inc();
                log::info!(status = error.status, cause = error.message; "malformed request");
                let body = serde_json::json!({ "error": error.message }).to_string();
                return write(res, error.status, body);
            }
        };
        // A request that must run at most once is still served: only the ledger knows whether "not
        // run" is true for a resend.
        if is_refusing && request.repeatable {
            let broker_addresses = self.broker_addresses(&state);
            let refused = answer::not_run(&request.id, "this host is leaving", broker_addresses);
            log_incomplete(&state, &request.id, &refused, received);
            return write(res, refused.status, refused.body);
        }
        let (id, service) = (request.id.clone(), request.service.clone());
        let answer = answer::answer(&id, &self.run(request, received).await);
        drop(in_flight);
        self.count(&service, &answer, received);
        log_incomplete(&state, &id, &answer, received);
        write(res, answer.status, answer.body);
    }

    async fn parse(
        &self,
        state: &ControlState,
        req: &mut Request,
    ) -> Result<request::Request, request::Error> {
        let service = req.param::<String>("service").unwrap_or_default();
        let trace = req.header::<String>("traceparent");
        let body = req.payload_with_max_size(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| match error {
            salvo::http::ParseError::PayloadTooLarge => request::Error {
                status: 413,
                message: format!("the body is too large; expected at most {MAX_BODY_BYTES} bytes"),
            },
            other => {
                request::Error { status: 400, message: format!("the body cannot be read: {other}") }
            }
        })?;
        request::parse(SystemTime::now(), &state.rules, &service, body, trace.as_deref())
    }

    async fn run(&self, request: request::Request, received: Instant) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.engines.len();
        if self.engines[index].send(SearchJob { request, received, reply }).is_err() {
            return Outcome::NotRun("this host has stopped".into());
        }
        outcome.await.unwrap_or_else(|_| Outcome::Unknown("this host has stopped".into()))
    }

    fn count(&self, service: &str, answer: &Answer, received: Instant) {
        let labels = metrics::Outcome { service: service.into(), outcome: answer.outcome };
        self.metrics.searches.get_or_create(&labels).inc();
        self.metrics.seconds.observe(received.elapsed().as_secs_f64());
    }

    fn broker_addresses(&self, state: &ControlState) -> Vec<String> {
        let listed = entries(&state.rules, &self.domain, &state.brokers);
        listed.iter().map(|broker| broker.address.to_string()).collect()
    }

    fn entries(&self, res: &mut Response) {
        let state = self.state.borrow().clone();
        let body = serde_json::json!({
            "entries": self.broker_addresses(&state),
            "lifetime_ms": DIRECTORY_TTL.as_millis() as u64,
        });
        res.render(Json(body));
    }

    fn health(&self, res: &mut Response) {
        let state = self.state.borrow().clone();
        let ready = state.config.revision > 0 && state.stage == Stage::Listed;
        if !ready {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(Json(serde_json::json!({
            "ready": ready,
            "config": state.config.revision,
            "epoch": state.epoch,
            "upstreams": state.candidates.values().map(Vec::len).sum::<usize>(),
            "nodes": nodes(&state),
        })));
    }
}

/// Returns every node with the revision of the configuration in force on the node, and since when,
/// in seconds of Unix time.
fn nodes(state: &ControlState) -> Vec<serde_json::Value> {
    let node = |role: &str, host: &str, config: u64, ms: u64| {
        let since = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        serde_json::json!({ "role": role, "host": host, "config": config, "since": since })
    };
    let brokers = state.brokers.iter().map(|b| node("broker", &b.host, b.config, b.config_ms));
    let egresses = state.held.iter().map(|h| node("egress", &h.host, h.revision, h.since_ms));
    brokers.chain(egresses).collect()
}
