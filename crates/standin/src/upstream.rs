//! A stand-in upstream for `pistachio-egress`, with an HTTP server of its own.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::recorder::Recorder;
use crate::state::{Admission, Misbehavior, Speed, State, record_of};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Identity and capacity of a stand-in upstream.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the upstream.
    pub id: Box<str>,
    /// Service that the upstream belongs to.
    pub service: Box<str>,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Shard that the upstream holds at its start.
    pub shard: u32,
    /// Number of shards of the service at the start.
    pub shards: u32,
    /// Requests that a warm upstream runs at a time.
    pub slots: u32,
    /// Maximum number of open connections; the upstream resets further ones.
    pub connections: u32,
    /// Time from the acceptance of a connection until its first request is read.
    pub connect_cost: Duration,
    /// Requests that a cold upstream runs at a time.
    pub cold_slots: u32,
    /// Answers after which a cold upstream is warm.
    pub warm_up_answers: u32,
    /// Operations that must run at most once.
    pub never_repeat: std::collections::BTreeSet<Box<str>>,
    /// Service times.
    pub speed: Speed,
}

struct Shared {
    spec: Spec,
    state: Mutex<State>,
    closing: Notify,
    recorder: Recorder,
    connections_opened: std::sync::atomic::AtomicU64,
}

/// A handle on a running stand-in upstream.
///
/// Clones refer to the same upstream, whose socket is closed when the runtime shuts down.
#[derive(Clone)]
pub struct Upstream {
    shared: Arc<Shared>,
    address: SocketAddr,
}

type Answer = Response<Full<Bytes>>;

impl Upstream {
    /// Starts an upstream that listens on `listen`, in which port 0 stands for a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(
        spec: Spec,
        listen: SocketAddr,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State::new(&spec));
        let opened = std::sync::atomic::AtomicU64::new(0);
        let closing = Notify::new();
        let shared = Shared { spec, state, closing, recorder, connections_opened: opened };
        let upstream = Self { shared: Arc::new(shared), address };
        tokio::spawn(upstream.clone().accept(listener));
        Ok(upstream)
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the identity and the capacity of the upstream, as given at its start.
    pub fn spec(&self) -> &Spec {
        &self.shared.spec
    }

    /// Returns the current shard and the number of shards.
    pub fn assignment(&self) -> (u32, u32) {
        let state = self.state();
        (state.shard, state.shards)
    }

    /// Makes requests take `factor` times as long from now on; 1 is the usual speed.
    pub fn set_slowdown(&self, factor: u32) {
        self.state().slowdown = factor;
    }

    /// Makes the upstream cold without a restart, so that the system under test is not told.
    pub fn reset_to_cold(&self) {
        let answers = self.shared.spec.warm_up_answers;
        self.state().set_warm_up(answers);
    }

    /// Makes the upstream warm, as after a long run.
    pub fn mark_warm(&self) {
        self.state().set_warm_up(0);
    }

    /// Closes all connections, refuses new ones for `down`, and is cold afterwards.
    pub fn restart(&self, down: Duration) {
        let answers = self.shared.spec.warm_up_answers;
        self.state().restart(Instant::now(), down, answers);
        self.shared.closing.notify_waiters();
    }

    /// Serves another snapshot, shard and number of shards from now on.
    pub fn assign(&self, snapshot: u64, shard: u32, shards: u32) {
        self.state().assign(Instant::now(), snapshot, shard, shards);
    }

    /// Makes all open connections stop answering for good; new connections work.
    pub fn silence_connections(&self) {
        let mut state = self.state();
        state.silent_up_to = state.opened;
    }

    /// Sets the misbehavior shown from now on, or `None` for correct behavior.
    pub fn set_misbehavior(&self, misbehavior: Option<Misbehavior>) {
        self.state().misbehavior = misbehavior;
    }

    /// Returns the number of connections accepted so far, without those that were reset.
    pub fn connections_opened(&self) -> u64 {
        self.shared.connections_opened.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = {
                let mut state = self.state();
                let full = state.connections >= self.shared.spec.connections;
                if full || state.is_down(Instant::now()) {
                    // Without linger, dropping the stream resets the connection at once.
                    let _ = stream.set_zero_linger();
                    continue;
                }
                state.connections += 1;
                state.opened += 1;
                state.opened
            };
            self.shared.connections_opened.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let upstream = self.clone();
            tokio::spawn(async move {
                upstream.serve_connection(stream, number).await;
                upstream.state().connections -= 1;
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream, number: u64) {
        tokio::time::sleep(self.shared.spec.connect_cost).await;
        let _ = stream.set_nodelay(true);
        let generation = self.state().generation;
        let service = service_fn(move |request| {
            let upstream = self.clone();
            async move { upstream.route(request, number).await }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let serving = http.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(serving);
        loop {
            let closing = self.shared.closing.notified();
            tokio::pin!(closing);
            closing.as_mut().enable();
            if self.state().generation != generation {
                return;
            }
            tokio::select! {
                _ = &mut serving => return,
                () = closing => {}
            }
        }
    }

    async fn route(self, request: Request<Incoming>, number: u64) -> Result<Answer, Infallible> {
        if number <= self.state().silent_up_to {
            std::future::pending::<()>().await;
        }
        let path = request.uri().path().to_string();
        let answer = match (request.method(), path.as_str()) {
            (&Method::POST, "/search") => self.search(request).await,
            (&Method::DELETE, path) => self.cancel(path.trim_start_matches("/search/")),
            (&Method::GET, "/load" | "/health") => self.load(),
            _ => answer(StatusCode::NOT_FOUND, Bytes::new()),
        };
        Ok(answer)
    }

    fn cancel(&self, request: &str) -> Answer {
        let found = self.state().cancel(request);
        let status = if found { StatusCode::OK } else { StatusCode::NOT_FOUND };
        answer(status, Bytes::new())
    }

    fn load(&self) -> Answer {
        let state = self.state();
        let body = serde_json::json!({
            "busy": state.busy(),
            "snapshot": state.snapshot,
            "shard": state.shard,
            "shards": state.shards,
            "boot": state.boot,
        });
        answer(StatusCode::OK, body.to_string().into())
    }

    async fn search(&self, request: Request<Incoming>) -> Answer {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
        };
        let id = header("x-request-id").unwrap_or_default();
        let operation = header("x-operation").unwrap_or_default();
        let requested = header("x-snapshot").and_then(|text| text.parse().ok());
        let deadline = header("x-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let Ok(body) = request.into_body().collect().await else {
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        self.run(&id, &operation, requested, deadline, &body.to_bytes()).await
    }

    async fn run(
        &self,
        id: &str,
        operation: &str,
        requested: Option<u64>,
        deadline: Duration,
        query: &[u8],
    ) -> Answer {
        let spec = &self.shared.spec;
        let repeatable = !spec.never_repeat.contains(operation);
        let jitter = rand::rng().random();
        let now = Instant::now();
        let (run, admission) =
            self.state().admit(now, spec, id, repeatable, jitter, &self.shared.recorder);
        let Admission::Run(time, cancel) = admission else {
            // The request may have been the one at which a cold upstream crashes.
            if self.state().is_down(now) {
                self.shared.closing.notify_waiters();
            }
            return shed();
        };
        // The guard ends the run also when this future is dropped with its connection.
        let mut guard = RunGuard { upstream: self, run, answered: false };
        tokio::select! {
            () = tokio::time::sleep(time.min(deadline)) => {}
            () = cancel.notified() => return answer(StatusCode::CONFLICT, Bytes::new()),
        }
        if time > deadline {
            return answer(StatusCode::GATEWAY_TIMEOUT, Bytes::new());
        }
        guard.answered = true;
        let state = self.state();
        if state.misbehavior == Some(Misbehavior::FalseShed) {
            return shed();
        }
        let snapshot = state.snapshot_for(now, requested);
        let record_snapshot = if state.misbehavior == Some(Misbehavior::WrongSnapshot) {
            snapshot + 1
        } else {
            snapshot
        };
        let shard =
            if state.misbehavior == Some(Misbehavior::WrongShard) { 0 } else { state.shard };
        let query = if state.misbehavior == Some(Misbehavior::WrongQuery) {
            b"another".as_slice()
        } else {
            query
        };
        let record = record_of(&spec.service, record_snapshot, shard, query);
        let body = serde_json::json!([{ "record": record }]).to_string();
        let response = Response::builder()
            .header("x-snapshot", snapshot)
            .header("x-shard", state.shard)
            .header("x-shards", state.shards)
            .header("x-boot", state.boot);
        drop(state);
        response.body(Full::new(body.into())).expect("the headers are valid")
    }
}

/// Ends the run when it is dropped.
struct RunGuard<'a> {
    upstream: &'a Upstream,
    run: u64,
    answered: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.upstream.state().end(self.run, self.answered);
    }
}

fn shed() -> Answer {
    let mut response = answer(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
    response.headers_mut().insert("x-shed", hyper::header::HeaderValue::from_static("1"));
    response
}

fn answer(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
