//! Parsing and validation of a request.

use std::time::{Duration, SystemTime};

use rules::Rules;
use serde::Deserialize;

/// Maximum length of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;

/// The body of `POST /v1/search/{service}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    query: String,
    request_id: Option<String>,
    deadline_ms: Option<i64>,
    operation: Option<String>,
}

/// A valid request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: Box<str>,
    /// Whether this broker created the id, so that no earlier attempt can have used it.
    pub(crate) own_id: bool,
    pub(crate) service: Box<str>,
    pub(crate) operation: Box<str>,
    pub(crate) query_text: Vec<u8>,
    /// Time from the arrival of the request in which the caller expects the answer.
    pub(crate) deadline: Duration,
    /// Whether the operation may run more than once.
    pub(crate) repeatable: bool,
    /// W3C `traceparent` to send to the egresses.
    pub(crate) trace: Box<str>,
}

/// Reason why a request is malformed: the HTTP status, and a message that says what was expected.
#[derive(Debug)]
pub(crate) struct Error {
    pub(crate) status: u16,
    pub(crate) message: String,
}

fn reject<T>(status: u16, message: String) -> Result<T, Error> {
    Err(Error { status, message })
}

/// Parses and validates a request.
///
/// # Errors
///
/// Fails if the service does not exist or a field of the body is malformed.
pub(crate) fn parse(
    now: SystemTime,
    rules: &Rules,
    service: &str,
    body: &[u8],
    trace: Option<&str>,
) -> Result<Request, Error> {
    let Some(rule) = rules.services.get(service) else {
        return reject(404, format!("service \"{service}\" does not exist"));
    };
    let body: Body = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return reject(400, format!("the body is not a search: {error}")),
    };
    let operation = body.operation.unwrap_or_else(|| "search".into());
    if !is_name(&operation) {
        return reject(422, format!("operation \"{operation}\" is not 1 to 64 of a-z, 0-9 and -"));
    }
    let repeatable = rule.is_repeatable(&operation);
    let deadline = deadline(rule, body.deadline_ms)?;
    let own_id = body.request_id.is_none();
    let id = body.request_id.unwrap_or_else(|| once::issue(now, rand::random()));
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(is_allowed) {
        return reject(
            422,
            format!("request_id \"{id}\" is not 1 to {MAX_ID_BYTES} of a-z, 0-9, -_."),
        );
    }
    if !repeatable && once::issued_at(&id).is_none() {
        let expected = "expected MILLISECONDS-NONCE, since the operation must run at most once";
        return reject(422, format!("request_id \"{id}\" carries no time of issue; {expected}"));
    }
    Ok(Request {
        id: id.into(),
        own_id,
        service: service.into(),
        operation: operation.into(),
        query_text: body.query.into_bytes(),
        deadline,
        repeatable,
        trace: next_span(trace).into(),
    })
}

/// Returns the requested deadline if it is allowed, or the default deadline of the service.
fn deadline(rule: &rules::Service, requested: Option<i64>) -> Result<Duration, Error> {
    let Some(requested) = requested else { return Ok(rule.default_deadline) };
    let max = rule.max_deadline.as_millis();
    match u64::try_from(requested) {
        Ok(ms) if ms > 0 && u128::from(ms) <= max => Ok(Duration::from_millis(ms)),
        _ => reject(422, format!("deadline_ms {requested} is out of range; expected 1 to {max}")),
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed)
}

/// Returns the W3C `traceparent` for the calls of this broker: the trace of the caller, or a new
/// trace if the caller sent none, with a new span.
fn next_span(trace: Option<&str>) -> String {
    let trace_id = trace.and_then(|text| {
        let parts: Vec<&str> = text.split('-').collect();
        let hex = |part: &str, length| {
            part.len() == length && part.bytes().all(|b| b.is_ascii_hexdigit())
        };
        let is_valid = parts.len() == 4 && hex(parts[1], 32) && hex(parts[2], 16);
        is_valid.then(|| parts[1].to_string())
    });
    let trace = trace_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    format!("00-{trace}-{:016x}-01", rand::random::<u64>())
}
