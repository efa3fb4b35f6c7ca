//! Answers to callers.

use std::collections::BTreeMap;

use query::{Body, Outcome, Pin, Shard};
use serde::Serialize;
use serde_json::value::RawValue;

/// Shards that an answer covers.
#[derive(Debug, Serialize)]
struct Coverage {
    covered: usize,
    total: usize,
    missing: Vec<Shard>,
}

#[derive(Debug, Serialize)]
struct Found<'a> {
    outcome: &'static str,
    request_id: &'a str,
    snapshot: u64,
    coverage: Coverage,
    results: Vec<&'a RawValue>,
}

#[derive(Debug, Serialize)]
struct Refused<'a> {
    outcome: &'static str,
    request_id: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    entries: Vec<String>,
}

/// The status and body of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) outcome: &'static str,
    pub(crate) cause: Box<str>,
    pub(crate) body: String,
}

/// Outcome of an answer that covers every shard.
pub(crate) const COMPLETE: &str = "complete";

/// Makes the answer of an outcome.
pub(crate) fn answer(request_id: &str, outcome: &Outcome) -> Answer {
    match outcome {
        Outcome::Complete { pin, results } => found(request_id, *pin, results, &[]),
        Outcome::Partial { pin, results, missing } => found(request_id, *pin, results, missing),
        Outcome::NotRun(reason) => not_run(request_id, reason, Vec::new()),
        Outcome::Unknown(reason) => refused(504, "unknown", request_id, reason, Vec::new()),
    }
}

/// Makes an answer "not run", with addresses to ask instead.
pub(crate) fn not_run(request_id: &str, reason: &str, entries: Vec<String>) -> Answer {
    refused(503, "not_run", request_id, reason, entries)
}

fn refused(
    status: u16,
    outcome: &'static str,
    request_id: &str,
    reason: &str,
    entries: Vec<String>,
) -> Answer {
    let body = Refused { outcome, request_id, reason, entries };
    Answer { status, outcome, cause: reason.into(), body: text(&body) }
}

fn found(request_id: &str, pin: Pin, results: &BTreeMap<Shard, Body>, missing: &[Shard]) -> Answer {
    let mut missing = missing.to_vec();
    let mut merged = Vec::new();
    let mut covered = 0;
    for (shard, body) in results {
        // A shard whose results cannot be read is not covered.
        match serde_json::from_slice::<Vec<&RawValue>>(body) {
            Ok(records) => {
                covered += 1;
                merged.extend(records);
            }
            Err(_) => missing.push(*shard),
        }
    }
    missing.sort_unstable();
    let total = covered + missing.len();
    let outcome = if missing.is_empty() { COMPLETE } else { "partial" };
    let cause = if missing.is_empty() {
        Box::default()
    } else {
        format!("shards {missing:?} are missing").into()
    };
    let body = Found {
        outcome,
        request_id,
        snapshot: pin.snapshot,
        coverage: Coverage { covered, total, missing },
        results: merged,
    };
    Answer { status: 200, outcome, cause, body: text(&body) }
}

fn text(body: &impl Serialize) -> String {
    serde_json::to_string(body).expect("answers have text keys only")
}
