//! Callers, which get the addresses of the brokers from the directory, cache the addresses for the
//! lifetime that the directory states, and connect to the brokers directly.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use history::{EventKind, Outcome};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;
use standin::{Recorder, record_of};

use crate::figures::Latencies;

/// Time after which a caller counts an answer as lost, longer than the deadlines of the services.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Cached addresses of the brokers.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    addresses: Vec<SocketAddr>,
    expires_at: Option<Instant>,
}

#[derive(Deserialize)]
struct DirectoryAnswer {
    entries: Vec<SocketAddr>,
    lifetime_ms: u64,
}

#[derive(Deserialize)]
struct Coverage {
    covered: u32,
    total: u32,
    missing: Vec<u32>,
}

#[derive(Deserialize)]
struct Record {
    record: String,
}

#[derive(Deserialize)]
struct Answer {
    outcome: String,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    snapshot: u64,
    coverage: Option<Coverage>,
    #[serde(default)]
    results: Vec<Record>,
    #[serde(default)]
    reason: String,
}

/// Statistics of the answers that the callers of one service got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Latencies of all requests that were not refused.
    pub(crate) latencies: Latencies,
    pub(crate) refusals: Latencies,
    pub(crate) requests: u64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) covered_shards: u64,
    pub(crate) requested_shards: u64,
    pub(crate) reasons: std::collections::BTreeMap<String, u64>,
}

impl Tally {
    pub(crate) fn merge(&mut self, other: &Self) {
        self.latencies.merge(&other.latencies);
        self.refusals.merge(&other.refusals);
        self.requests += other.requests;
        self.complete += other.complete;
        self.partial += other.partial;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.covered_shards += other.covered_shards;
        self.requested_shards += other.requested_shards;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
    }
}

/// The callers of one service, which share the directory and the connection pool.
pub(crate) struct Caller {
    pub(crate) service: Box<str>,
    pub(crate) shards: u32,
    /// Operation that must run at most once, which one request in ten names.
    pub(crate) once_operation: Option<Box<str>>,
    pub(crate) recorder: Recorder,
    pub(crate) client: reqwest::Client,
    pub(crate) directory: Arc<Mutex<Directory>>,
    /// Addresses that are asked for the directory when the cached ones do not answer.
    pub(crate) seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Statistics by phase of the run.
    pub(crate) tallies: Mutex<Vec<Tally>>,
    pub(crate) phase: Arc<std::sync::atomic::AtomicUsize>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    /// Updates the directory from the first address that answers.
    pub(crate) async fn refresh(&self) {
        let mut addresses = lock(&self.directory).addresses.clone();
        addresses.extend(lock(&self.seeds).iter());
        for address in addresses {
            let call = self.client.get(format!("http://{address}/v1/entries"));
            let answer = call.timeout(Duration::from_millis(500)).send().await;
            let Ok(answer) = answer else { continue };
            let Ok(listed) = answer.json::<DirectoryAnswer>().await else { continue };
            if listed.entries.is_empty() {
                continue;
            }
            let mut directory = lock(&self.directory);
            directory.addresses = listed.entries;
            directory.expires_at = Some(Instant::now() + Duration::from_millis(listed.lifetime_ms));
            return;
        }
    }

    /// Returns the address for a request number, or `None` if the directory is empty or expired.
    fn address(&self, number: u64) -> Option<SocketAddr> {
        let directory = lock(&self.directory);
        let fresh = directory.expires_at.is_some_and(|at| Instant::now() < at);
        if !fresh || directory.addresses.is_empty() {
            return None;
        }
        Some(directory.addresses[number as usize % directory.addresses.len()])
    }

    /// Sends one request and records its outcome.
    pub(crate) async fn search(&self, number: u64) {
        let operation = self.once_operation.as_ref().filter(|_| number % 10 == 3);
        let id = once::issue(SystemTime::now(), rand::rng().random());
        let body = match operation {
            Some(operation) => json!({ "query": id, "request_id": id, "operation": operation }),
            None => json!({ "query": id, "request_id": id }),
        };
        let mut address = self.address(number);
        if address.is_none() {
            self.refresh().await;
            address = self.address(number);
        }
        let Some(address) = address else { return };
        let shards = if operation.is_some() { 1 } else { self.shards };
        let outcome = self.send(address, &id, &body, shards, true).await;
        // A caller whose request was refused or whose answer was lost retries once with the same id
        // at another address.
        if operation.is_some()
            && outcome != Some(Outcome::Complete)
            && let Some(other) = self.address(number + 1)
        {
            self.send(other, &id, &body, shards, false).await;
        }
    }

    /// Sends one request to an address that is not in the directory.
    pub(crate) async fn search_at(&self, address: SocketAddr) {
        let id = once::issue(SystemTime::now(), rand::rng().random());
        let body = json!({ "query": id, "request_id": id });
        self.send(address, &id, &body, self.shards, false).await;
    }

    async fn send(
        &self,
        address: SocketAddr,
        id: &str,
        body: &serde_json::Value,
        shards: u32,
        first_attempt: bool,
    ) -> Option<Outcome> {
        self.recorder.record(EventKind::Sent(id.into()));
        let start = Instant::now();
        let url = format!("http://{address}/v1/search/{}", self.service);
        let call = self.client.post(url).json(body).timeout(ANSWER_TIMEOUT);
        let answer = match call.send().await {
            Ok(response) => response.json::<Answer>().await,
            Err(error) => Err(error),
        };
        let latency = start.elapsed();
        match answer {
            Ok(answer) => Some(self.record_answer(id, answer, latency, shards, first_attempt)),
            Err(error) if error.is_connect() => {
                // No request was sent; the directory is out of date.
                lock(&self.directory).expires_at = None;
                None
            }
            Err(_) => {
                self.recorder.record(EventKind::Aborted { request: id.into() });
                None
            }
        }
    }

    fn record_answer(
        &self,
        id: &str,
        answer: Answer,
        latency: Duration,
        shards: u32,
        first_attempt: bool,
    ) -> Outcome {
        let outcome = match answer.outcome.as_str() {
            "complete" => Outcome::Complete,
            "partial" => Outcome::Partial,
            "not_run" => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let results: Vec<(u64, u32)> =
            answer.results.iter().filter_map(|r| parse_record(&r.record)).collect();
        let results_match = answer.results.iter().all(|result| {
            parse_record(&result.record).is_some_and(|(snapshot, shard)| {
                result.record == record_of(&self.service, snapshot, shard, id.as_bytes())
            })
        });
        let coverage =
            answer.coverage.unwrap_or(Coverage { covered: 0, total: 0, missing: vec![] });
        if first_attempt {
            self.tally(outcome, latency, &coverage, shards, answer.reason);
        }
        let response_id = if answer.request_id.is_empty() { id.into() } else { answer.request_id };
        self.recorder.record(EventKind::Answered {
            request: id.into(),
            response_id: response_id.into(),
            outcome,
            snapshot: answer.snapshot,
            covered: coverage.covered,
            total: coverage.total,
            missing: coverage.missing,
            results,
            results_match,
        });
        outcome
    }

    /// Adds an answer to the statistics of the current phase.
    fn tally(
        &self,
        outcome: Outcome,
        latency: Duration,
        coverage: &Coverage,
        shards: u32,
        reason: String,
    ) {
        let phase = self.phase.load(std::sync::atomic::Ordering::Relaxed);
        let mut tallies = lock(&self.tallies);
        let tally = &mut tallies[phase];
        tally.requests += 1;
        if !reason.is_empty() {
            *tally.reasons.entry(reason).or_default() += 1;
        }
        let total = if coverage.total > 0 { coverage.total } else { shards };
        match outcome {
            Outcome::Complete => tally.complete += 1,
            Outcome::Partial => tally.partial += 1,
            Outcome::NotRun => {
                tally.not_run += 1;
                tally.refusals.record(latency);
                return;
            }
            Outcome::Unknown => tally.unknown += 1,
        }
        tally.latencies.record(latency);
        tally.covered_shards += u64::from(coverage.covered);
        tally.requested_shards += u64::from(total);
    }
}

/// Returns the snapshot and the shard that a record names.
fn parse_record(record: &str) -> Option<(u64, u32)> {
    let mut parts = record.split('/');
    let (_, snapshot, shard) = (parts.next()?, parts.next()?, parts.next()?);
    Some((snapshot.parse().ok()?, shard.parse().ok()?))
}
