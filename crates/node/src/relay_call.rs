//! Parts that another host asks for: the side of the host that has the query.

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
use crate::exchange::Completion;
use crate::metrics::Metrics;
use crate::peer::{KEEP, Peer};
use crate::pool::PooledConnection;

/// Time without any answer of a relay after which its connections are given up as well.
const SILENCE: Duration = Duration::from_millis(400);

/// What comes of an order.
pub struct Progress {
    /// Parts that have ended; records of those that are merged are in `records`.
    pub ended: Vec<Finished>,
    /// The greatest records of all merged parts in `ended`.
    pub records: Bytes,
    /// The order, if some parts are still open or its answer is not complete.
    pub rest: Option<RelayCall>,
}

/// An order in flight to a relay; dropping it records that nobody waits any more.
pub struct RelayCall {
    visit: Visit,
    outgoing: Rc<Outgoing>,
    metrics: Arc<Metrics>,
    order: Request,
    parts: Vec<Option<(usize, Attempt)>>,
    answer: Option<Answer>,
}

struct Answer {
    held: PooledConnection,
    body: Incoming,
    decoder: Decoder,
}

/// How a relay broke an order off.
enum Broken {
    /// The relay cannot have sent anything.
    Unsent,
    /// It may have.
    Unknown(&'static str),
}

impl RelayCall {
    /// Creates an order for parts, each with its flight to an upstream.
    pub fn new(
        now: Instant,
        peer: &Rc<Peer>,
        outgoing: &Rc<Outgoing>,
        metrics: &Arc<Metrics>,
        order: Request,
        parts: Vec<(usize, Attempt)>,
    ) -> Self {
        Self {
            visit: Visit::begin(now, peer),
            outgoing: Rc::clone(outgoing),
            metrics: Arc::clone(metrics),
            order,
            parts: parts.into_iter().map(Some).collect(),
            answer: None,
        }
    }

    /// Waits for the next parts.
    pub async fn next(mut self) -> Progress {
        let batch = match &mut self.answer {
            None => self.open().await,
            Some(answer) => answer.read().await,
        };
        let now = Instant::now();
        match batch {
            Ok(Some(batch)) => {
                self.visit.answered(now, self.order.flush);
                self.take(now, batch)
            }
            Ok(None) => {
                let ended = self.break_off(now, &Broken::Unknown("relay ended its answer"));
                if let Some(Answer { held, .. }) = self.answer.take().filter(|_| ended.is_empty()) {
                    held.checkin(now, Some(KEEP));
                }
                Progress { ended, records: Bytes::new(), rest: None }
            }
            Err(broken) => {
                self.visit.failed(now);
                let ended = self.break_off(now, &broken);
                Progress { ended, records: Bytes::new(), rest: None }
            }
        }
    }

    async fn open(&mut self) -> Result<Option<Batch>, Broken> {
        self.metrics.orders.inc();
        let peer = Rc::clone(&self.visit.peer);
        let mut held = match peer.connections.checkout(Instant::now()) {
            Some(held) => held,
            None => peer.connections.dial(peer.address).await.map_err(|error| {
                log::debug!(host = peer.name, error:%; "no connection to a relay");
                Broken::Unsent
            })?,
        };
        let left = self.outgoing.left(Instant::now());
        let mut headers = platform::head(&self.outgoing.call, left);
        let order = HeaderValue::try_from(self.order.to_string()).map_err(|_| Broken::Unsent)?;
        headers.insert(REQUEST_HEADER, order);
        let request = self.outgoing.request(headers);
        let response = held.connection().send(request).await.map_err(|mut error| {
            if error.take_message().is_some() {
                Broken::Unsent
            } else {
                Broken::Unknown("relay broke off")
            }
        })?;
        if response.status() != StatusCode::OK {
            return Err(refusal(&peer, &response));
        }
        let answer = Answer { held, body: response.into_body(), decoder: Decoder::default() };
        self.answer.insert(answer).read().await
    }

    fn take(mut self, now: Instant, batch: Batch) -> Progress {
        let mut ended = Vec::with_capacity(batch.ends.len());
        for (place, end) in batch.ends {
            let part = self.parts.get_mut(usize::from(place)).and_then(Option::take);
            let Some((part, attempt)) = part else { continue };
            let endpoint = Rc::clone(attempt.endpoint());
            let (completion, time) = match end {
                End::Answered { stamp, load, time } => (Completion::Merged { stamp, load }, time),
                End::Refused { replaced } => (Completion::Refused { replaced }, Duration::ZERO),
                End::Unsent => (Completion::Unsent, Duration::ZERO),
                End::Failed => (Completion::Unknown { cause: "failed at a relay" }, Duration::ZERO),
            };
            attempt.end(now, time, &completion);
            ended.push(Finished { part, endpoint, completion, time });
        }
        let rest = self.finish(now);
        Progress { ended, records: batch.records.into(), rest }
    }

    /// Returns the order if more is to come, and keeps its connection otherwise.
    fn finish(mut self, now: Instant) -> Option<Self> {
        if self.parts.iter().any(Option::is_some) {
            return Some(self);
        }
        // The end of the answer has mostly come with its last batch.
        let end = self.answer.as_mut()?.read().now_or_never();
        match end {
            None => Some(self),
            Some(Ok(None)) => {
                self.answer.take()?.held.checkin(now, Some(KEEP));
                None
            }
            Some(_) => None,
        }
    }

    fn break_off(&mut self, now: Instant, broken: &Broken) -> Vec<Finished> {
        let open = self.parts.iter_mut().filter_map(Option::take);
        let end = |(part, attempt): (usize, Attempt)| {
            let endpoint = Rc::clone(attempt.endpoint());
            attempt.void(now);
            let completion = match broken {
                Broken::Unsent => Completion::Unsent,
                Broken::Unknown(cause) => Completion::Unknown { cause },
            };
            Finished { part, endpoint, completion, time: Duration::ZERO }
        };
        open.map(end).collect()
    }
}

fn refusal(peer: &Peer, response: &Response<Incoming>) -> Broken {
    log::debug!(host = peer.name, status = response.status().as_u16(); "a relay takes no order");
    Broken::Unsent
}

impl Answer {
    /// Reads the next batch; `None` is the end of the answer.
    async fn read(&mut self) -> Result<Option<Batch>, Broken> {
        loop {
            match self.decoder.take() {
                Ok(Some(batch)) => return Ok(Some(batch)),
                Ok(None) => {}
                Err(error) => {
                    log::warn!(error:%; "a relay sent bytes that are no parts");
                    return Err(Broken::Unknown("relay sent bytes that are no parts"));
                }
            }
            match self.held.connection().drive(self.body.frame()).await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.decoder.push(&data);
                    }
                }
                Some(Err(_)) => return Err(Broken::Unknown("relay broke off")),
                None => return Ok(None),
            }
        }
    }
}

/// What an order says about the relay; dropping it early says that it was slow.
struct Visit {
    peer: Rc<Peer>,
    sent: Instant,
    token: Option<Token>,
}

impl Visit {
    fn begin(now: Instant, peer: &Rc<Peer>) -> Self {
        let token = peer.replica.borrow_mut().begin(now);
        Self { peer: Rc::clone(peer), sent: now, token: Some(token) }
    }

    /// Records the first batch, which comes at the flush time at the latest.
    fn answered(&mut self, now: Instant, flush: Duration) {
        self.end(now, Outcome::Answered { time: now - self.sent, typical: flush });
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

impl Drop for Visit {
    fn drop(&mut self) {
        if self.token.is_none() {
            return;
        }
        let now = Instant::now();
        if now - self.sent > SILENCE {
            log::info!(host = self.peer.name; "a relay is silent");
            self.peer.connections.clear();
            self.end(now, Outcome::Lost);
        } else {
            self.end(now, Outcome::Abandoned);
        }
    }
}
