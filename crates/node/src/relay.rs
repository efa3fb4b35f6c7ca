//! Server side of relaying: sends attempts for parts to upstreams on behalf of another host.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, LocalBoxStream, StreamExt, unfold};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use platform::Call;
use relay::{Batch, Collector, End, REQUEST_HEADER, Request as RelayRequest};
use tokio::time::sleep_until;

use crate::attempt::{Attempt, Finished, Outgoing, send};
use crate::endpoint::Endpoint;
use crate::exchange::Completion;
use crate::metrics::{Metrics, Origin};
use crate::notices::Notices;
use crate::outcome::read_body;
use crate::peer::IDLE_TTL;
use crate::registry::Registry;
use crate::server::serve;

/// Added to the [`IDLE_TTL`] of the client side, so that the client closes an idle connection
/// first.
const IDLE_MARGIN: Duration = Duration::from_secs(10);

type Stream = StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, Infallible>>>;
type Body = Either<Full<Bytes>, Stream>;

/// Serves relay requests of other hosts.
pub struct Relay {
    registry: Rc<Registry>,
    metrics: Arc<Metrics>,
    in_flight: Cell<usize>,
}

impl Relay {
    /// Creates a relay that sends attempts to the upstreams of `registry`.
    pub fn new(registry: &Rc<Registry>, metrics: &Arc<Metrics>) -> Rc<Self> {
        let (registry, metrics) = (Rc::clone(registry), Arc::clone(metrics));
        Rc::new(Self { registry, metrics, in_flight: Cell::new(0) })
    }

    /// Returns the number of relay requests whose responses are not complete.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Serves relay requests for as long as the thread runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .auto_date_header(false)
            .header_read_timeout(IDLE_TTL + IDLE_MARGIN);
        serve(listener, builder, move |request| Rc::clone(&self).serve(request)).await;
    }

    /// Answers a relay request. The status of a failure means that nothing was sent to an upstream.
    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let mut job = match self.accept(request).await {
            Ok(job) => job,
            Err((status, cause)) => {
                log::info!(status = status.as_u16(), cause; "relay request refused");
                let mut response = Response::new(Either::Left(Full::default()));
                *response.status_mut() = status;
                return response;
            }
        };
        let first = job.next().await.map_or_else(Bytes::new, |batch| batch.encode().into());
        let notices = std::mem::take(&mut job.notices);
        let respond = |body| {
            let mut response = Response::new(body);
            notices.write(response.headers_mut());
            response
        };
        if job.collector.is_done() {
            return respond(Either::Left(Full::new(first)));
        }
        let rest = unfold((Some(first), job), |(first, mut job)| async move {
            let bytes = match first {
                Some(first) => first,
                None => job.next().await?.encode().into(),
            };
            Some((Ok(Frame::data(bytes)), (None, job)))
        });
        respond(Either::Right(StreamBody::new(rest.boxed_local())))
    }

    /// Decodes a relay request and sends its parts to the upstreams.
    ///
    /// # Errors
    ///
    /// Returns the status of the response and the cause for the log when the request is malformed
    /// or cannot be served; nothing has been sent then.
    async fn accept(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Job, (StatusCode, &'static str)> {
        let bad_request = |cause| (StatusCode::BAD_REQUEST, cause);
        let mut call =
            Call::read(request.headers()).map_err(|_| bad_request("malformed headers"))?;
        let header = call
            .headers
            .remove(REQUEST_HEADER)
            .ok_or(bad_request("missing relay request header"))?;
        let relay_request = header.to_str().ok().and_then(|text| text.parse::<RelayRequest>().ok());
        let relay_request = relay_request.ok_or(bad_request("malformed relay request header"))?;
        let timeout = call.timeout.ok_or(bad_request("no deadline"))?;
        let target = request.uri().path_and_query().cloned().ok_or(bad_request("no path"))?;
        let method = request.method().clone();
        let unavailable = |cause| (StatusCode::SERVICE_UNAVAILABLE, cause);
        let view = self.registry.view();
        let table = view.table.as_ref().ok_or(unavailable("no configuration yet"))?;
        let route = table.find(&call.host, target.path()).ok_or(unavailable("no such route"))?;
        let body = read_body(request.into_body(), table.limits()).await?;
        let now = Instant::now();
        let outgoing = Outgoing::new(call, method, target, body, now + timeout);
        if self.registry.crashes().refused_until(now, outgoing.fingerprint).is_some() {
            return Err(unavailable("request has crashed several upstreams"));
        }
        self.metrics.relay_requests_served.inc();
        let latency = self.registry.latency(route);
        let mut job = Job::new(now, &self, &relay_request);
        let outgoing = Rc::new(outgoing);
        for (index, id) in relay_request.upstreams.iter().enumerate() {
            let part = index as u16;
            let endpoint = self.registry.endpoint(id);
            let accepted = endpoint.as_ref().filter(|endpoint| endpoint.accepts_relayed(now));
            let Some(endpoint) = accepted else {
                if let Some(endpoint) = endpoint {
                    job.note_pause(now, part, &endpoint);
                    job.notices.limits.add(part, endpoint.rate_limit());
                }
                job.notices.leaving.add(part, view.leaving.get(id).copied());
                job.collector.fail(part, End::Unsent);
                continue;
            };
            let attempt = Attempt::begin(now, endpoint, &latency, &self.metrics);
            let (outgoing, metrics) = (Rc::clone(&outgoing), Arc::clone(&self.metrics));
            let finished = send(now, index, Origin::RELAY, attempt, outgoing, metrics);
            job.attempts.push(Box::pin(finished));
        }
        Ok(job)
    }
}

/// The attempts of one relay request; dropping it abandons them.
struct Job {
    relay: Rc<Relay>,
    attempts: FuturesUnordered<LocalBoxFuture<'static, Finished>>,
    collector: Collector,
    /// What the response says about upstreams. Only what is known before the first batch is sent.
    notices: Notices,
}

impl Job {
    fn new(now: Instant, relay: &Rc<Relay>, request: &RelayRequest) -> Self {
        relay.in_flight.set(relay.in_flight.get() + 1);
        let collector =
            Collector::new(request.upstreams.len(), request.max_records, now + request.flush);
        Self {
            relay: Rc::clone(relay),
            attempts: FuturesUnordered::new(),
            collector,
            notices: Notices::default(),
        }
    }

    /// Waits for the next batch that is to be sent; returns `None` once all parts have been
    /// returned.
    async fn next(&mut self) -> Option<Batch> {
        loop {
            let now = Instant::now();
            if let Some(batch) = self.collector.take(now) {
                return Some(batch);
            }
            if self.collector.is_done() {
                return None;
            }
            let due = self.collector.due();
            let flush = sleep_until(due.unwrap_or(now).into());
            tokio::select! {
                biased;
                Some(finished) = self.attempts.next() => self.finish(finished),
                () = flush, if due.is_some() => {}
            }
        }
    }

    /// Reports for how long the upstream of a part wants no more requests, if it does.
    fn note_pause(&mut self, now: Instant, part: u16, endpoint: &Endpoint) {
        let pause = endpoint.paused_for(now).map(|pause| pause.as_secs_f64());
        self.notices.pauses.add(part, pause);
    }

    fn finish(&mut self, finished: Finished) {
        let Finished { part, endpoint, completion, time } = finished;
        let part = part as u16;
        let started_ms = endpoint.is_leaving().then_some(endpoint.upstream.started_ms);
        self.notices.leaving.add(part, started_ms);
        self.note_pause(Instant::now(), part, &endpoint);
        match completion {
            Completion::Replied(reply) if reply.is_usable() && reply.status.is_success() => {
                let stamp = reply.answer.stamp.unwrap_or_default();
                let end = End::Answered { stamp, load: reply.answer.load, time };
                self.collector.answer(part, end, reply.body);
            }
            Completion::Refused { replaced } => {
                self.collector.fail(part, End::Refused { replaced });
            }
            Completion::Withheld | Completion::Unsent => self.collector.fail(part, End::Unsent),
            Completion::Replied(_)
            | Completion::Merged { .. }
            | Completion::Broken { .. }
            | Completion::Unknown { .. } => {
                log::debug!(upstream = endpoint.upstream.id; "attempt for a relay request failed");
                self.collector.fail(part, End::Failed);
            }
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.relay.in_flight.set(self.relay.in_flight.get() - 1);
    }
}
