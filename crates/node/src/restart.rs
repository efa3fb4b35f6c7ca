//! Checks whether an upstream has restarted, and is cold.
//!
//! The entry of an upstream in the store tells of a restart, but late, or not at all while the store
//! is away. So a process that may be another one than before gets no requests until its health check has
//! stated for how long it is cold; see "Upstreams that may have restarted" in `docs/design/platform.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use pick::Check;
use platform::Health;
use tokio::time::timeout;

use crate::endpoint::Endpoint;
use crate::exchange::{Completion, Identity, connect, transfer};
use crate::metrics::Metrics;
use crate::pool::PooledConnection;

/// Time limit of a health check, which waits for a slot of the upstream as requests do.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// What a check has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The upstream runs, and stays cold for the given time.
    Running(Duration),
    /// The upstream runs, but does not state whether it is cold.
    Unknown,
    /// The upstream has no room for the check.
    Busy,
    /// Another process has the address.
    Replaced,
    /// The upstream could not be reached.
    Unreachable,
}

/// Starts the checks that are due of those upstreams of a service that may have restarted.
pub fn start_checks(now: Instant, endpoints: &[Rc<Endpoint>], metrics: &Arc<Metrics>) {
    let is_out = |endpoint: &Rc<Endpoint>| endpoint.replaced.get() || endpoint.may_have_restarted();
    let all_out = endpoints.iter().all(is_out);
    for endpoint in endpoints.iter().filter(|endpoint| !endpoint.replaced.get()) {
        if endpoint.replica.borrow_mut().start_check(now, all_out) {
            tokio::task::spawn_local(check(Rc::clone(endpoint), Arc::clone(metrics)));
        }
    }
}

/// Checks a lost upstream on a new connection.
async fn check(endpoint: Rc<Endpoint>, metrics: Arc<Metrics>) {
    let running = Running(&endpoint);
    endpoint.context.isolation.borrow_mut().sent(Instant::now(), &endpoint.upstream.id);
    let finding = match connect(&endpoint, &metrics).await {
        Some(pooled) => ask(&endpoint, pooled, &metrics).await,
        None => Finding::Unreachable,
    };
    running.end(finding);
}

/// Checks the process at the other end of a connection, which must answer before it gets a request. The
/// connection returns to the pool. Returns `None` if a check is under way already.
pub async fn verify(
    endpoint: &Endpoint,
    pooled: PooledConnection,
    metrics: &Metrics,
) -> Option<Finding> {
    if !endpoint.replica.borrow_mut().begin_check() {
        pooled.checkin(Instant::now(), None);
        return None;
    }
    let running = Running(endpoint);
    let finding = ask(endpoint, pooled, metrics).await;
    running.end(finding);
    Some(finding)
}

/// A check under way. If it is dropped, another one can begin.
struct Running<'a>(&'a Endpoint);

impl Running<'_> {
    /// Records the result.
    fn end(self, finding: Finding) {
        let endpoint = self.0;
        let now = Instant::now();
        let warmup_left = match finding {
            Finding::Running(left) => left,
            // The upstream may have started just now.
            Finding::Unknown => endpoint.service().map_or(Duration::ZERO, |service| service.warmup),
            Finding::Replaced => {
                endpoint.replaced.set(true);
                Duration::ZERO
            }
            Finding::Busy => return endpoint.replica.borrow_mut().end_check(now, Check::Busy),
            Finding::Unreachable => {
                return endpoint.replica.borrow_mut().end_check(now, Check::Unreachable);
            }
        };
        let (upstream, warmup_ms) = (&*endpoint.upstream.id, warmup_left.as_millis() as u64);
        log::info!(upstream, finding:? = finding, warmup_ms; "checked whether an upstream has restarted");
        let cold = (!warmup_left.is_zero()).then(|| endpoint.cold_start(now + warmup_left));
        endpoint.replica.borrow_mut().end_check(now, Check::Running(cold));
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.replica.borrow_mut().abandon_check();
    }
}

/// Sends a health check. An upstream without a valid path for it is only connected to.
async fn ask(endpoint: &Endpoint, pooled: PooledConnection, metrics: &Metrics) -> Finding {
    metrics.restart_checks.inc();
    let context = &endpoint.context;
    let sent = Instant::now();
    context.record_answer(sent);
    let service = endpoint.service();
    let path = service.as_ref().map_or("", |service| &service.health_path);
    let Some(request) = request(endpoint, path) else {
        endpoint.record_check(sent);
        pooled.checkin(sent, None);
        return Finding::Unknown;
    };
    let id = HeaderValue::from_static("health");
    let mut status = StatusCode::OK;
    let (identity, buffers) = (Identity::Position, &context.buffers);
    let answer = transfer(pooled, request, &id, identity, buffers, |head, _| status = head);
    let answer = timeout(CHECK_TIMEOUT, answer).await;
    let finding = answer.map_or(Finding::Unknown, |answer| finding(endpoint, status, answer));
    if matches!(finding, Finding::Running(_) | Finding::Unknown) {
        endpoint.record_check(sent);
    }
    finding
}

fn finding(endpoint: &Endpoint, status: StatusCode, completion: Completion) -> Finding {
    let is_full =
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&status);
    match completion {
        Completion::Replied(reply) if status == StatusCode::OK => {
            let health = Health::read(&reply.headers);
            match health.upstream {
                Some(id) if id == endpoint.upstream.id => Finding::Running(health.warmup_left),
                Some(_) => Finding::Replaced,
                None => Finding::Unknown,
            }
        }
        Completion::Refused { replaced: true } => Finding::Replaced,
        Completion::Refused { replaced: false } if is_full => Finding::Busy,
        Completion::Unsent | Completion::Broken { .. } => Finding::Unreachable,
        _ => Finding::Unknown,
    }
}

/// Builds the request of a health check; `None` if there is no valid path for it.
fn request(endpoint: &Endpoint, path: &str) -> Option<Request<Full<Bytes>>> {
    if path.is_empty() {
        return None;
    }
    let mut request = Request::new(Full::default());
    match path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => {
            log::warn!(path, error:%; "path of a health check is invalid");
            return None;
        }
    }
    let host = HeaderValue::from_str(&endpoint.upstream.address.to_string());
    request.headers_mut().insert(HOST, host.expect("an address is a valid header value"));
    Some(request)
}
