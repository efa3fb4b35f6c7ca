//! A caller's request, read and checked.

use std::time::{Duration, SystemTime};

use rules::Rules;
use serde::Deserialize;

/// Longest body of a request.
pub(crate) const MAX_BODY: usize = 64 * 1024;

/// Longest request id.
const MAX_ID: usize = 128;

/// The body of `POST /v1/search/{service}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    query: String,
    request_id: Option<String>,
    deadline_ms: Option<i64>,
    operation: Option<String>,
}

/// A request that can be run.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: Box<str>,
    /// Whether this broker made the id, so that nobody can have used it before.
    pub(crate) own_id: bool,
    pub(crate) service: Box<str>,
    pub(crate) operation: Box<str>,
    pub(crate) query: Vec<u8>,
    pub(crate) deadline: Duration,
    pub(crate) repeatable: bool,
    pub(crate) trace: Box<str>,
}

/// Why a request is refused for its form: the status, and what was expected.
#[derive(Debug)]
pub(crate) struct Fault {
    pub(crate) status: u16,
    pub(crate) message: String,
}

fn fault<T>(status: u16, message: String) -> Result<T, Fault> {
    Err(Fault { status, message })
}

/// Reads a request.
pub(crate) fn read(
    now: SystemTime,
    rules: &Rules,
    service: &str,
    body: &[u8],
    trace: Option<&str>,
) -> Result<Request, Fault> {
    let Some(rule) = rules.services.get(service) else {
        return fault(404, format!("service \"{service}\" does not exist"));
    };
    let body: Body = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return fault(400, format!("the body is not a search: {error}")),
    };
    let operation = body.operation.unwrap_or_else(|| "search".into());
    if !is_name(&operation) {
        return fault(422, format!("operation \"{operation}\" is not 1 to 64 of a-z, 0-9 and -"));
    }
    let repeatable = rule.is_repeatable(&operation);
    let deadline = deadline(rule, body.deadline_ms)?;
    let own_id = body.request_id.is_none();
    let id = body.request_id.unwrap_or_else(|| once::issue(now, rand::random()));
    let is_legal = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(is_legal) {
        return fault(422, format!("request_id \"{id}\" is not 1 to {MAX_ID} of a-z, 0-9, -_."));
    }
    if !repeatable && once::issued_at(&id).is_none() {
        let expected = "expected MILLISECONDS-NONCE, since the operation must run at most once";
        return fault(422, format!("request_id \"{id}\" carries no time of issue; {expected}"));
    }
    Ok(Request {
        id: id.into(),
        own_id,
        service: service.into(),
        operation: operation.into(),
        query: body.query.into_bytes(),
        deadline,
        repeatable,
        trace: next_span(trace).into(),
    })
}

fn deadline(rule: &rules::Service, asked: Option<i64>) -> Result<Duration, Fault> {
    let Some(asked) = asked else { return Ok(rule.default_deadline) };
    let most = rule.max_deadline.as_millis();
    match u64::try_from(asked) {
        Ok(ms) if ms > 0 && u128::from(ms) <= most => Ok(Duration::from_millis(ms)),
        _ => fault(422, format!("deadline_ms {asked} is out of range; expected 1 to {most}")),
    }
}

fn is_name(text: &str) -> bool {
    let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty() && text.len() <= 64 && text.chars().all(legal)
}

/// Returns the W3C `traceparent` of this hop: the caller's trace, or a new one, and a new span.
fn next_span(trace: Option<&str>) -> String {
    let given = trace.and_then(|text| {
        let parts: Vec<&str> = text.split('-').collect();
        let hex = |part: &str, length| {
            part.len() == length && part.bytes().all(|b| b.is_ascii_hexdigit())
        };
        let legal = parts.len() == 4 && hex(parts[1], 32) && hex(parts[2], 16);
        legal.then(|| parts[1].to_string())
    });
    let trace = given.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    format!("00-{trace}-{:016x}-01", rand::random::<u64>())
}
