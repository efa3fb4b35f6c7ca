//! Answers to callers and their causes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use table::{Limits, Route};

use crate::exchange::Reply;
use crate::server::Body;

/// An answer to a caller with details for the log.
pub struct Outcome {
    /// The answer that the caller gets.
    pub response: Response<Body>,
    /// Cause of the answer, for the log.
    pub cause: &'static str,
    /// Route of the request, if one was found.
    pub route: Option<Arc<Route>>,
    /// Number of shards that are missing in the answer.
    pub missing: usize,
    /// Description of the parts without an answer, for the log.
    pub detail: String,
}

impl Outcome {
    /// Creates an error answer of this host, whose body is `cause`. Callers may retry after
    /// `retry_after`.
    pub fn error(status: StatusCode, retry_after: Option<Duration>, cause: &'static str) -> Self {
        let body = Full::new(Bytes::from_static(cause.as_bytes()));
        let response = platform::error_response(status, retry_after, body);
        Self { response, cause, route: None, missing: 0, detail: String::new() }
    }

    /// Creates an answer from an upstream's answer, without the headers that concern only the
    /// connection to the upstream or describe the load of the upstream.
    pub fn from_reply(mut reply: Reply) -> Self {
        platform::Answer::strip(&mut reply.headers);
        let mut response = Response::new(Full::new(reply.body));
        *response.status_mut() = reply.status;
        *response.headers_mut() = reply.headers;
        Self {
            response,
            cause: "upstream answered",
            route: None,
            missing: 0,
            detail: String::new(),
        }
    }
}

/// Reads the body of a request within the limits on size and time.
///
/// # Errors
///
/// Returns the status and the cause of the answer to send when the body is too large, arrives too
/// slowly or is incomplete.
pub async fn read_body(
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "body broke off")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}
