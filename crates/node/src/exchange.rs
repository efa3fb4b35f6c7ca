//! One HTTP exchange with an upstream on one connection.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use platform::Answer;

use crate::attempt::Outgoing;
use crate::buffers::{Buffer, Buffers};
use crate::endpoint::Endpoint;
use crate::metrics::Metrics;
use crate::pool::PooledConnection;
use crate::restart::{self, Finding};

/// How an answer is known to belong to the request that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// It echoes the id of the request, as all answers of upstreams do. A late copy of an answer to
    /// another request could otherwise be taken for it.
    Echo,
    /// It is the next one on the connection, and echoes no other id. That is enough for other hosts, which
    /// send one answer to each request, and for the first request on a connection.
    Position,
}

/// A complete answer of an upstream.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
    /// The parsed headers of the answer.
    pub answer: Answer,
}

/// Result of an exchange.
#[derive(Debug)]
pub enum Completion {
    /// The upstream sent an answer, which may have an error status.
    Replied(Reply),
    /// A relay received the answer and merged its records with those of other parts.
    Merged {
        /// The upstream's signature of its answer.
        stamp: Box<str>,
        /// Numbers of running and waiting requests that the upstream reported.
        load: Option<(u32, u32)>,
    },
    /// The upstream refused the request and stated that it has not run it.
    Refused {
        /// Whether the address now belongs to another upstream.
        replaced: bool,
    },
    /// Nothing was sent, because the upstream turned out to be cold, is being checked, or was checked
    /// until the deadline.
    Withheld,
    /// The attempt failed before anything was written, so the upstream has not run the request.
    Unsent,
    /// The connection broke after the request was written and before the answer was complete, as
    /// when the upstream crashes. The request may have run.
    Broken {
        /// Description of the failure for the log.
        cause: &'static str,
    },
    /// There is no usable answer; the request may have run.
    Unknown {
        /// Description of the failure for the log.
        cause: &'static str,
    },
}

impl Completion {
    /// Returns whether the upstream had more requests than slots: it reported waiting requests, or
    /// refused the request although the address is still its own.
    pub fn is_saturated(&self) -> bool {
        let queued = |load: Option<(u32, u32)>| load.is_some_and(|(_, waiting)| waiting > 0);
        match self {
            Self::Replied(reply) => queued(reply.answer.load),
            Self::Merged { load, .. } => queued(*load),
            Self::Refused { replaced } => !replaced,
            Self::Withheld | Self::Unsent | Self::Broken { .. } | Self::Unknown { .. } => false,
        }
    }
}

impl Reply {
    /// Returns whether a caller may get the answer: it does not claim more than the upstream has stated. A
    /// success needs the upstream's signature, and a status that promises that the request has not run its
    /// statement, with which the reply would be a [refusal](Completion::Refused).
    pub fn is_truthful(&self) -> bool {
        let promises_not_run = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        let is_success = self.status.is_success();
        !promises_not_run.contains(&self.status) && (!is_success || self.is_usable())
    }

    /// Returns whether the answer is usable, so that a retry is not needed: it has no server error
    /// status, carries the upstream's signature and has no content encoding.
    pub fn is_usable(&self) -> bool {
        !self.status.is_server_error() && self.answer.stamp.is_some() && !self.answer.encoded
    }
}

/// Sends a request to an upstream, and reads the complete answer.
///
/// It takes an idle or a new connection, on which no attempt of the request was answered before. If the
/// process at the other end may be another one than before, its health is checked first.
pub async fn exchange(endpoint: &Endpoint, outgoing: &Outgoing, metrics: &Metrics) -> Completion {
    let sent = Instant::now();
    let mut pooled = endpoint.connections.checkout(sent, |id| outgoing.was_answered_on(id));
    if pooled.is_none() {
        endpoint.connections.make_room();
        pooled = connect(endpoint, metrics).await;
    }
    let Some(mut pooled) = pooled else { return Completion::Unsent };
    if !endpoint.is_known(Instant::now(), pooled.opened()) {
        pooled = match verified(endpoint, outgoing, pooled, metrics).await {
            Ok(pooled) => pooled,
            Err(completion) => return completion,
        };
    }
    let connection = pooled.connection().id();
    let (remaining, id) = (outgoing.remaining(Instant::now()), &outgoing.call.id);
    if remaining.is_zero() {
        pooled.checkin(Instant::now(), None);
        return Completion::Withheld;
    }
    let headers = platform::upstream_headers(&outgoing.call, &endpoint.upstream.id, remaining);
    let request = outgoing.request(headers);
    let buffers = &endpoint.context.buffers;
    let completion = transfer(pooled, request, id, Identity::Echo, buffers, |status, answer| {
        let now = Instant::now();
        endpoint.context.record_answer(now);
        if status != StatusCode::MISDIRECTED_REQUEST {
            endpoint.record_answer(now, sent, answer);
        }
    })
    .await;
    let is_failure = match &completion {
        Completion::Refused { .. } => true,
        Completion::Replied(reply) => !reply.is_usable(),
        _ => false,
    };
    if is_failure {
        outgoing.record_answered_on(connection);
    }
    completion
}

/// Checks the process at the other end of a connection, and returns the connection if the process may
/// get a request now.
///
/// # Errors
///
/// Returns how the exchange ended if it may not.
async fn verified(
    endpoint: &Endpoint,
    outgoing: &Outgoing,
    pooled: PooledConnection,
    metrics: &Metrics,
) -> Result<PooledConnection, Completion> {
    let finding = restart::verify(endpoint, pooled, metrics).await;
    match finding {
        Some(Finding::Running(_) | Finding::Unknown) => {}
        Some(Finding::Busy) => return Err(Completion::Refused { replaced: false }),
        Some(Finding::Replaced) => return Err(Completion::Refused { replaced: true }),
        Some(Finding::Unreachable) => return Err(Completion::Unsent),
        None => return Err(Completion::Withheld),
    }
    let now = Instant::now();
    if !endpoint.replica.borrow().is_usable(now) {
        return Err(Completion::Withheld);
    }
    let pooled = endpoint.connections.checkout(now, |id| outgoing.was_answered_on(id));
    let pooled = pooled.filter(|pooled| endpoint.is_known(now, pooled.opened()));
    let pooled = pooled.ok_or(Completion::Unsent)?;
    endpoint.replica.borrow_mut().sent_cold(now);
    Ok(pooled)
}

/// Sends a request on a connection and reads the complete answer; `on_head` gets its status and
/// headers.
///
/// An answer that does not belong to the request `id`, or has no final status, is not used. The
/// connection is closed when the exchange fails, the returned future is dropped or the peer asks for
/// it.
pub async fn transfer(
    mut pooled: PooledConnection,
    request: Request<Full<Bytes>>,
    id: &HeaderValue,
    identity: Identity,
    buffers: &Rc<Buffers>,
    on_head: impl FnOnce(StatusCode, &Answer),
) -> Completion {
    let response = match pooled.connection().send(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => Completion::Unsent,
                None => Completion::Broken { cause: "connection closed before an answer" },
            };
        }
    };
    let answer = Answer::read(response.status(), response.headers(), id);
    if !answer.is_final {
        return Completion::Unknown { cause: "status of no answer" };
    }
    let belongs = match identity {
        Identity::Echo => answer.echoes_request,
        Identity::Position => answer.matches_request,
    };
    if !belongs {
        return Completion::Unknown { cause: "answer to another request" };
    }
    on_head(response.status(), &answer);
    let buffer = buffers.buffer();
    let reply = match pooled.connection().drive(collect(response, answer, buffer)).await {
        Ok(reply) => reply,
        Err(completion) => return completion,
    };
    if !reply.answer.closes {
        pooled.checkin(Instant::now(), reply.answer.keep_alive);
    }
    if reply.answer.refused {
        return Completion::Refused { replaced: reply.status == StatusCode::MISDIRECTED_REQUEST };
    }
    Completion::Replied(reply)
}

/// Opens a connection in advance, so that the first request does not wait for one.
pub async fn preconnect(endpoint: &Endpoint, metrics: &Metrics) {
    if endpoint.has_room() {
        check_connection(endpoint, metrics).await;
    }
}

/// Opens a connection, also beyond the maximum, and returns whether that succeeded.
pub async fn check_connection(endpoint: &Endpoint, metrics: &Metrics) -> bool {
    let pooled = connect(endpoint, metrics).await;
    let connected = pooled.is_some();
    if let Some(pooled) = pooled {
        pooled.checkin(Instant::now(), None);
    }
    connected
}

/// Reads the rest of an answer.
///
/// # Errors
///
/// Returns how the exchange ended if the answer is incomplete or too large.
async fn collect(
    response: Response<Incoming>,
    answer: Answer,
    mut buffer: Buffer,
) -> Result<Reply, Completion> {
    let (parts, mut body) = response.into_parts();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Completion::Broken { cause: "answer incomplete" })?;
        let Ok(data) = frame.into_data() else { continue };
        if !buffer.push(data) {
            return Err(Completion::Unknown { cause: "answer too large" });
        }
    }
    let body = buffer.into_bytes();
    Ok(Reply { status: parts.status, headers: parts.headers, body, answer })
}

/// Opens a connection to an upstream, also beyond the maximum. Returns `None` if that fails.
pub async fn connect(endpoint: &Endpoint, metrics: &Metrics) -> Option<PooledConnection> {
    metrics.connections.inc();
    let connection = endpoint.connections.connect(endpoint.upstream.address).await;
    if let Err(error) = &connection {
        log::debug!(upstream = endpoint.upstream.id, error:%; "could not connect to an upstream");
    }
    connection.ok()
}
