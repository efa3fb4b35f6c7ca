//! Answers to callers.

use std::collections::BTreeMap;

use query::{Body, Outcome, Pin, Shard};
use serde::Serialize;
use serde_json::value::RawValue;

/// Coverage of an answer.
#[derive(Debug, Serialize)]
struct Coverage {
    covered: usize,
    total: usize,
    missing: Vec<Shard>,
}

/// Body of an answer with results.
#[derive(Debug, Serialize)]
struct ResultsBody<'a> {
    outcome: &'static str,
    request_id: &'a str,
    snapshot: u64,
    coverage: Coverage,
    results: Vec<&'a RawValue>,
}

/// Body of an answer without results.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    outcome: &'static str,
    request_id: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    entries: Vec<String>,
}

/// Status and body of an answer, and what is logged of it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) outcome: &'static str,
    pub(crate) cause: Box<str>,
    pub(crate) body: String,
}

/// Outcome name of an answer that covers every shard.
pub(crate) const COMPLETE: &str = "complete";

/// Returns the answer for an outcome.
pub(crate) fn answer(request_id: &str, outcome: &Outcome) -> Answer {
    match outcome {
        Outcome::Complete { pin, results } => with_results(request_id, *pin, results, &[]),
        Outcome::Partial { pin, results, missing } => {
            with_results(request_id, *pin, results, missing)
        }
        Outcome::NotRun(reason) => not_run(request_id, reason, Vec::new()),
        Outcome::Unknown(reason) => without_results(504, "unknown", request_id, reason, Vec::new()),
    }
}

/// Returns a "not run" answer, with the addresses of brokers that the caller should use instead.
pub(crate) fn not_run(request_id: &str, reason: &str, entries: Vec<String>) -> Answer {
    without_results(503, "not_run", request_id, reason, entries)
}

fn without_results(
    status: u16,
    outcome: &'static str,
    request_id: &str,
    reason: &str,
    entries: Vec<String>,
) -> Answer {
    let body = RefusalBody { outcome, request_id, reason, entries };
    Answer { status, outcome, cause: reason.into(), body: text(&body) }
}

fn with_results(
    request_id: &str,
    pin: Pin,
    results: &BTreeMap<Shard, Body>,
    missing: &[Shard],
) -> Answer {
    let mut missing = missing.to_vec();
    let mut merged = Vec::new();
    let mut covered = 0;
    for (shard, body) in results {
        // A shard whose results cannot be decoded counts as missing.
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
    let body = ResultsBody {
        outcome,
        request_id,
        snapshot: pin.snapshot,
        coverage: Coverage { covered, total, missing },
        results: merged,
    };
    Answer { status: 200, outcome, cause, body: text(&body) }
}

fn text(body: &impl Serialize) -> String {
    serde_json::to_string(body).expect("an answer can be encoded as JSON")
}
