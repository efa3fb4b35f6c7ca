//! What an upstream stand-in is busy with, bears, and answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use history::{EventKind, Work};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::recorder::Recorder;
use crate::upstream::Spec;

/// Answers after a silent return to cold by which nobody can have noticed it.
const HANDFUL: u32 = 6;

/// Overloads of a cold upstream after which it falls over.
const FALL_OVER: u32 = 4;

/// Time for which a fallen upstream refuses connections.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Time for which the snapshot before the current one can still be asked for.
const RETENTION: Duration = Duration::from_secs(3);

/// How fast an upstream stand-in works.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Shortest service time.
    pub base: Duration,
    /// Spread above the shortest time.
    pub spread: Duration,
    /// Requests in a thousand that take `tail` longer.
    pub tail_per_mille: u32,
    /// What those take longer.
    pub tail: Duration,
    /// Factor in a cold start.
    pub cold: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(3),
            spread: Duration::from_millis(2),
            tail_per_mille: 4,
            tail: Duration::from_millis(25),
            cold: 4,
        }
    }
}

/// A violation that a stand-in commits on demand, so that its count is seen to rise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Answers carry another snapshot's records.
    WrongSnapshot,
    /// Answers carry another query's records.
    WrongQuery,
    /// Work is run twice.
    DuplicateRun,
    /// Work is run and then shed as if it had not been.
    FalseShed,
    /// Arrivals are written as if two more requests were there already, of a cold upstream.
    OverstatedLoad,
    /// Answers carry another shard's records.
    WrongShard,
}

/// Returns the record that a shard holds for a query, which callers can work out as well.
pub fn record_of(service: &str, snapshot: u64, shard: u32, query: &[u8]) -> String {
    format!("{service}/{snapshot}/{shard}/{:016x}", xxh3_64(query))
}

/// What becomes of a request on its arrival.
pub(crate) enum Arrival {
    /// It runs, for the time given unless it is cancelled.
    Run(Duration, Arc<Notify>),
    /// It is shed.
    Shed,
}

/// The inner state of one upstream.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) shard: u32,
    pub(crate) shards: u32,
    pub(crate) snapshot: u64,
    previous: Option<(u64, Instant)>,
    pub(crate) boot: u64,
    pub(crate) slow: u32,
    pub(crate) connections: u32,
    /// Grows whenever all connections are closed at once.
    pub(crate) life: u64,
    /// Connections opened before this number of connections are silent for good.
    pub(crate) mute_below: u64,
    pub(crate) opened: u64,
    pub(crate) breaks: Option<Violation>,
    running: BTreeMap<u64, (Box<str>, Arc<Notify>)>,
    next_run: u64,
    cold_left: u32,
    silent_answers: Option<u32>,
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
            slow: 1,
            connections: 0,
            life: 0,
            mute_below: 0,
            opened: 0,
            breaks: None,
            running: BTreeMap::new(),
            next_run: 0,
            cold_left: spec.warm_up_answers,
            silent_answers: None,
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

    /// Turns cold in place, without a new process life.
    pub(crate) fn reset_to_cold(&mut self, work: u32) {
        self.cold_left = work;
        self.silent_answers = Some(0);
        self.overloads = 0;
    }

    /// Starts a new process life.
    pub(crate) fn restart(&mut self, now: Instant, down: Duration, work: u32) {
        self.boot += 1;
        self.life += 1;
        self.cold_left = work;
        self.silent_answers = None;
        self.overloads = 0;
        for (_, cancel) in std::mem::take(&mut self.running).into_values() {
            cancel.notify_one();
        }
        self.down_until = Some(now + down);
    }

    pub(crate) fn assign(&mut self, now: Instant, snapshot: u64, shard: u32, shards: u32) {
        let same_map = shards == self.shards;
        self.previous = same_map.then_some((self.snapshot, now + RETENTION));
        self.snapshot = snapshot;
        self.shard = shard;
        self.shards = shards;
    }

    /// Returns the snapshot to answer from, as asked where it is still held.
    pub(crate) fn snapshot_for(&self, now: Instant, asked: Option<u64>) -> u64 {
        match self.previous {
            Some((held, until)) if asked == Some(held) && now < until => held,
            _ => self.snapshot,
        }
    }

    pub(crate) fn arrive(
        &mut self,
        now: Instant,
        spec: &Spec,
        request: &str,
        repeatable: bool,
        jitter: u32,
        recorder: &Recorder,
    ) -> (u64, Arrival) {
        let crowd = self.breaks == Some(Violation::OverstatedLoad);
        let busy = self.running.len() as u32 + 1;
        let just_turned_cold = self.silent_answers.is_some_and(|answers| answers < HANDFUL);
        recorder.record(EventKind::Arrived(Work {
            upstream: spec.id.clone(),
            domain: spec.domain.clone(),
            request: request.into(),
            repeatable,
            in_flight: if crowd { busy + spec.slots } else { busy },
            slots: spec.slots,
            cold_slots: (crowd || self.is_cold()).then_some(spec.cold_slots),
            just_turned_cold,
        }));
        if busy > spec.slots {
            return (0, Arrival::Shed);
        }
        if self.is_cold() && busy > spec.cold_slots {
            self.overloads += 1;
            if self.overloads >= FALL_OVER && !just_turned_cold {
                self.restart(now, DOWN_TIME, spec.warm_up_answers);
            }
            return (0, Arrival::Shed);
        }
        if self.breaks == Some(Violation::DuplicateRun) {
            recorder.record(EventKind::Ran { request: request.into(), repeatable });
        }
        recorder.record(EventKind::Ran { request: request.into(), repeatable });
        self.next_run += 1;
        let cancel = Arc::new(Notify::new());
        self.running.insert(self.next_run, (request.into(), cancel.clone()));
        (self.next_run, Arrival::Run(self.time(spec, jitter), cancel))
    }

    fn time(&self, spec: &Spec, jitter: u32) -> Duration {
        let speed = spec.speed;
        let mut time = speed.base + speed.spread * (jitter % 1_000) / 1_000;
        if (jitter / 1_000) % 1_000 < speed.tail_per_mille {
            time += speed.tail;
        }
        let cold = if self.is_cold() { speed.cold } else { 1 };
        time * self.slow * cold
    }

    pub(crate) fn end(&mut self, run: u64, answered: bool) {
        if self.running.remove(&run).is_none() || !answered {
            return;
        }
        self.cold_left = self.cold_left.saturating_sub(1);
        if let Some(answers) = &mut self.silent_answers {
            *answers += 1;
        }
    }

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
