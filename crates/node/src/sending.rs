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

use crate::exchange::{Ended, exchange};
use crate::fleet::Pace;
use crate::member::Member;
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
    pub end: Instant,
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
        self.end.saturating_duration_since(now)
    }
}

/// A request in flight to an upstream; dropping it records that nobody waits any more.
pub struct Flight {
    member: Rc<Member>,
    pace: Rc<RefCell<Pace>>,
    metrics: Arc<Metrics>,
    typical: Duration,
    sent: Instant,
    token: Option<Token>,
}

impl Flight {
    /// Counts a request that is sent.
    pub fn begin(
        now: Instant,
        member: &Rc<Member>,
        pace: &Rc<RefCell<Pace>>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        Self {
            member: Rc::clone(member),
            pace: Rc::clone(pace),
            metrics: Arc::clone(metrics),
            typical: pace.borrow().typical(),
            sent: now,
            token: Some(member.replica.borrow_mut().begin(now)),
        }
    }

    /// Returns the upstream.
    pub fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Records what the end says about the upstream, which took `time`.
    pub fn end(mut self, now: Instant, time: Duration, ended: &Ended) {
        let (outcome, name) = match ended {
            Ended::Replied(reply) => {
                self.report(now, reply.answer.load);
                if reply.is_final() {
                    (self.answered(now, time), "answered")
                } else {
                    (Outcome::Failed, "failed")
                }
            }
            Ended::Merged { load, .. } => {
                self.report(now, *load);
                (self.answered(now, time), "answered")
            }
            Ended::Refused { replaced } => {
                self.member.replaced.set(self.member.replaced.get() || *replaced);
                (Outcome::Refused, if *replaced { "replaced" } else { "refused" })
            }
            Ended::Unsent => (Outcome::Lost, "unsent"),
            Ended::Unknown { .. } => (Outcome::Failed, "unknown"),
        };
        self.close(now, outcome, name);
    }

    /// Records an end that says nothing about the upstream.
    pub fn void(mut self, now: Instant) {
        self.close(now, Outcome::Abandoned, "void");
    }

    fn report(&self, now: Instant, load: Option<(u32, u32)>) {
        if let Some((running, waiting)) = load {
            self.member.replica.borrow_mut().report(now, running, waiting);
        }
    }

    fn answered(&self, now: Instant, time: Duration) -> Outcome {
        self.pace.borrow_mut().record(now, time);
        Outcome::Answered { time, typical: self.typical }
    }

    fn close(&mut self, now: Instant, outcome: Outcome, name: &'static str) {
        if let Some(token) = self.token.take() {
            self.metrics.sending(name);
            self.member.replica.borrow_mut().end(now, token, outcome);
        }
    }
}

impl Drop for Flight {
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
    pub member: Rc<Member>,
    /// How it ended.
    pub ended: Ended,
    /// Time from sending to its end.
    pub time: Duration,
}

/// Sends a request for one part and waits for its end.
pub async fn send(
    sent: Instant,
    part: usize,
    flight: Flight,
    outgoing: Rc<Outgoing>,
    metrics: Arc<Metrics>,
) -> Finished {
    let member = Rc::clone(flight.member());
    let left = outgoing.left(sent);
    let headers = platform::head_to(&outgoing.call, &member.upstream.id, left);
    let request = outgoing.request(headers);
    let ended = exchange(&member, request, &outgoing.call.id, &metrics).await;
    let time = sent.elapsed();
    flight.end(Instant::now(), time, &ended);
    Finished { part, member, ended, time }
}
