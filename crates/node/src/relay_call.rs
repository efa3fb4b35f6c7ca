//! The client side of a relay request, at the host that serves the query.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use pick::{Outcome, Token};
use relay::{Batch, Decoder, End, REQUEST_HEADER, Request};

use crate::attempt::{Attempt, Finished, Outgoing};
use crate::endpoint::Endpoint;
use crate::exchange::Completion;
use crate::metrics::Metrics;
use crate::notices::Notices;
use crate::peer::{IDLE_TTL, Peer};
use crate::pool::PooledConnection;

/// Minimum age at which a relay request that is dropped before the first batch counts as lost. The
/// idle connections to the relay are closed then.
const MIN_LOST_AGE: Duration = Duration::from_millis(400);

/// Progress of a relay request.
pub struct Progress {
    /// Attempts that have ended. Answers of merged parts are in `records`.
    pub finished: Vec<Finished>,
    /// The greatest records of all merged parts in `finished`.
    pub records: Bytes,
    /// The relay request, if parts are outstanding or the end of the answer was not received yet.
    pub remaining: Option<RelayCall>,
}

/// A relay request in flight.
///
/// Dropping it abandons the attempts for its open parts, and the request to the relay if no batch
/// was received.
pub struct RelayCall {
    relay: RelayAttempt,
    outgoing: Rc<Outgoing>,
    metrics: Arc<Metrics>,
    request: Request,
    parts: Vec<Option<(usize, Attempt)>>,
    /// What the relay reports about upstreams.
    notices: Notices,
    batches: Option<BatchStream>,
}

/// The response of a relay, from which batches are read.
struct BatchStream {
    pooled: PooledConnection,
    body: Incoming,
    decoder: Decoder,
}

/// Failure of a relay request.
enum Failure {
    /// The relay has not sent any part.
    Unsent,
    /// The relay may have sent parts; holds the cause for the log.
    Unknown(&'static str),
}

impl RelayCall {
    /// Prepares a relay request for parts, each with its index and its attempt at an upstream.
    pub fn new(
        now: Instant,
        peer: &Rc<Peer>,
        outgoing: &Rc<Outgoing>,
        metrics: &Arc<Metrics>,
        request: Request,
        parts: Vec<(usize, Attempt)>,
    ) -> Self {
        Self {
            relay: RelayAttempt::begin(now, peer),
            outgoing: Rc::clone(outgoing),
            metrics: Arc::clone(metrics),
            request,
            parts: parts.into_iter().map(Some).collect(),
            notices: Notices::default(),
            batches: None,
        }
    }

    /// Waits for the next batch of the relay, or for the end of its answer.
    pub async fn next(mut self) -> Progress {
        let batch = match &mut self.batches {
            None => self.open().await,
            Some(batches) => batches.read().await,
        };
        let now = Instant::now();
        match batch {
            Ok(Some(batch)) => {
                self.relay.answered(now, self.request.flush);
                self.process(now, batch)
            }
            Ok(None) => {
                let finished = self.fail(now, &Failure::Unknown("relay ended its answer early"));
                if let Some(BatchStream { pooled, .. }) =
                    self.batches.take().filter(|_| finished.is_empty())
                {
                    pooled.checkin(now, Some(IDLE_TTL));
                }
                Progress { finished, records: Bytes::new(), remaining: None }
            }
            Err(failure) => {
                self.relay.failed(now);
                let finished = self.fail(now, &failure);
                Progress { finished, records: Bytes::new(), remaining: None }
            }
        }
    }

    async fn open(&mut self) -> Result<Option<Batch>, Failure> {
        self.metrics.relay_requests.inc();
        let peer = Rc::clone(&self.relay.peer);
        let pooled = peer.connections.get(Instant::now(), peer.address).await;
        let mut pooled = pooled.map_err(|error| {
            log::debug!(host = peer.name, error:%; "could not connect to a relay");
            Failure::Unsent
        })?;
        let remaining = self.outgoing.remaining(Instant::now());
        let mut headers = platform::forward_headers(&self.outgoing.call, remaining);
        let value = HeaderValue::try_from(self.request.to_string()).map_err(|_| Failure::Unsent)?;
        headers.insert(REQUEST_HEADER, value);
        let request = self.outgoing.request(headers);
        let response = pooled.connection().send(request).await.map_err(|mut error| {
            if error.take_message().is_some() {
                Failure::Unsent
            } else {
                Failure::Unknown("relay connection closed")
            }
        })?;
        if response.status() != StatusCode::OK {
            return Err(rejected(&peer, &response));
        }
        self.notices = Notices::read(&peer.name, response.headers());
        let batches =
            BatchStream { pooled, body: response.into_body(), decoder: Decoder::default() };
        self.batches.insert(batches).read().await
    }

    fn process(mut self, now: Instant, batch: Batch) -> Progress {
        let mut finished = Vec::with_capacity(batch.ends.len());
        for (index, end) in batch.ends {
            let part = self.parts.get_mut(usize::from(index)).and_then(Option::take);
            let Some((part, attempt)) = part else { continue };
            let endpoint = Rc::clone(attempt.endpoint());
            let (completion, time) = match end {
                End::Answered { stamp, load, time } => {
                    endpoint.context.crashes.record_answer(now, self.outgoing.fingerprint);
                    (Completion::Merged { stamp, load }, time)
                }
                End::Refused { replaced } => (Completion::Refused { replaced }, Duration::ZERO),
                End::Unsent => (Completion::Unsent, Duration::ZERO),
                End::Failed => (Completion::Unknown { cause: "failed at a relay" }, Duration::ZERO),
            };
            let is_explained = self.record_notices(now, index, &endpoint);
            if is_explained && matches!(completion, Completion::Unsent) {
                attempt.discard(now);
            } else {
                attempt.end(now, time, &completion);
            }
            finished.push(Finished { part, endpoint, completion, time });
        }
        let remaining = self.finish(now);
        Progress { finished, records: batch.records.into(), remaining }
    }

    /// Records what the relay reports about the upstream of a part. Returns whether that explains why
    /// the relay has sent nothing to it.
    fn record_notices(&self, now: Instant, index: u16, endpoint: &Endpoint) -> bool {
        let limit = self.notices.limits.get(index);
        if let Some(limit) = limit {
            endpoint.record_rate_limit(now, limit);
        }
        let leaving = self.notices.leaving.get(index);
        let is_leaving = leaving.is_some_and(|started| started == endpoint.upstream.started_ms);
        if is_leaving {
            endpoint.record_departure();
        }
        let pause = self.notices.pauses.get(index);
        let pause = pause.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        if let Some(pause) = pause {
            endpoint.record_pause(now, pause);
        }
        limit.is_some() || is_leaving || pause.is_some()
    }

    /// Returns the relay request if more of its answer is expected. Otherwise the connection goes
    /// back to the pool, or is closed if the answer did not end as expected.
    fn finish(mut self, now: Instant) -> Option<Self> {
        if self.parts.iter().any(Option::is_some) {
            return Some(self);
        }
        // The end of the answer usually arrives together with the last batch.
        let end = self.batches.as_mut()?.read().now_or_never();
        match end {
            None => Some(self),
            Some(Ok(None)) => {
                self.batches.take()?.pooled.checkin(now, Some(IDLE_TTL));
                None
            }
            Some(_) => None,
        }
    }

    fn fail(&mut self, now: Instant, failure: &Failure) -> Vec<Finished> {
        let open = self.parts.iter_mut().filter_map(Option::take);
        let end = |(part, attempt): (usize, Attempt)| {
            let endpoint = Rc::clone(attempt.endpoint());
            attempt.discard(now);
            let completion = match failure {
                Failure::Unsent => Completion::Unsent,
                Failure::Unknown(cause) => Completion::Unknown { cause },
            };
            Finished { part, endpoint, completion, time: Duration::ZERO }
        };
        open.map(end).collect()
    }
}

fn rejected(peer: &Peer, response: &Response<Incoming>) -> Failure {
    let status = response.status();
    log::debug!(host = peer.name, status = status.as_u16(); "relay rejected a request");
    if status.is_client_error() || status.is_server_error() {
        Failure::Unsent
    } else {
        Failure::Unknown("relay sent the status of no answer")
    }
}

impl BatchStream {
    /// Reads the next batch; returns `None` at the end of the answer.
    async fn read(&mut self) -> Result<Option<Batch>, Failure> {
        loop {
            match self.decoder.take() {
                Ok(Some(batch)) => return Ok(Some(batch)),
                Ok(None) => {}
                Err(error) => {
                    log::warn!(error:%; "relay sent a malformed batch");
                    return Err(Failure::Unknown("relay sent a malformed batch"));
                }
            }
            match self.pooled.connection().drive(self.body.frame()).await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.decoder.push(&data);
                    }
                }
                Some(Err(_)) => return Err(Failure::Unknown("relay connection closed")),
                None => return Ok(None),
            }
        }
    }
}

/// One request to a relay, for the statistics of the relay.
///
/// Dropping it before the first batch records the request as abandoned, or as lost if more
/// than [`MIN_LOST_AGE`] has passed since it was sent.
struct RelayAttempt {
    peer: Rc<Peer>,
    sent: Instant,
    token: Option<Token>,
}

impl RelayAttempt {
    fn begin(now: Instant, peer: &Rc<Peer>) -> Self {
        let token = peer.replica.borrow_mut().begin(now);
        Self { peer: Rc::clone(peer), sent: now, token: Some(token) }
    }

    /// Records the arrival of a batch; only the first one counts. The first batch is
    /// expected after `flush_timeout`.
    fn answered(&mut self, now: Instant, flush_timeout: Duration) {
        self.end(now, Outcome::Answered { time: now - self.sent, typical: flush_timeout });
    }

    fn failed(&mut self, now: Instant) {
        self.end(now, Outcome::Lost);
    }

    fn end(&mut self, now: Instant, outcome: Outcome) {
        if let Some(token) = self.token.take() {
            self.peer.replica.borrow_mut().end(now, token, outcome);
        }
    }
}

impl Drop for RelayAttempt {
    fn drop(&mut self) {
        if self.token.is_none() {
            return;
        }
        let now = Instant::now();
        if now - self.sent > MIN_LOST_AGE {
            log::info!(host = self.peer.name; "relay does not answer; closing idle connections");
            self.peer.connections.clear();
            self.end(now, Outcome::Lost);
        } else {
            self.end(now, Outcome::Abandoned);
        }
    }
}
