//! What this host has seen of one upstream.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::cold_start::ColdStart;
use crate::decay::Decay;

/// One request in flight.
pub type Token = u64;

/// Half-life of the slowness, failures and refusals of a replica that gets no work: long enough to
/// avoid a replica that is slow for seconds, short enough to notice its recovery.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight of one answer in the average; about four answers decide.
const WEIGHT: f64 = 0.3;

/// Slowest ratio that one answer counts for, so that one pause does not banish a replica.
const MOST_RATIO: f64 = 12.0;

/// Age of a request in flight, in typical times, from which the replica counts as paused.
const PAUSE_RATIO: f64 = 4.0;

/// Added to the age at which a replica counts as paused; covers scheduling noise on slow hosts.
const PAUSE_MARGIN: Duration = Duration::from_millis(8);

/// Cost of a certain failure or refusal, in typical times. It is far more than the time that is
/// lost, since a second sending also draws on the extra requests that all hosts share.
const FAILURE_COST: f64 = 12.0;

/// First time for which an upstream that cannot be reached gets nothing.
const FIRST_AWAY: Duration = Duration::from_millis(250);

/// Longest such time; one request in this time finds out whether it is back.
const MOST_AWAY: Duration = Duration::from_millis(2_000);

/// Losses in a row from which an upstream is taken to be gone; fewer may be connections that broke
/// together.
const GONE_LOSSES: u32 = 3;

/// Time after a loss in which nothing is tried at an upstream that is taken to be gone; one request
/// then finds out.
const GONE_PAUSE: Duration = Duration::from_millis(250);

/// How a request to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered in `time`, where `typical` is usual for its kind.
    Answered {
        /// Time from sending to the last byte.
        time: Duration,
        /// Usual time of this kind of request.
        typical: Duration,
    },
    /// The upstream said that it has not run the request.
    Refused,
    /// The upstream answered with a failure or with bytes that are no answer.
    Failed,
    /// The connection could not be opened, or broke or stayed silent for far too long.
    Lost,
    /// This host stopped waiting, for reasons that say nothing about the upstream.
    Abandoned,
}

/// The state of one upstream as seen from this host.
#[derive(Clone, Debug)]
pub struct Replica {
    slots: u32,
    next: Token,
    open: BTreeMap<Token, Instant>,
    slowness: Decay,
    failures: Decay,
    reported: Decay,
    away: Option<(Instant, Duration)>,
    losses: u32,
    cold: Option<ColdStart>,
}

impl Replica {
    /// Creates the state of an upstream that runs `slots` requests at a time.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            next: 0,
            open: BTreeMap::new(),
            slowness: Decay::new(1.0, HALF_LIFE),
            failures: Decay::new(0.0, HALF_LIFE),
            reported: Decay::new(0.0, HALF_LIFE / 10),
            away: None,
            losses: 0,
            cold: None,
        }
    }

    /// Marks the upstream as cold, or as warm with `None`.
    pub fn set_cold_start(&mut self, cold: Option<ColdStart>) {
        self.cold = cold;
    }

    /// Returns the limit of a cold upstream.
    pub fn cold_start_mut(&mut self) -> Option<&mut ColdStart> {
        self.cold.as_mut()
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, now: Instant) -> Token {
        if let Some(cold) = &mut self.cold {
            cold.sent(now);
        }
        if let Some((until, time)) = &mut self.away {
            // One request finds out; others wait for what it brings.
            *until = now + *time;
        }
        self.next += 1;
        self.open.insert(self.next, now);
        self.next
    }

    /// Counts the end of a request.
    pub fn end(&mut self, now: Instant, token: Token, outcome: Outcome) {
        self.open.remove(&token);
        match outcome {
            Outcome::Lost => self.losses += 1,
            Outcome::Abandoned => {}
            _ => self.losses = 0,
        }
        match outcome {
            Outcome::Answered { time, typical } => {
                let ratio = time.as_secs_f64() / typical.as_secs_f64().max(1e-6);
                self.slowness.add(now, ratio.clamp(0.2, MOST_RATIO), WEIGHT);
                self.failures.add(now, 0.0, WEIGHT);
                self.away = None;
            }
            Outcome::Refused | Outcome::Failed => {
                self.failures.add(now, 1.0, WEIGHT);
                self.away = None;
            }
            Outcome::Lost => {
                self.failures.add(now, 1.0, WEIGHT);
                let time = self.away.map_or(FIRST_AWAY, |(_, time)| (time * 2).min(MOST_AWAY));
                self.away = Some((now + time, time));
            }
            Outcome::Abandoned => {}
        }
    }

    /// Takes the load that the upstream reported with an answer: running and waiting requests.
    pub fn report(&mut self, now: Instant, running: u32, waiting: u32) {
        let own = self.open.len() as f64;
        let others = (f64::from(running + waiting) - own).max(0.0);
        self.reported.add(now, others, 0.5);
    }

    /// Returns whether the upstream may get a request at all.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.cold.is_none_or(|cold| cold.allows(now))
    }

    /// Returns whether the upstream has just started and may get few requests only.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|cold| cold.is_cold(now))
    }

    /// Returns from when on the upstream may get a request.
    pub fn available_at(&self, now: Instant) -> Instant {
        let cold = self.cold.map_or(now, |cold| cold.available_at(now));
        match self.away {
            Some((until, time)) if self.losses >= GONE_LOSSES => {
                let tried = until.checked_sub(time).unwrap_or(until);
                cold.max(tried + GONE_PAUSE)
            }
            _ => cold,
        }
    }

    /// Returns whether the upstream could not be reached lately and is not due for another try.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.away.is_some_and(|(until, _)| now < until)
    }

    /// Returns how long the oldest request in flight has waited beyond what is usual.
    pub fn stalled_for(&self, now: Instant, typical: Duration) -> Option<Duration> {
        let oldest = self.open.values().next()?;
        let age = now.saturating_duration_since(*oldest);
        let usual = typical.mul_f64(self.slowness.get(now).max(1.0) * PAUSE_RATIO) + PAUSE_MARGIN;
        (age > usual).then_some(age)
    }

    /// Returns the expected time until an answer.
    pub fn cost(&self, now: Instant, typical: Duration) -> Duration {
        let load = self.open.len() as f64 + self.reported.get(now);
        let queue = 1.0 + (load - f64::from(self.slots) + 1.0).max(0.0) / f64::from(self.slots);
        // A light tilt keeps equal replicas level before their slots are full.
        let tilt = 0.1 * load / f64::from(self.slots);
        let ratio = self.slowness.get(now) * (queue + tilt)
            + self.failures.get(now).clamp(0.0, 1.0) * FAILURE_COST;
        // A pause that has lasted for some time is expected to last as long again.
        typical.mul_f64(ratio) + self.stalled_for(now, typical).unwrap_or_default()
    }
}
