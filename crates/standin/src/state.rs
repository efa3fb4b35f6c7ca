//! The state of a stand-in upstream: its running requests, its warm-up, its shard and its faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use history::{Arrival, EventKind};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::recorder::Recorder;
use crate::upstream::Spec;

/// Number of answers after a silent reset to cold within which the system under test cannot have
/// detected the reset; an overload within these answers is no violation.
const MAX_UNDETECTED_ANSWERS: u32 = 6;

/// Minimum number of overloads of a cold upstream at which it crashes.
const MIN_CRASH_OVERLOADS: u32 = 4;

/// Time for which a crashed upstream refuses connections.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);

/// Time for which the previous snapshot can still be requested.
const SNAPSHOT_TTL: Duration = Duration::from_secs(3);

/// Service times of a stand-in upstream.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Minimum service time.
    pub base: Duration,
    /// Range of the uniformly distributed time that is added to `base`.
    pub spread: Duration,
    /// Number of requests in a thousand that take `tail` longer.
    pub tail_per_mille: u32,
    /// Additional time of a slow request.
    pub tail: Duration,
    /// Factor by which a cold upstream is slower.
    pub cold_factor: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(3),
            spread: Duration::from_millis(2),
            tail_per_mille: 4,
            tail: Duration::from_millis(25),
            cold_factor: 4,
        }
    }
}

/// Deliberate misbehavior of a stand-in upstream, to verify that the checker counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Answers carry the records of another snapshot.
    WrongSnapshot,
    /// Answers carry the records of another query.
    WrongQuery,
    /// Each request is recorded as run twice.
    DuplicateRun,
    /// Requests run and are then answered as shed.
    FalseShed,
    /// Arrivals are recorded as if the upstream were cold and other requests took all slots.
    OverstatedLoad,
    /// Answers carry the records of another shard.
    WrongShard,
}

/// Returns the record that a shard holds for a query.
///
/// Callers compute the same record to check answers.
pub fn record_of(service: &str, snapshot: u64, shard: u32, query: &[u8]) -> String {
    format!("{service}/{snapshot}/{shard}/{:016x}", xxh3_64(query))
}

/// Decision on a request at its arrival.
pub(crate) enum Admission {
    /// The request runs for the given time, unless the notification cancels it.
    Run(Duration, Arc<Notify>),
    /// The request is shed.
    Shed,
}

/// The mutable state of one upstream.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) shard: u32,
    pub(crate) shards: u32,
    pub(crate) snapshot: u64,
    /// Previous snapshot, and the time until which it is held.
    previous: Option<(u64, Instant)>,
    /// Process starts so far, reported to the system under test.
    pub(crate) boot: u64,
    /// Factor by which service times are longer; 1 is the usual speed.
    pub(crate) slowdown: u32,
    /// Number of open connections.
    pub(crate) connections: u32,
    /// Incremented at each restart, which closes all connections.
    pub(crate) generation: u64,
    /// Connections up to this number never answer again.
    pub(crate) silent_up_to: u64,
    /// Number of the connection opened last.
    pub(crate) opened: u64,
    pub(crate) misbehavior: Option<Misbehavior>,
    /// Request id and cancellation of each running request, by run number.
    running: BTreeMap<u64, (Box<str>, Arc<Notify>)>,
    last_run: u64,
    /// Answers until the upstream is warm.
    cold_left: u32,
    /// Answers since the warm-up was last set without a restart; `None` if the upstream has been
    /// started or restarted since.
    answers_since_reset: Option<u32>,
    /// Requests beyond `cold_slots` since the upstream turned cold.
    overloads: u32,
    pub(crate) down_until: Option<Instant>,
}

impl State {
    pub(crate) fn new(spec: &Spec) -> Self {
        Self {
            shard: spec.shard,
            shards: spec.shards,
            snapshot: 1,
            previous: None,
            boot: 1,
            slowdown: 1,
            connections: 0,
            generation: 0,
            silent_up_to: 0,
            opened: 0,
            misbehavior: None,
            running: BTreeMap::new(),
            last_run: 0,
            cold_left: spec.warm_up_answers,
            answers_since_reset: None,
            overloads: 0,
            down_until: None,
        }
    }

    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.cold_left > 0
    }

    pub(crate) fn busy(&self) -> usize {
        self.running.len()
    }

    /// Sets the number of answers until the upstream is warm, without a restart.
    pub(crate) fn set_warm_up(&mut self, answers: u32) {
        self.cold_left = answers;
        self.answers_since_reset = Some(0);
        self.overloads = 0;
    }

    /// Restarts the upstream: cancels all requests, refuses connections for `down`, and is cold for
    /// `warm_up` answers.
    pub(crate) fn restart(&mut self, now: Instant, down: Duration, warm_up: u32) {
        self.boot += 1;
        self.generation += 1;
        self.cold_left = warm_up;
        self.answers_since_reset = None;
        self.overloads = 0;
        for (_, cancel) in std::mem::take(&mut self.running).into_values() {
            cancel.notify_one();
        }
        self.down_until = Some(now + down);
    }

    /// Serves another snapshot and shard.
    ///
    /// The previous snapshot stays available for a while if the number of shards stays the same.
    pub(crate) fn assign(&mut self, now: Instant, snapshot: u64, shard: u32, shards: u32) {
        let same_count = shards == self.shards;
        self.previous = same_count.then_some((self.snapshot, now + SNAPSHOT_TTL));
        self.snapshot = snapshot;
        self.shard = shard;
        self.shards = shards;
    }

    /// Returns the snapshot to answer from: the requested one if it is still held, otherwise the
    /// current one.
    pub(crate) fn snapshot_for(&self, now: Instant, requested: Option<u64>) -> u64 {
        match self.previous {
            Some((held, until)) if requested == Some(held) && now < until => held,
            _ => self.snapshot,
        }
    }

    /// Records the arrival of a request and decides whether it runs.
    ///
    /// Returns the run number, 0 for a request that is shed, and the decision. `jitter` is a random
    /// number from which the service time is derived.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        spec: &Spec,
        request: &str,
        repeatable: bool,
        jitter: u32,
        recorder: &Recorder,
    ) -> (u64, Admission) {
        let overstate = self.misbehavior == Some(Misbehavior::OverstatedLoad);
        let busy = self.running.len() as u32 + 1;
        let just_turned_cold =
            self.answers_since_reset.is_some_and(|answers| answers < MAX_UNDETECTED_ANSWERS);
        recorder.record(EventKind::Arrived(Arrival {
            upstream: spec.id.clone(),
            domain: spec.domain.clone(),
            request: request.into(),
            repeatable,
            in_flight: if overstate { busy + spec.slots } else { busy },
            slots: spec.slots,
            cold_slots: (overstate || self.is_cold()).then_some(spec.cold_slots),
            just_turned_cold,
        }));
        if busy > spec.slots {
            return (0, Admission::Shed);
        }
        if self.is_cold() && busy > spec.cold_slots {
            self.overloads += 1;
            if self.overloads >= MIN_CRASH_OVERLOADS && !just_turned_cold {
                self.restart(now, CRASH_DOWNTIME, spec.warm_up_answers);
            }
            return (0, Admission::Shed);
        }
        if self.misbehavior == Some(Misbehavior::DuplicateRun) {
            recorder.record(EventKind::Ran { request: request.into(), repeatable });
        }
        recorder.record(EventKind::Ran { request: request.into(), repeatable });
        self.last_run += 1;
        let cancel = Arc::new(Notify::new());
        self.running.insert(self.last_run, (request.into(), cancel.clone()));
        (self.last_run, Admission::Run(self.service_time(spec, jitter), cancel))
    }

    fn service_time(&self, spec: &Spec, jitter: u32) -> Duration {
        let speed = spec.speed;
        let mut time = speed.base + speed.spread * (jitter % 1_000) / 1_000;
        if (jitter / 1_000) % 1_000 < speed.tail_per_mille {
            time += speed.tail;
        }
        let cold_factor = if self.is_cold() { speed.cold_factor } else { 1 };
        time * self.slowdown * cold_factor
    }

    /// Ends a run, unless a restart has ended it; an answer counts towards the warm-up.
    pub(crate) fn end(&mut self, run: u64, answered: bool) {
        if self.running.remove(&run).is_none() || !answered {
            return;
        }
        self.cold_left = self.cold_left.saturating_sub(1);
        if let Some(answers) = &mut self.answers_since_reset {
            *answers += 1;
        }
    }

    /// Cancels all runs of a request; returns whether there was one.
    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let mut found = false;
        for (id, cancel) in self.running.values() {
            if **id == *request {
                cancel.notify_one();
                found = true;
            }
        }
        found
    }
}
