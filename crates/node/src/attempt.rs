//! One request to one upstream, and what its end says about the upstream.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri};
use pick::{Outcome, Token};
use platform::Call;

use crate::endpoint::Endpoint;
use crate::exchange::{Completion, exchange};
use crate::latency::Latency;
use crate::metrics::Metrics;

/// Time without an answer, in typical times, after which an upstream counts as lost.
const SILENCE_RATIO: u32 = 10;

/// Added to that time, for pauses of upstreams that last a tenth of a second or two.
const SILENCE_MARGIN: Duration = Duration::from_millis(200);

/// A request as it is sent to upstreams.
pub struct Outgoing {
    /// What the caller's headers say.
    pub call: Call,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its whole body.
    pub body: Bytes,
    /// When the caller gets a final answer in any case.
    pub deadline: Instant,
}

impl Outgoing {
    /// Returns the request with the given headers.
    pub fn request(&self, headers: HeaderMap) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Returns the time that is left for an answer.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// A request in flight to an upstream; dropping it records that nobody waits any more.
pub struct Attempt {
    endpoint: Rc<Endpoint>,
    latency: Rc<RefCell<Latency>>,
    metrics: Arc<Metrics>,
    typical: Duration,
    sent: Instant,
    token: Option<Token>,
}

impl Attempt {
    /// Counts a request that is sent.
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

    /// Returns the upstream.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Records what the end says about the upstream, which took `time`.
    pub fn end(mut self, now: Instant, time: Duration, completion: &Completion) {
        let (outcome, name) = match completion {
            Completion::Replied(reply) => {
                self.report(now, reply.answer.load);
                if reply.is_final() {
                    (self.answered(now, time), "answered")
                } else {
                    (Outcome::Failed, "failed")
                }
            }
            Completion::Merged { load, .. } => {
                self.report(now, *load);
                (self.answered(now, time), "answered")
            }
            Completion::Refused { replaced } => {
                self.endpoint.replaced.set(self.endpoint.replaced.get() || *replaced);
                (Outcome::Refused, if *replaced { "replaced" } else { "refused" })
            }
            Completion::Unsent => (Outcome::Lost, "unsent"),
            Completion::Unknown { .. } => (Outcome::Failed, "unknown"),
        };
        self.close(now, outcome, name);
    }

    /// Records an end that says nothing about the upstream.
    pub fn void(mut self, now: Instant) {
        self.close(now, Outcome::Abandoned, "void");
    }

    fn report(&self, now: Instant, load: Option<(u32, u32)>) {
        if let Some((running, waiting)) = load {
            self.endpoint.replica.borrow_mut().report(now, running, waiting);
        }
    }

    fn answered(&self, now: Instant, time: Duration) -> Outcome {
        self.latency.borrow_mut().record(now, time);
        Outcome::Answered { time, typical: self.typical }
    }

    fn close(&mut self, now: Instant, outcome: Outcome, name: &'static str) {
        if let Some(token) = self.token.take() {
            self.metrics.sending(name);
            self.endpoint.replica.borrow_mut().end(now, token, outcome);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = Instant::now();
        if now - self.sent > self.typical * SILENCE_RATIO + SILENCE_MARGIN {
            self.close(now, Outcome::Lost, "silent");
        } else {
            self.close(now, Outcome::Abandoned, "abandoned");
        }
    }
}

/// A sending that has ended.
pub struct Finished {
    /// The part that it was for.
    pub part: usize,
    /// The upstream.
    pub endpoint: Rc<Endpoint>,
    /// How it ended.
    pub completion: Completion,
    /// Time from sending to its end.
    pub time: Duration,
}

/// Sends a request for one part and waits for its end.
pub async fn send(
    sent: Instant,
    part: usize,
    attempt: Attempt,
    outgoing: Rc<Outgoing>,
    metrics: Arc<Metrics>,
) -> Finished {
    let endpoint = Rc::clone(attempt.endpoint());
    let left = outgoing.left(sent);
    let headers = platform::head_to(&outgoing.call, &endpoint.upstream.id, left);
    let request = outgoing.request(headers);
    let completion = exchange(&endpoint, request, &outgoing.call.id, &metrics).await;
    let time = sent.elapsed();
    attempt.end(Instant::now(), time, &completion);
    Finished { part, endpoint, completion, time }
}
