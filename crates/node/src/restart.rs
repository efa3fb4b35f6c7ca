//! Checks whether an upstream that was lost has restarted, and is cold.
//!
//! The entry of an upstream in the store tells of a restart, but late, or not at all while the store
//! is away. So an upstream that was lost gets no requests until its health check has stated for how
//! long it is cold; see "Upstreams that may have restarted" in `docs/design/platform.md`.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use platform::Health;
use tokio::time::timeout;

use crate::endpoint::Endpoint;
use crate::exchange::{Completion, connect, transfer};
use crate::metrics::Metrics;

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

/// Sends a health check to an upstream on a new connection. An upstream without a valid `path` for it
/// is only connected to.
pub async fn check(endpoint: &Endpoint, path: &str, metrics: &Metrics) -> Finding {
    metrics.restart_checks.inc();
    let context = &endpoint.context;
    context.isolation.borrow_mut().sent(Instant::now(), &endpoint.upstream.id);
    let Some(pooled) = connect(endpoint, metrics).await else { return Finding::Unreachable };
    context.record_answer(Instant::now());
    let Some(request) = request(endpoint, path) else {
        pooled.checkin(Instant::now(), None);
        return Finding::Unknown;
    };
    let id = HeaderValue::from_static("health");
    let mut status = StatusCode::OK;
    let answer = transfer(pooled, request, &id, &context.buffers, |head, _| status = head);
    let Ok(completion) = timeout(CHECK_TIMEOUT, answer).await else { return Finding::Unknown };
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
