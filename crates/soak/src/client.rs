//! Clients that check every answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderName;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use platform::names::{DEADLINE, MISSING_PARTS, PART_STAMPS, REQUEST_ID, STAMP};
use tokio::net::TcpStream;

use crate::environment::HOST;

/// Time that a client waits for an answer; routes end after two seconds.
const PATIENCE: Duration = Duration::from_secs(4);

/// What was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The query over all shards.
    All,
    /// The request that must not run twice.
    Once,
    /// The route of a version of the configuration.
    Version(u64),
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id of the request.
    pub id: Box<str>,
    /// What was asked.
    pub kind: Kind,
    /// Index of the host.
    pub host: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer or the end came.
    pub ended: Instant,
    /// Status of the answer, 0 for none.
    pub status: u16,
    /// Signatures of the answer or of its parts.
    pub stamps: BTreeSet<Box<str>>,
    /// Number of shards that the answer leaves out.
    pub missing: usize,
    /// Id in the answer, if any.
    pub answered_id: Option<Box<str>>,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether an answer began and did not end.
    pub cut: bool,
}

/// A client that keeps its connection open until it breaks.
pub struct Client {
    host: usize,
    address: SocketAddr,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl Client {
    /// Creates a client of one host.
    pub fn new(host: usize, address: SocketAddr) -> Self {
        Self { host, address, connection: None }
    }

    /// Sends one request and takes its answer.
    pub async fn ask(&mut self, id: &str, kind: Kind) -> Record {
        let mut record = Record {
            id: id.into(),
            kind,
            host: self.host,
            sent: Instant::now(),
            ended: Instant::now(),
            status: 0,
            stamps: BTreeSet::new(),
            missing: 0,
            answered_id: None,
            body: Bytes::new(),
            cut: false,
        };
        let answered = tokio::time::timeout(PATIENCE, self.exchange(&mut record)).await;
        if answered != Ok(Some(())) {
            self.connection = None;
        }
        record.ended = Instant::now();
        record
    }

    async fn exchange(&mut self, record: &mut Record) -> Option<()> {
        let path = match record.kind {
            Kind::All => "/all/x".into(),
            Kind::Once => "/once/x".into(),
            Kind::Version(version) => format!("/v{version}/x"),
        };
        let request = Request::get(path)
            .header("host", HOST)
            .header(REQUEST_ID, &*record.id)
            .header(DEADLINE, "2500")
            .body(Empty::new())
            .ok()?;
        let mut kept = self.connection.take();
        if let Some(connection) = &mut kept
            && connection.ready().await.is_err()
        {
            kept = None;
        }
        let kept = match kept {
            Some(kept) => kept,
            None => connect(self.address).await?,
        };
        let connection = self.connection.insert(kept);
        let response = connection.send_request(request).await.ok()?;
        read(record, &response);
        let Ok(body) = response.into_body().collect().await else {
            record.cut = true;
            return None;
        };
        record.body = body.to_bytes();
        Some(())
    }
}

fn read<B>(record: &mut Record, response: &Response<B>) {
    record.status = response.status().as_u16();
    let text =
        |name: HeaderName| response.headers().get(&name).and_then(|value| value.to_str().ok());
    let stamps = text(PART_STAMPS).or(text(STAMP)).unwrap_or_default();
    record.stamps = stamps.split(", ").filter(|stamp| !stamp.is_empty()).map(Into::into).collect();
    record.missing = text(MISSING_PARTS).and_then(|count| count.parse().ok()).unwrap_or(0);
    record.answered_id = text(REQUEST_ID).map(Into::into);
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (connection, task) = handshake(TokioIo::new(stream)).await.ok()?;
    // The task ends with the connection, whose end the next request sees.
    tokio::spawn(async move { task.await.ok() });
    Some(connection)
}
