//! Parts that this host asks for on behalf of another: the relay's side.

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
use crate::exchange::Completion;
use crate::metrics::Metrics;
use crate::outcome::read_body;
use crate::peer::IDLE_TTL;
use crate::registry::Registry;
use crate::server::serve;

/// Time after the other side's own limit at which an idle connection for orders is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(10);

type Stream = StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, Infallible>>>;
type Body = Either<Full<Bytes>, Stream>;

/// Takes orders of other hosts.
pub struct Relay {
    registry: Rc<Registry>,
    metrics: Arc<Metrics>,
    busy: Cell<usize>,
}

impl Relay {
    /// Creates a relay that sends to the fleet's upstreams.
    pub fn new(registry: &Rc<Registry>, metrics: &Arc<Metrics>) -> Rc<Self> {
        let (registry, metrics) = (Rc::clone(registry), Arc::clone(metrics));
        Rc::new(Self { registry, metrics, busy: Cell::new(0) })
    }

    /// Returns the number of orders that are not answered whole yet.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Takes orders for as long as the thread runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .auto_date_header(false)
            .header_read_timeout(IDLE_TTL + IDLE_MARGIN);
        serve(listener, builder, move |request| Rc::clone(&self).answer(request)).await;
    }

    /// Answers an order; any status but 200 says that nothing was sent.
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let mut work = match self.take(request).await {
            Ok(work) => work,
            Err((status, cause)) => {
                log::info!(status = status.as_u16(), cause; "order for parts not taken");
                let mut response = Response::new(Either::Left(Full::default()));
                *response.status_mut() = status;
                return response;
            }
        };
        let first = work.next().await.map_or_else(Bytes::new, |batch| batch.encode().into());
        if work.collector.is_done() {
            return Response::new(Either::Left(Full::new(first)));
        }
        let rest = unfold((Some(first), work), |(first, mut work)| async move {
            let bytes = match first {
                Some(first) => first,
                None => work.next().await?.encode().into(),
            };
            Some((Ok(Frame::data(bytes)), (None, work)))
        });
        Response::new(Either::Right(StreamBody::new(rest.boxed_local())))
    }

    /// Reads an order and sends its parts.
    async fn take(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Work, (StatusCode, &'static str)> {
        let bad = |cause| (StatusCode::BAD_REQUEST, cause);
        let mut call = Call::read(request.headers()).map_err(|_| bad("malformed headers"))?;
        let order = call.headers.remove(REQUEST_HEADER).ok_or(bad("no order"))?;
        let order = order.to_str().ok().and_then(|text| text.parse::<RelayRequest>().ok());
        let order = order.ok_or(bad("unreadable order"))?;
        let timeout = call.timeout.ok_or(bad("no deadline"))?;
        let target = request.uri().path_and_query().cloned().ok_or(bad("no path"))?;
        let method = request.method().clone();
        let unable = |cause| (StatusCode::SERVICE_UNAVAILABLE, cause);
        let view = self.registry.view();
        let table = view.table.as_ref().ok_or(unable("no configuration yet"))?;
        let route = table.find(&call.host, target.path()).ok_or(unable("no such route"))?;
        let body = read_body(request.into_body(), table.limits()).await?;
        let now = Instant::now();
        let outgoing =
            Outgoing { call, method, target: target.into(), body, deadline: now + timeout };
        self.metrics.relay_requests_served.inc();
        let latency = self.registry.latency(route);
        let mut work = Work::new(now, &self, &order);
        let outgoing = Rc::new(outgoing);
        for (part, id) in order.upstreams.iter().enumerate() {
            let Some(endpoint) =
                self.registry.endpoint(id).filter(|endpoint| endpoint.accepts_relayed(now))
            else {
                work.collector.fail(part as u16, End::Unsent);
                continue;
            };
            let attempt = Attempt::begin(now, &endpoint, &latency, &self.metrics);
            let sending = send(now, part, attempt, Rc::clone(&outgoing), Arc::clone(&self.metrics));
            work.sendings.push(Box::pin(sending));
        }
        Ok(work)
    }
}

/// The sendings for one order; dropping it gives them up.
struct Work {
    relay: Rc<Relay>,
    sendings: FuturesUnordered<LocalBoxFuture<'static, Finished>>,
    collector: Collector,
}

impl Work {
    fn new(now: Instant, relay: &Rc<Relay>, order: &RelayRequest) -> Self {
        relay.busy.set(relay.busy.get() + 1);
        let collector = Collector::new(order.upstreams.len(), order.max_records, now + order.flush);
        Self { relay: Rc::clone(relay), sendings: FuturesUnordered::new(), collector }
    }

    /// Waits until something is worth a message; `None` once everything has been returned.
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
                Some(finished) = self.sendings.next() => self.finish(finished),
                () = flush, if due.is_some() => {}
            }
        }
    }

    fn finish(&mut self, finished: Finished) {
        let Finished { part, endpoint, completion, time } = finished;
        let part = part as u16;
        match completion {
            Completion::Replied(reply) if reply.is_final() && reply.status.is_success() => {
                let stamp = reply.answer.stamp.unwrap_or_default();
                let end = End::Answered { stamp, load: reply.answer.load, time };
                self.collector.answer(part, end, reply.body);
            }
            Completion::Refused { replaced } => {
                self.collector.fail(part, End::Refused { replaced });
            }
            Completion::Unsent => self.collector.fail(part, End::Unsent),
            Completion::Replied(_) | Completion::Merged { .. } | Completion::Unknown { .. } => {
                log::debug!(upstream = endpoint.upstream.id; "no part for an order");
                self.collector.fail(part, End::Failed);
            }
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.relay.busy.set(self.relay.busy.get() - 1);
    }
}
