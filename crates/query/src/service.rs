//! The upstreams of one service, and the choice among them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hedge::{Delay, TokenBudget};

/// Name of an upstream.
pub type UpstreamId = Box<str>;

/// Number of a shard, counted from 0.
pub type Shard = u32;

/// Version of an index; a newer version has a greater number.
pub type Snapshot = u64;

/// Latency that is assumed for an upstream before its first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);

/// Weight of a new sample in the exponentially weighted average latency of an upstream.
const LATENCY_WEIGHT: f64 = 0.2;

/// Half-life of an average latency without new samples, so that a slow upstream is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Factor on the cost of an upstream outside the failure domain of the broker.
const REMOTE_COST_FACTOR: f64 = 1.2;

/// Factor on the cost of an upstream that is warming.
const WARMING_COST_FACTOR: f64 = 1.5;

/// Factor on the cost of a cold upstream. Other things being equal, it is chosen only when the
/// warm replicas cost this many times as much.
const COLD_COST_FACTOR: f64 = 4.0;

/// Time after a refusal by its owner for which an upstream is chosen only after the other
/// candidates on the same snapshot. Candidates last seen at another snapshot come later still.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);

/// Warm-up phase of an upstream after a cold start, as its owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The upstream takes requests on all of its slots.
    Warm,
    /// The upstream takes requests on some of its slots.
    Warming,
    /// The upstream takes only the requests that the cold limit allows.
    Cold,
}

/// An upstream that can take a part now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Host that owns the upstream.
    pub owner: Box<str>,
    /// Shard that the upstream holds.
    pub shard: Shard,
    /// Number of shards of the index that the upstream serves.
    pub shards: u32,
    /// Snapshot that the upstream was last seen to serve.
    pub snapshot: Snapshot,
    /// Warm-up phase.
    pub phase: Phase,
    /// Whether the upstream is in the failure domain of the broker.
    pub local: bool,
}

/// The snapshot that all answers of one search must come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pin {
    /// Version of the index.
    pub snapshot: Snapshot,
    /// Number of shards of that version.
    pub shards: u32,
}

/// Features that experiments can switch off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether stragglers are hedged, slow upstreams avoided and extra attempts limited.
    pub hedging: bool,
    /// Whether upstreams that are not warm get fewer parts.
    pub slow_start: bool,
    /// Whether answers of another snapshot are dropped.
    pub pin_snapshot: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self { hedging: true, slow_start: true, pin_snapshot: true }
    }
}

impl Policy {
    /// Returns the baseline of experiments, with every feature off.
    pub fn baseline() -> Self {
        Self { hedging: false, slow_start: false, pin_snapshot: false }
    }
}

/// Measurements of one upstream.
#[derive(Clone, Debug, Default)]
struct Stats {
    /// Average latency in seconds, and the time of the last sample.
    latency: Option<(f64, Instant)>,
    in_flight: u32,
    last_refusal: Option<Instant>,
}

/// The state that a broker keeps of one service: candidates, measurements and attempt budget.
#[derive(Debug)]
pub struct Service {
    pub(crate) policy: Policy,
    pub(crate) hedge_delay: Delay,
    pub(crate) budget: TokenBudget,
    candidates: BTreeMap<UpstreamId, Candidate>,
    stats: BTreeMap<UpstreamId, Stats>,
}

impl Service {
    /// Creates a service without candidates.
    pub fn new(policy: Policy) -> Self {
        let budget = if policy.hedging { TokenBudget::default() } else { TokenBudget::unlimited() };
        Self {
            policy,
            hedge_delay: Delay::default(),
            budget,
            candidates: BTreeMap::new(),
            stats: BTreeMap::new(),
        }
    }

    /// Replaces the candidates by the upstreams that their owners report as ready.
    ///
    /// Measurements of other upstreams are dropped once those have no parts in flight.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let candidates = candidates.into_iter().map(|c| (c.upstream.clone(), c));
        self.candidates = candidates.collect();
        let known = &self.candidates;
        self.stats.retain(|upstream, stats| known.contains_key(upstream) || stats.in_flight > 0);
    }

    /// Returns the candidates, sorted by name.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Chooses the snapshot of a new search: the one with the greatest fraction of its shards
    /// available, and the newest of several equal ones.
    ///
    /// Returns `None` without candidates.
    pub(crate) fn best_pin(&self) -> Option<Pin> {
        let mut covered: BTreeMap<Pin, Vec<Shard>> = BTreeMap::new();
        for candidate in self.candidates.values() {
            let pin = Pin { snapshot: candidate.snapshot, shards: candidate.shards };
            covered.entry(pin).or_default().push(candidate.shard);
        }
        let covered_ratio = |pin: &Pin, mut shards: Vec<Shard>| {
            shards.sort_unstable();
            shards.dedup();
            shards.len() as f64 / f64::from(pin.shards.max(1))
        };
        let ratios = covered.into_iter().map(|(pin, shards)| (covered_ratio(&pin, shards), pin));
        ratios.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, pin)| pin)
    }

    /// Returns the newest snapshot that a candidate was seen to serve.
    pub(crate) fn newest_pin(&self) -> Option<Pin> {
        let candidates = self.candidates.values();
        candidates.map(|c| Pin { snapshot: c.snapshot, shards: c.shards }).max()
    }

    /// Returns the candidate with the lowest cost for a shard, leaving out those in `tried`.
    ///
    /// Candidates whose owner refused a part within the backoff come after those of the same
    /// snapshot; candidates last seen at another snapshot come after all others.
    pub(crate) fn choose(
        &self,
        now: Instant,
        pin: Pin,
        shard: Shard,
        tried: &[UpstreamId],
        seed: u64,
    ) -> Option<&Candidate> {
        let candidates = self.candidates_for(pin, shard).filter(|c| !tried.contains(&c.upstream));
        candidates.min_by(|a, b| {
            let other = |c: &Candidate| self.policy.pin_snapshot && c.snapshot != pin.snapshot;
            let (x, y) = (self.cost(now, a, seed), self.cost(now, b, seed));
            other(a).cmp(&other(b)).then(x.0.cmp(&y.0)).then(x.1.total_cmp(&y.1))
        })
    }

    /// Returns an idle candidate that is not warm yet and can take a copy of a part.
    pub(crate) fn warmup_candidate(
        &self,
        pin: Pin,
        shard: Shard,
        tried: &[UpstreamId],
    ) -> Option<&Candidate> {
        let candidates = self.candidates_for(pin, shard).filter(|c| !tried.contains(&c.upstream));
        let idle =
            |upstream: &UpstreamId| self.stats.get(upstream).is_none_or(|s| s.in_flight == 0);
        candidates
            .filter(|c| c.phase != Phase::Warm && c.snapshot == pin.snapshot)
            .find(|c| idle(&c.upstream))
    }

    /// Returns the candidates for a shard.
    ///
    /// A candidate last seen at another snapshot is included: it may have switched since, or may
    /// still hold the requested snapshot.
    fn candidates_for(&self, pin: Pin, shard: Shard) -> impl Iterator<Item = &Candidate> {
        self.candidates.values().filter(move |c| c.shard == shard && c.shards == pin.shards)
    }

    /// Returns whether the owner refused a part within the backoff, and the selection cost of the
    /// candidate: its average latency in seconds, weighted by load, distance and phase.
    ///
    /// A candidate without measurements is weighted by phase only. Without hedging, the cost is the
    /// jitter alone, and no refusal counts.
    fn cost(&self, now: Instant, candidate: &Candidate, seed: u64) -> (bool, f64) {
        // Jitter of up to 25 % that differs by search balances the load of equal upstreams.
        let jitter = 1.0 + (seeded_hash(seed, &candidate.upstream) % 1_000) as f64 / 4_000.0;
        if !self.policy.hedging {
            return (false, jitter);
        }
        let phase = match candidate.phase {
            Phase::Warming if self.policy.slow_start => WARMING_COST_FACTOR,
            Phase::Cold if self.policy.slow_start => COLD_COST_FACTOR,
            _ => 1.0,
        };
        let Some(stats) = self.stats.get(&candidate.upstream) else {
            return (false, INITIAL_LATENCY.as_secs_f64() * phase * jitter);
        };
        let refused = stats.last_refusal.is_some_and(|at| now < at + REFUSAL_BACKOFF);
        let distance = if candidate.local { 1.0 } else { REMOTE_COST_FACTOR };
        let latency = stats.latency.map_or(INITIAL_LATENCY.as_secs_f64(), |(latency, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            latency * 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64())
        });
        let load = f64::from(stats.in_flight + 1);
        (refused, latency * load * distance * phase * jitter)
    }

    /// Records that an attempt was sent to `upstream`.
    pub(crate) fn record_sent(&mut self, upstream: &str) {
        self.stats.entry(upstream.into()).or_default().in_flight += 1;
    }

    /// Records the end of an attempt.
    ///
    /// `latency` is the time to the answer, or a lower bound of it; `None` adds no sample.
    pub(crate) fn record_end(&mut self, now: Instant, upstream: &str, latency: Option<Duration>) {
        let Some(stats) = self.stats.get_mut(upstream) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        let Some(latency) = latency else { return };
        let new = latency.as_secs_f64();
        let old = stats.latency.map_or(new, |(old, _)| old);
        stats.latency = Some((old + LATENCY_WEIGHT * (new - old), now));
    }

    /// Records that the owner refused a part for `upstream`.
    pub(crate) fn record_refusal(&mut self, now: Instant, upstream: &str) {
        self.stats.entry(upstream.into()).or_default().last_refusal = Some(now);
    }

    /// Updates a candidate from an answer, before the owner reports the change.
    ///
    /// Answers of a snapshot older than the known one are ignored.
    pub(crate) fn update_candidate(
        &mut self,
        upstream: &str,
        snapshot: Snapshot,
        shard: Shard,
        shards: u32,
    ) {
        if let Some(candidate) = self.candidates.get_mut(upstream)
            && snapshot >= candidate.snapshot
        {
            candidate.snapshot = snapshot;
            candidate.shard = shard;
            candidate.shards = shards;
        }
    }
}

/// Hashes a name with the seed of a search (FNV-1a steps; needs no cryptographic strength).
fn seeded_hash(seed: u64, name: &str) -> u64 {
    let start = seed ^ 0x9e37_79b9_7f4a_7c15;
    name.bytes().fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
        >> 16
}
