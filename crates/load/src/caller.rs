//! Callers: they ask the directory, keep its answer for its lifetime, and connect themselves.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use history::{EventKind, Outcome};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;
use standin::{Recorder, record_of};

use crate::figures::Latencies;

/// Time beyond the deadline that a caller waits before it calls an answer lost.
const PATIENCE: Duration = Duration::from_secs(3);

/// Addresses of the tier, as the callers hold them.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    addresses: Vec<SocketAddr>,
    until: Option<Instant>,
}

#[derive(Deserialize)]
struct Listed {
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

/// What the callers of one service have seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) latencies: Latencies,
    pub(crate) refusals: Latencies,
    pub(crate) requests: u64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) covered: u64,
    pub(crate) asked: u64,
    pub(crate) reasons: std::collections::BTreeMap<String, u64>,
}

impl Tally {
    pub(crate) fn add(&mut self, other: &Self) {
        self.latencies.add(&other.latencies);
        self.refusals.add(&other.refusals);
        self.requests += other.requests;
        self.complete += other.complete;
        self.partial += other.partial;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.covered += other.covered;
        self.asked += other.asked;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
    }
}

/// The callers of one service.
pub(crate) struct Caller {
    pub(crate) service: Box<str>,
    pub(crate) shards: u32,
    /// Operation that must run at most once, asked for now and then.
    pub(crate) once: Option<Box<str>>,
    pub(crate) recorder: Recorder,
    pub(crate) client: reqwest::Client,
    pub(crate) entries: Arc<Mutex<Entries>>,
    pub(crate) seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Tallies by phase of the run.
    pub(crate) tallies: Mutex<Vec<Tally>>,
    pub(crate) phase: Arc<std::sync::atomic::AtomicUsize>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    /// Asks the directory of any address for fresh ones.
    pub(crate) async fn refresh(&self) {
        let mut known = lock(&self.entries).addresses.clone();
        known.extend(lock(&self.seeds).iter());
        for address in known {
            let call = self.client.get(format!("http://{address}/v1/entries"));
            let answer = call.timeout(Duration::from_millis(500)).send().await;
            let Ok(answer) = answer else { continue };
            let Ok(listed) = answer.json::<Listed>().await else { continue };
            if listed.entries.is_empty() {
                continue;
            }
            let mut entries = lock(&self.entries);
            entries.addresses = listed.entries;
            entries.until = Some(Instant::now() + Duration::from_millis(listed.lifetime_ms));
            return;
        }
    }

    fn address(&self, number: u64) -> Option<SocketAddr> {
        let entries = lock(&self.entries);
        let fresh = entries.until.is_some_and(|until| Instant::now() < until);
        if !fresh || entries.addresses.is_empty() {
            return None;
        }
        Some(entries.addresses[number as usize % entries.addresses.len()])
    }

    /// Sends one request and writes what came of it.
    pub(crate) async fn ask(&self, number: u64) {
        let once = self.once.as_ref().filter(|_| number % 10 == 3);
        let id = once::issue(SystemTime::now(), rand::rng().random());
        let body = match once {
            Some(operation) => json!({ "query": id, "request_id": id, "operation": operation }),
            None => json!({ "query": id, "request_id": id }),
        };
        let mut address = self.address(number);
        if address.is_none() {
            self.refresh().await;
            address = self.address(number);
        }
        let Some(address) = address else { return };
        let shards = if once.is_some() { 1 } else { self.shards };
        let answered = self.send(address, &id, &body, shards, true).await;
        // A caller that was refused or left in the dark sends the same id once more, elsewhere.
        if once.is_some()
            && answered != Some(Outcome::Complete)
            && let Some(other) = self.address(number + 1)
        {
            self.send(other, &id, &body, shards, false).await;
        }
    }

    /// Sends one request to an address that the directory has not named.
    pub(crate) async fn ask_at(&self, address: SocketAddr) {
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
        first: bool,
    ) -> Option<Outcome> {
        self.recorder.record(EventKind::Sent(id.into()));
        let start = Instant::now();
        let url = format!("http://{address}/v1/search/{}", self.service);
        let call = self.client.post(url).json(body).timeout(PATIENCE);
        let answer = match call.send().await {
            Ok(response) => response.json::<Answer>().await,
            Err(error) => Err(error),
        };
        let took = start.elapsed();
        match answer {
            Ok(answer) => Some(self.note(id, answer, took, shards, first)),
            Err(error) if error.is_connect() => {
                // Nothing was sent; the directory is asked anew.
                lock(&self.entries).until = None;
                None
            }
            Err(_) => {
                self.recorder.record(EventKind::Aborted { request: id.into() });
                None
            }
        }
    }

    fn note(&self, id: &str, answer: Answer, took: Duration, shards: u32, first: bool) -> Outcome {
        let outcome = match answer.outcome.as_str() {
            "complete" => Outcome::Complete,
            "partial" => Outcome::Partial,
            "not_run" => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let parsed: Vec<(u64, u32)> =
            answer.results.iter().filter_map(|r| place(&r.record)).collect();
        let own = answer.results.iter().all(|result| {
            place(&result.record).is_some_and(|(snapshot, shard)| {
                result.record == record_of(&self.service, snapshot, shard, id.as_bytes())
            })
        });
        let coverage =
            answer.coverage.unwrap_or(Coverage { covered: 0, total: 0, missing: vec![] });
        if first {
            self.count(outcome, took, &coverage, shards, answer.reason);
        }
        let names = if answer.request_id.is_empty() { id.into() } else { answer.request_id };
        self.recorder.record(EventKind::Answered {
            request: id.into(),
            response_id: names.into(),
            outcome,
            snapshot: answer.snapshot,
            covered: coverage.covered,
            total: coverage.total,
            missing: coverage.missing,
            results: parsed,
            results_match: own,
        });
        outcome
    }

    fn count(
        &self,
        outcome: Outcome,
        took: Duration,
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
                tally.refusals.record(took);
                return;
            }
            Outcome::Unknown => tally.unknown += 1,
        }
        tally.latencies.record(took);
        tally.covered += u64::from(coverage.covered);
        tally.asked += u64::from(total);
    }
}

/// Reads the snapshot and the shard from a record.
fn place(record: &str) -> Option<(u64, u32)> {
    let mut parts = record.split('/');
    let (_, snapshot, shard) = (parts.next()?, parts.next()?, parts.next()?);
    Some((snapshot.parse().ok()?, shard.parse().ok()?))
}
