//! What a broker knows of one service's upstreams.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hedge::{Delay, TokenBudget};

/// Name of an upstream.
pub type UpstreamId = Box<str>;

/// Number of a shard, counted from 0.
pub type Shard = u32;

/// Version of an index; a newer one has a greater number.
pub type Snapshot = u64;

/// Latency assumed for an upstream that has not answered yet.
const FIRST_LATENCY: Duration = Duration::from_millis(5);

/// Weight of a new latency in an upstream's average.
const WEIGHT: f64 = 0.2;

/// Time after which an average counts half, so that a straggler is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Factor on the score of an upstream in another failure domain than the broker's.
const FAR: f64 = 1.2;

/// Factor on the score of an upstream that is warming.
const WARMING: f64 = 1.5;

/// Factor on the score of a cold upstream: it takes over only when the warm ones are that loaded.
const COLD: f64 = 4.0;

/// Time for which an owner's refusal makes its upstream the last choice.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// How far an upstream has come since its cold start, as its owner reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All slots are borne.
    Warm,
    /// Some slots are borne.
    Warming,
    /// Only the cold limit is borne.
    Cold,
}

/// An upstream that may take a part now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Host that owns the upstream.
    pub owner: Box<str>,
    /// Shard that it holds.
    pub shard: Shard,
    /// Number of shards in its map.
    pub shards: u32,
    /// Snapshot that it was last seen to serve.
    pub snapshot: Snapshot,
    /// Its phase.
    pub phase: Phase,
    /// Whether it stands in the broker's own failure domain.
    pub local: bool,
}

/// The snapshot of one search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pin {
    /// Version of the index.
    pub snapshot: Snapshot,
    /// Number of shards in its map.
    pub shards: u32,
}

/// Parts of the policy that experiments switch off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether stragglers are hedged and slow upstreams avoided.
    pub hedges: bool,
    /// Whether cold upstreams are spared.
    pub ramps: bool,
    /// Whether answers of another snapshot are dropped.
    pub pins: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self { hedges: true, ramps: true, pins: true }
    }
}

impl Policy {
    /// Returns the baseline that experiments compare with.
    pub fn baseline() -> Self {
        Self { hedges: false, ramps: false, pins: false }
    }
}

/// What has been seen of one upstream.
#[derive(Clone, Debug, Default)]
struct Seen {
    latency: Option<(f64, Instant)>,
    running: u32,
    refused: Option<Instant>,
}

/// One service, as one broker sees it.
#[derive(Debug)]
pub struct Service {
    pub(crate) policy: Policy,
    pub(crate) delay: Delay,
    pub(crate) budget: TokenBudget,
    candidates: BTreeMap<UpstreamId, Candidate>,
    seen: BTreeMap<UpstreamId, Seen>,
}

impl Service {
    /// Creates a service without candidates.
    pub fn new(policy: Policy) -> Self {
        let budget = if policy.hedges { TokenBudget::default() } else { TokenBudget::unlimited() };
        Self {
            policy,
            delay: Delay::default(),
            budget,
            candidates: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Takes the upstreams that owners report as ready for work.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let candidates = candidates.into_iter().map(|c| (c.upstream.clone(), c));
        self.candidates = candidates.collect();
        let known = &self.candidates;
        self.seen.retain(|upstream, seen| known.contains_key(upstream) || seen.running > 0);
    }

    /// Returns the candidates in the order of their names.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Chooses the snapshot of a new search: the one that covers the largest part of its map,
    /// and of those the newest.
    pub(crate) fn pin(&self) -> Option<Pin> {
        let mut covered: BTreeMap<Pin, Vec<Shard>> = BTreeMap::new();
        for candidate in self.candidates.values() {
            let pin = Pin { snapshot: candidate.snapshot, shards: candidate.shards };
            covered.entry(pin).or_default().push(candidate.shard);
        }
        let share = |pin: &Pin, mut shards: Vec<Shard>| {
            shards.sort_unstable();
            shards.dedup();
            shards.len() as f64 / f64::from(pin.shards.max(1))
        };
        let shares = covered.into_iter().map(|(pin, shards)| (share(&pin, shards), pin));
        shares.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, pin)| pin)
    }

    /// Returns the newest snapshot that any upstream was seen to serve.
    pub(crate) fn newest(&self) -> Option<Pin> {
        let pins = self.candidates.values();
        pins.map(|c| Pin { snapshot: c.snapshot, shards: c.shards }).max()
    }

    /// Returns the best upstream for a shard that is not in `tried`.
    pub(crate) fn choose(
        &self,
        now: Instant,
        pin: Pin,
        shard: Shard,
        tried: &[UpstreamId],
        seed: u64,
    ) -> Option<&Candidate> {
        let fitting = self.fitting(pin, shard).filter(|c| !tried.contains(&c.upstream));
        fitting.min_by(|a, b| {
            let other = |c: &Candidate| self.policy.pins && c.snapshot != pin.snapshot;
            let (x, y) = (self.score(now, a, seed), self.score(now, b, seed));
            other(a).cmp(&other(b)).then(x.0.cmp(&y.0)).then(x.1.total_cmp(&y.1))
        })
    }

    /// Returns a cold upstream that could prove itself on a copy of a part.
    pub(crate) fn unproved(
        &self,
        pin: Pin,
        shard: Shard,
        tried: &[UpstreamId],
    ) -> Option<&Candidate> {
        let fitting = self.fitting(pin, shard).filter(|c| !tried.contains(&c.upstream));
        let idle = |upstream: &UpstreamId| self.seen.get(upstream).is_none_or(|s| s.running == 0);
        fitting
            .filter(|c| c.phase != Phase::Warm && c.snapshot == pin.snapshot)
            .find(|c| idle(&c.upstream))
    }

    /// Returns the upstreams of a shard; one last seen at another snapshot may have moved, or
    /// may still hold the one asked for, so it is the last choice and not ruled out.
    fn fitting(&self, pin: Pin, shard: Shard) -> impl Iterator<Item = &Candidate> {
        self.candidates.values().filter(move |c| c.shard == shard && c.shards == pin.shards)
    }

    /// Returns whether the owner has refused lately, and how long an answer would take.
    fn score(&self, now: Instant, candidate: &Candidate, seed: u64) -> (bool, f64) {
        // A spread that differs by search keeps equal upstreams equally loaded.
        let spread = 1.0 + (mix(seed, &candidate.upstream) % 1_000) as f64 / 4_000.0;
        if !self.policy.hedges {
            return (false, spread);
        }
        let phase = match candidate.phase {
            Phase::Warming if self.policy.ramps => WARMING,
            Phase::Cold if self.policy.ramps => COLD,
            _ => 1.0,
        };
        let Some(seen) = self.seen.get(&candidate.upstream) else {
            return (false, FIRST_LATENCY.as_secs_f64() * phase * spread);
        };
        let refused = seen.refused.is_some_and(|at| now < at + REFUSAL_PAUSE);
        let far = if candidate.local { 1.0 } else { FAR };
        let latency = seen.latency.map_or(FIRST_LATENCY.as_secs_f64(), |(latency, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            latency * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
        });
        let load = f64::from(seen.running + 1);
        (refused, latency * load * far * phase * spread)
    }

    /// Notes a part on its way.
    pub(crate) fn sent(&mut self, upstream: &str) {
        self.seen.entry(upstream.into()).or_default().running += 1;
    }

    /// Notes the end of a part that took `latency`, or at least that long.
    pub(crate) fn ended(&mut self, now: Instant, upstream: &str, latency: Option<Duration>) {
        let Some(seen) = self.seen.get_mut(upstream) else { return };
        seen.running = seen.running.saturating_sub(1);
        let Some(latency) = latency else { return };
        let new = latency.as_secs_f64();
        let old = seen.latency.map_or(new, |(old, _)| old);
        seen.latency = Some((old + WEIGHT * (new - old), now));
    }

    /// Notes that the owner refused a part for this upstream.
    pub(crate) fn refused(&mut self, now: Instant, upstream: &str) {
        self.seen.entry(upstream.into()).or_default().refused = Some(now);
    }

    /// Takes what an answer said of its upstream, ahead of the owner's next report.
    pub(crate) fn learn(&mut self, upstream: &str, snapshot: Snapshot, shard: Shard, shards: u32) {
        if let Some(candidate) = self.candidates.get_mut(upstream)
            && snapshot >= candidate.snapshot
        {
            candidate.snapshot = snapshot;
            candidate.shard = shard;
            candidate.shards = shards;
        }
    }
}

/// Mixes a search's seed with a name; any even spread will do here.
fn mix(seed: u64, name: &str) -> u64 {
    let start = seed ^ 0x9e37_79b9_7f4a_7c15;
    name.bytes().fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
        >> 16
}
