//! One request on one connection to one upstream.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use platform::Answer;

use crate::endpoint::Endpoint;
use crate::metrics::Metrics;
use crate::pool::PooledConnection;

/// Most bytes of an answer that is held in memory.
const MOST_BODY: usize = 16 * 1024 * 1024;

/// A complete answer of an upstream.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// What its headers say.
    pub answer: Answer,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Completion {
    /// With an answer, which may be a failure of the upstream's.
    Replied(Reply),
    /// With an answer at a relay, whose records are merged with those of other parts.
    Merged {
        /// The upstream's signature of its answer.
        stamp: Box<str>,
        /// Running and waiting requests that the upstream reported.
        load: Option<(u32, u32)>,
    },
    /// With the upstream's word that it has not run the request.
    Refused {
        /// Whether another upstream has the address.
        replaced: bool,
    },
    /// Before anything was written.
    Unsent,
    /// Without an answer that can be used; the request may have run.
    Unknown {
        /// What was seen, for the log.
        cause: &'static str,
    },
}

impl Completion {
    /// Returns whether the upstream had more to do than it has slots.
    pub fn shows_queue(&self) -> bool {
        let queue = |load: Option<(u32, u32)>| load.is_some_and(|(_, waiting)| waiting > 0);
        match self {
            Self::Replied(reply) => queue(reply.answer.load),
            Self::Merged { load, .. } => queue(*load),
            Self::Refused { replaced } => !replaced,
            Self::Unsent | Self::Unknown { .. } => false,
        }
    }
}

impl Reply {
    /// Returns whether another upstream would not do better.
    pub fn is_final(&self) -> bool {
        !self.status.is_server_error() && self.answer.stamp.is_some() && !self.answer.encoded
    }
}

/// Sends a request and reads the whole answer.
pub async fn exchange(
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
    id: &HeaderValue,
    metrics: &Metrics,
) -> Completion {
    let mut held = match endpoint.connections.checkout(Instant::now()) {
        Some(held) => held,
        None => match dial(endpoint, metrics).await {
            Some(held) => held,
            None => return Completion::Unsent,
        },
    };
    let response = match held.connection().send(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => Completion::Unsent,
                None => Completion::Unknown { cause: "connection broke before an answer" },
            };
        }
    };
    let answer = Answer::read(response.status(), response.headers(), id);
    if !answer.own {
        return Completion::Unknown { cause: "answer to another request" };
    }
    let Some(reply) = held.connection().drive(collect(response, answer)).await else {
        return Completion::Unknown { cause: "answer broke off" };
    };
    if !reply.answer.closes {
        held.checkin(Instant::now(), reply.answer.keep);
    }
    if reply.answer.refused {
        return Completion::Refused { replaced: reply.status == StatusCode::MISDIRECTED_REQUEST };
    }
    Completion::Replied(reply)
}

/// Opens a connection ahead of the first request, which would wait for it otherwise.
pub async fn prepare(endpoint: &Endpoint, metrics: &Metrics) {
    if !endpoint.has_room() {
        return;
    }
    if let Some(held) = dial(endpoint, metrics).await {
        held.checkin(Instant::now(), None);
    }
}

async fn collect(response: Response<Incoming>, answer: Answer) -> Option<Reply> {
    let (parts, mut body) = response.into_parts();
    let mut whole = Bytes::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if whole.len() + data.len() > MOST_BODY {
            return None;
        }
        // Most answers come in one piece, which needs no copy.
        whole = if whole.is_empty() { data } else { [whole, data].concat().into() };
    }
    Some(Reply { status: parts.status, headers: parts.headers, body: whole, answer })
}

async fn dial(endpoint: &Endpoint, metrics: &Metrics) -> Option<PooledConnection> {
    metrics.connections.inc();
    let dialled = endpoint.connections.dial(endpoint.upstream.address).await;
    if let Err(error) = &dialled {
        log::debug!(upstream = endpoint.upstream.id, error:%; "no connection to an upstream");
    }
    dialled.ok()
}
