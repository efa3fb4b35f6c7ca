//! A single request to one upstream, and the statistics recorded when it ends.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use pick::{Outcome, Token};
use platform::Call;
use quarantine::Fingerprint;

use crate::connection;
use crate::endpoint::Endpoint;
use crate::exchange::{Completion, exchange};
use crate::latency::Latency;
use crate::metrics::{Metrics, Origin};
use crate::probes::Turn;

/// Multiple of the typical latency that, together with [`SILENCE_MARGIN`], may pass without an
/// answer before the upstream counts as lost.
const SILENCE_FACTOR: u32 = 10;

/// Time that is added to that multiple, because upstreams that are not lost may pause for 100 to
/// 200 ms.
const SILENCE_MARGIN: Duration = Duration::from_millis(200);

/// The request that is sent to upstreams, apart from the headers of a single attempt.
pub struct Outgoing {
    /// The parsed headers of the caller's request.
    pub call: Call,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub target: Uri,
    /// Complete body of the request.
    pub body: Bytes,
    /// Time by which the caller gets a final answer.
    pub deadline: Instant,
    /// Recognizes repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request may crash upstreams and must be answered by one before others get it.
    probe: Cell<bool>,
    /// Connections on which an attempt was answered without success.
    answered_on: RefCell<Vec<connection::Id>>,
    /// The turn of such a request, until an upstream has answered it.
    turn: RefCell<Option<Turn>>,
}

impl Outgoing {
    /// Creates the request with the given method, path and query, and body.
    pub fn new(
        call: Call,
        method: Method,
        target: PathAndQuery,
        body: Bytes,
        deadline: Instant,
    ) -> Self {
        let fingerprint =
            quarantine::fingerprint(method.as_str(), &call.host, target.as_str(), &body);
        Self {
            call,
            method,
            target: target.into(),
            body,
            deadline,
            fingerprint,
            probe: Cell::new(false),
            answered_on: RefCell::default(),
            turn: RefCell::default(),
        }
    }

    /// Marks the request as one that may crash upstreams and now has its turn.
    pub fn start_probe(&self, turn: Turn) {
        self.probe.set(true);
        self.turn.replace(Some(turn));
    }

    /// Returns whether the request must be answered by one upstream before others get it.
    pub fn is_probe(&self) -> bool {
        self.probe.get()
    }

    /// Returns the turn of the request while it has one.
    pub fn turn(&self) -> Option<Turn> {
        self.turn.borrow().clone()
    }

    /// Records that an attempt was answered on a connection.
    ///
    /// All attempts have the same id. A second copy of the answer, which a faulty upstream may send
    /// late, would be taken for the answer to another attempt on the same connection.
    pub fn record_answered_on(&self, connection: connection::Id) {
        self.answered_on.borrow_mut().push(connection);
    }

    /// Returns whether an attempt was answered on a connection.
    pub fn was_answered_on(&self, connection: connection::Id) -> bool {
        self.answered_on.borrow().contains(&connection)
    }

    /// Ends the turn of the request, because an upstream has answered it.
    fn end_turn(&self) {
        self.turn.take();
    }

    /// Builds the request with the given headers.
    pub fn request(&self, headers: HeaderMap) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Returns the time left until the deadline, or zero once it has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// A request in flight to an upstream.
///
/// Dropping an attempt that has not ended records it as abandoned, or as lost if the upstream was
/// silent for too long.
pub struct Attempt {
    endpoint: Rc<Endpoint>,
    latency: Rc<RefCell<Latency>>,
    metrics: Arc<Metrics>,
    typical: Duration,
    sent: Instant,
    token: Option<Token>,
}

impl Attempt {
    /// Records the start of a request to `endpoint`.
    pub fn begin(
        now: Instant,
        endpoint: &Rc<Endpoint>,
        latency: &Rc<RefCell<Latency>>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        Self {
            endpoint: Rc::clone(endpoint),
            latency: Rc::clone(latency),
            metrics: Arc::clone(metrics),
            typical: latency.borrow().typical(),
            sent: now,
            token: Some(endpoint.replica.borrow_mut().begin(now)),
        }
    }

    /// Returns the upstream that the request was sent to.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Records the result of the request in the statistics of the upstream; `time` is the time from
    /// sending the request to the end of the attempt.
    pub fn end(mut self, now: Instant, time: Duration, completion: &Completion) {
        let (outcome, name) = match completion {
            Completion::Replied(reply) => {
                self.record_load(now, reply.answer.load);
                if reply.is_usable() {
                    (self.record_answer(now, time), "answered")
                } else {
                    (Outcome::Failed, "failed")
                }
            }
            Completion::Merged { load, .. } => {
                self.record_load(now, *load);
                (self.record_answer(now, time), "answered")
            }
            Completion::Refused { replaced } => {
                self.endpoint.replaced.set(self.endpoint.replaced.get() || *replaced);
                (Outcome::Refused, if *replaced { "replaced" } else { "refused" })
            }
            Completion::Withheld => (Outcome::Abandoned, "withheld"),
            Completion::Unsent => (Outcome::Lost, "unsent"),
            Completion::Broken { .. } => (Outcome::Failed, "broken"),
            Completion::Unknown { .. } => (Outcome::Failed, "unknown"),
        };
        self.close(now, outcome, name);
    }

    /// Ends the attempt with a result that does not count for or against the upstream.
    pub fn discard(mut self, now: Instant) {
        self.close(now, Outcome::Abandoned, "void");
    }

    fn record_load(&self, now: Instant, load: Option<(u32, u32)>) {
        if let Some((running, waiting)) = load {
            self.endpoint.replica.borrow_mut().report(now, running, waiting);
        }
    }

    fn record_answer(&self, now: Instant, time: Duration) -> Outcome {
        self.latency.borrow_mut().record(now, time);
        Outcome::Answered { time, typical: self.typical }
    }

    fn close(&mut self, now: Instant, outcome: Outcome, name: &'static str) {
        if let Some(token) = self.token.take() {
            self.metrics.record_attempt(name);
            self.endpoint.replica.borrow_mut().end(now, token, outcome);
            if outcome == Outcome::Lost {
                self.endpoint.record_loss();
            }
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = Instant::now();
        if now - self.sent > self.typical * SILENCE_FACTOR + SILENCE_MARGIN {
            self.close(now, Outcome::Lost, "silent");
        } else {
            self.close(now, Outcome::Abandoned, "abandoned");
        }
    }
}

/// An attempt that has ended.
pub struct Finished {
    /// Index of the part that was requested.
    pub part: usize,
    /// The upstream that the part was requested from.
    pub endpoint: Rc<Endpoint>,
    /// Result of the exchange.
    pub completion: Completion,
    /// Time from sending the request to the end of the attempt. Zero if the attempt was made
    /// through a relay and has no answer.
    pub time: Duration,
}

/// Sends the request for one part and waits until the attempt has ended.
pub async fn send(
    sent: Instant,
    part: usize,
    origin: Origin,
    attempt: Attempt,
    outgoing: Rc<Outgoing>,
    metrics: Arc<Metrics>,
) -> Finished {
    let endpoint = Rc::clone(attempt.endpoint());
    if endpoint.count_limited_request() {
        metrics.limited_attempts.get_or_create(&origin).inc();
    }
    endpoint.context.isolation.borrow_mut().sent(sent, &endpoint.upstream.id);
    let completion = exchange(&endpoint, &outgoing, &metrics).await;
    let time = sent.elapsed();
    if let Completion::Broken { cause } = completion {
        log::info!(
            request = outgoing.call.id_text(),
            fingerprint:% = format_args!("{:016x}", outgoing.fingerprint),
            upstream = endpoint.upstream.id,
            service = endpoint.upstream.service,
            cause,
            time_ms = time.as_secs_f64() * 1_000.0;
            "connection to an upstream broke during a request"
        );
        endpoint.context.crashes.check_broken(Instant::now(), sent, &outgoing, &endpoint);
    } else if matches!(&completion, Completion::Replied(reply) if reply.is_usable()) {
        endpoint.context.crashes.record_answer(Instant::now(), outgoing.fingerprint);
        outgoing.end_turn();
    }
    attempt.end(Instant::now(), time, &completion);
    Finished { part, endpoint, completion, time }
}
