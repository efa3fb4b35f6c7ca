//! Answers to callers, and why they are what they are.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use table::{Limits, Route};

use crate::exchange::Reply;
use crate::server::Body;

/// An answer, and why it is what it is.
pub struct Outcome {
    /// The answer.
    pub response: Response<Body>,
    /// Why it is what it is, for the log.
    pub cause: &'static str,
    /// Route of the request, if it has one.
    pub route: Option<Arc<Route>>,
    /// Shards that it leaves out.
    pub missing: usize,
    /// What happened to parts without an answer.
    pub detail: String,
}

impl Outcome {
    /// Makes an answer of our own.
    pub fn own(status: StatusCode, retry_after: Option<Duration>, cause: &'static str) -> Self {
        let body = Full::new(Bytes::from_static(cause.as_bytes()));
        let response = platform::refusal(status, retry_after, body);
        Self { response, cause, route: None, missing: 0, detail: String::new() }
    }

    /// Passes an upstream's answer on.
    pub fn reply(mut reply: Reply) -> Self {
        platform::Answer::strip(&mut reply.headers);
        let mut response = Response::new(Full::new(reply.body));
        *response.status_mut() = reply.status;
        *response.headers_mut() = reply.headers;
        Self {
            response,
            cause: "answer of an upstream",
            route: None,
            missing: 0,
            detail: String::new(),
        }
    }
}

/// Reads a request's body within the limits.
///
/// # Errors
///
/// Returns the status and the cause of the answer to give when the body is too large, too slow or
/// breaks off.
pub async fn read_body(
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let whole = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "body broke off")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}
