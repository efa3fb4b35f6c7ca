//! HTTP client that sends requests to a host and records the answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderName;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use platform::names::{DEADLINE, MISSING_PARTS, PART_STAMPS, REQUEST_ID, RESOLVE, STAMP};
use tokio::net::TcpStream;

use crate::environment::ROUTE_HOST;

/// Time that a client waits for an answer; most routes time out after two seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that a client waits for an answer on [`Route::Long`], which times out after ten seconds.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time that a client waits for the answer to a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Last segment of the path of [`Route::Crashing`].
pub const CRASHING: &str = "crashing";

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The query over all shards.
    AllShards,
    /// The route whose requests are not idempotent and must run at most once.
    NonIdempotent,
    /// A non-idempotent request at which upstreams crash if they are told to.
    Crashing,
    /// A route with a long timeout, whose requests are not idempotent.
    Long,
    /// The route that exists only in this version of the configuration.
    Version(u64),
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Request id that the client chose.
    pub id: Box<str>,
    /// Route of the request.
    pub route: Route,
    /// Index of the host that got the request.
    pub host: usize,
    /// When the request was sent.
    pub sent: Instant,
    /// Whether there was a connection on which the request was sent.
    pub connected: bool,
    /// When the answer was complete or the request failed.
    pub ended: Instant,
    /// Status of the answer, or 0 if there was none.
    pub status: u16,
    /// Stamps of the upstreams that gave the answer or its parts.
    pub stamps: BTreeSet<Box<str>>,
    /// Number of shards that the answer reports as missing.
    pub missing_parts: usize,
    /// Request id in the answer, if any.
    pub answer_id: Option<Box<str>>,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether the connection failed within the body of the answer.
    pub cut: bool,
}

impl Exchange {
    /// Returns whether the connection ended without a complete answer.
    pub fn is_unanswered(&self) -> bool {
        self.connected && (self.status == 0 || self.cut)
    }
}

/// A client that keeps one connection open and reconnects after a failure.
pub struct Client {
    host: usize,
    address: SocketAddr,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl Client {
    /// Creates a client of the host with this index and address.
    pub fn new(host: usize, address: SocketAddr) -> Self {
        Self { host, address, connection: None }
    }

    /// Sends one request, waits for its answer for a limited time and returns the outcome.
    pub async fn send(&mut self, id: &str, route: Route) -> Exchange {
        let mut exchange = Exchange {
            id: id.into(),
            route,
            host: self.host,
            sent: Instant::now(),
            connected: false,
            ended: Instant::now(),
            status: 0,
            stamps: BTreeSet::new(),
            missing_parts: 0,
            answer_id: None,
            body: Bytes::new(),
            cut: false,
        };
        let timeout = if route == Route::Long { LONG_ANSWER_TIMEOUT } else { ANSWER_TIMEOUT };
        let result = tokio::time::timeout(timeout, self.try_send(&mut exchange)).await;
        if result != Ok(Some(())) {
            self.connection = None;
        }
        exchange.ended = Instant::now();
        exchange
    }

    /// Sends the request of `exchange` and fills in its answer; returns `None` on failure.
    async fn try_send(&mut self, exchange: &mut Exchange) -> Option<()> {
        let path = match exchange.route {
            Route::AllShards => "/all/x".into(),
            Route::NonIdempotent => "/once/x".into(),
            Route::Crashing => format!("/once/{CRASHING}"),
            Route::Long => "/long/x".into(),
            Route::Version(version) => format!("/v{version}/x"),
        };
        let deadline = if exchange.route == Route::Long { "10000" } else { "2500" };
        let request = Request::get(path)
            .header("host", ROUTE_HOST)
            .header(REQUEST_ID, &*exchange.id)
            .header(DEADLINE, deadline)
            .body(Empty::new())
            .ok()?;
        let mut open = self.connection.take();
        if let Some(connection) = &mut open
            && connection.ready().await.is_err()
        {
            open = None;
        }
        let open = match open {
            Some(open) => open,
            None => connect(self.address).await?,
        };
        exchange.connected = true;
        let connection = self.connection.insert(open);
        let response = connection.send_request(request).await.ok()?;
        read_head(exchange, &response);
        let Ok(body) = response.into_body().collect().await else {
            exchange.cut = true;
            return None;
        };
        exchange.body = body.to_bytes();
        Some(())
    }
}

/// Copies the status and the headers of the response into `exchange`.
fn read_head<B>(exchange: &mut Exchange, response: &Response<B>) {
    exchange.status = response.status().as_u16();
    let header =
        |name: HeaderName| response.headers().get(&name).and_then(|value| value.to_str().ok());
    let stamps = header(PART_STAMPS).or(header(STAMP)).unwrap_or_default();
    exchange.stamps =
        stamps.split(", ").filter(|stamp| !stamp.is_empty()).map(Into::into).collect();
    exchange.missing_parts =
        header(MISSING_PARTS).and_then(|count| count.parse().ok()).unwrap_or(0);
    exchange.answer_id = header(REQUEST_ID).map(Into::into);
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (connection, task) = handshake(TokioIo::new(stream)).await.ok()?;
    // The task ends with the connection; the next request then finds the connection closed.
    tokio::spawn(async move { task.await.ok() });
    Some(connection)
}

/// Asks a host for the addresses that callers are told; returns `None` without an answer in time.
pub async fn lookup(directory: SocketAddr) -> Option<String> {
    let ask = async {
        let request = Request::get(RESOLVE).header("host", ROUTE_HOST).body(Empty::new()).ok()?;
        let response = connect(directory).await?.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        String::from_utf8(body.to_bytes().into()).ok()
    };
    tokio::time::timeout(LOOKUP_TIMEOUT, ask).await.ok().flatten()
}
