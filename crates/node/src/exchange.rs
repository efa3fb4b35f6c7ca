//! One request on one connection to one upstream.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use platform::Answer;

use crate::connection::Connection;
use crate::member::Member;
use crate::metrics::Metrics;

/// Time for a new connection; the ways between failure domains take milliseconds.
const DIAL_TIME: Duration = Duration::from_millis(400);

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
pub enum Ended {
    /// With an answer, which may be a failure of the upstream's.
    Replied(Reply),
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

/// Sends a request and reads the whole answer.
pub async fn exchange(
    member: &Member,
    request: Request<Full<Bytes>>,
    id: &HeaderValue,
    metrics: &Metrics,
) -> Ended {
    let mut connection = match member.connections.checkout(Instant::now()) {
        Some(connection) => connection,
        None => match dial(member, metrics).await {
            Some(connection) => connection,
            None => return Ended::Unsent,
        },
    };
    // The connection counts as open until this is told otherwise, also when the task is dropped.
    let guard = Guard(Some(member));
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => Ended::Unsent,
                None => Ended::Unknown { cause: "connection broke before an answer" },
            };
        }
    };
    let answer = Answer::read(response.status(), response.headers(), id);
    if !answer.own {
        return Ended::Unknown { cause: "answer to another request" };
    }
    let Some(reply) = connection.drive(collect(response, answer)).await else {
        return Ended::Unknown { cause: "answer broke off" };
    };
    if !reply.answer.closes && connection.is_usable() {
        guard.keep();
        member.connections.checkin(Instant::now(), connection, reply.answer.keep);
    }
    if reply.answer.refused {
        return Ended::Refused { replaced: reply.status == StatusCode::MISDIRECTED_REQUEST };
    }
    Ended::Replied(reply)
}

/// Opens a connection ahead of the first request, which would wait for it otherwise.
pub async fn prepare(member: &Member, metrics: &Metrics) {
    if !member.has_room() {
        return;
    }
    if let Some(connection) = dial(member, metrics).await {
        member.connections.checkin(Instant::now(), connection, None);
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

async fn dial(member: &Member, metrics: &Metrics) -> Option<Connection> {
    member.connections.opening();
    let guard = Guard(Some(member));
    metrics.connections.inc();
    match tokio::time::timeout(DIAL_TIME, Connection::open(member.upstream.address)).await {
        Ok(Ok(connection)) => {
            guard.keep();
            Some(connection)
        }
        Ok(Err(error)) => {
            log::debug!(upstream = member.upstream.id, error:%; "connection refused");
            None
        }
        Err(_) => {
            log::debug!(upstream = member.upstream.id; "connection timed out");
            None
        }
    }
}

/// Counts a connection as closed unless it is kept.
struct Guard<'a>(Option<&'a Member>);

impl Guard<'_> {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(member) = self.0 {
            member.connections.closed();
        }
    }
}
