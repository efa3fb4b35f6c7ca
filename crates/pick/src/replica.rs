//! State of one upstream, or of one relay, as observed by this host.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::average::Average;
use crate::cold_start::ColdStart;
use crate::rate_limit::RateLimit;

/// Number that identifies a request in flight at one replica.
pub type Token = u64;

/// Half-life of the observed slowness, failures and refusals of a replica that gets no requests. It
/// is long enough to avoid a replica that is slow for seconds, and short enough to detect its
/// recovery.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight of one sample in an average; about four samples determine its value.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Maximum ratio of a response time to the typical one that is recorded, so that a single stall
/// does not exclude a replica for long.
const MAX_SLOWNESS_RATIO: f64 = 12.0;

/// Multiple of the expected response time after which the oldest request in flight marks the
/// replica as stalled.
const STALL_FACTOR: f64 = 4.0;

/// Added to the age at which a replica counts as stalled, to allow for scheduling noise on slow
/// hosts.
const STALL_MARGIN: Duration = Duration::from_millis(8);

/// Cost of a certain failure or refusal, as a multiple of the typical response time. It is far more
/// than the time that is lost, since a second attempt also uses the budget for extra attempts that
/// all hosts share.
const FAILURE_COST_FACTOR: f64 = 12.0;

/// Ejection time after the first loss.
const INITIAL_EJECTION_TIME: Duration = Duration::from_millis(250);

/// Maximum ejection time. After an ejection has ended, one request at a time probes whether the
/// upstream is back, as long as others are usable that are not ejected.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(2_000);

/// Consecutive losses from which an upstream is considered gone. A few losses may come from
/// connections that broke at the same time.
const MIN_GONE_LOSSES: u32 = 3;

/// Time after a loss or the start of a probe from which [`Replica::available_at`] allows a request
/// that probes an upstream considered gone. [`choose`](crate::choose) does not apply this delay.
const PROBE_DELAY: Duration = Duration::from_millis(250);

/// Time after which an upstream that was too busy for a health check is checked again.
const BUSY_DELAY: Duration = Duration::from_millis(250);

/// Maximum time for which an upstream can ask for a pause.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// How a request to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// Time from sending the request to the last byte of the answer.
        time: Duration,
        /// Typical time of this kind of request.
        typical: Duration,
    },
    /// The upstream stated that it has not run the request.
    Refused,
    /// The upstream answered with a failure or with an invalid answer, or the connection to it
    /// broke after the request was written.
    Failed,
    /// The replica could not be reached or did not answer.
    ///
    /// For an upstream: no connection could be opened, the connection was closed before the request
    /// was written, or the request was dropped unanswered long after the typical time. For a relay:
    /// the request failed before the first batch, which includes a status other than 200 and a
    /// malformed batch, or it was dropped without a batch after a long time.
    Lost,
    /// This host stopped waiting, for reasons that say nothing about the upstream.
    Abandoned,
}

/// Result of a check whether an upstream has restarted.
#[derive(Clone, Copy, Debug)]
pub enum Check {
    /// The upstream runs, and is cold if there is a limit.
    Running(Option<ColdStart>),
    /// The upstream runs and had no room for the check.
    Busy,
    /// The upstream could not be reached.
    Unreachable,
}

/// State of a suspicion that an upstream has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    Suspected,
    Checking,
}

/// State of one upstream, or of one relay, as observed by this host.
#[derive(Clone, Debug)]
pub struct Replica {
    slots: u32,
    last_token: Token,
    /// Start times of the requests in flight.
    in_flight: BTreeMap<Token, Instant>,
    /// Ratio of the response times to the typical ones.
    slowness: Average,
    /// Fraction of requests that failed, were refused or were lost.
    failures: Average,
    /// Requests of other hosts at the upstream, as reported by the upstream.
    others: Average,
    /// End and length of the latest ejection, unless the upstream has responded since.
    ejection: Option<(Instant, Duration)>,
    /// Consecutive losses.
    losses: u32,
    /// Set while the upstream may have restarted.
    restart: Option<Restart>,
    cold_start: Option<ColdStart>,
    rate_limit: Option<RateLimit>,
    /// Time until which the upstream has asked for no requests.
    paused_until: Option<Instant>,
}

impl Replica {
    /// Creates the state of an upstream that runs `slots` requests at a time.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            last_token: 0,
            in_flight: BTreeMap::new(),
            slowness: Average::new(1.0, HALF_LIFE),
            failures: Average::new(0.0, HALF_LIFE),
            others: Average::new(0.0, HALF_LIFE / 10),
            ejection: None,
            losses: 0,
            restart: None,
            cold_start: None,
            rate_limit: None,
            paused_until: None,
        }
    }

    /// Records that the upstream has asked this host for a pause of the given time, at most ten
    /// minutes. An earlier pause that lasts longer stays.
    pub fn pause(&mut self, now: Instant, time: Duration) {
        self.paused_until = self.paused_until.max(Some(now + time.min(MAX_PAUSE)));
    }

    /// Returns the time left of the pause that the upstream has asked for, or `None` if there is
    /// none.
    pub fn paused_for(&self, now: Instant) -> Option<Duration> {
        let left = self.paused_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that the upstream may have restarted. It gets no requests until a check has shown
    /// whether it is cold, since a cold upstream bears few.
    pub fn suspect_restart(&mut self) {
        self.restart.get_or_insert(Restart::Suspected);
    }

    /// Returns whether the upstream may have restarted.
    pub fn may_have_restarted(&self) -> bool {
        self.restart.is_some()
    }

    /// Returns whether the upstream may have restarted and could not be reached since, so that requests
    /// cannot expect it to be back soon.
    pub fn is_gone(&self) -> bool {
        self.may_have_restarted() && self.is_considered_gone()
    }

    /// Returns whether a check of a suspected restart is due, and records that it begins. The first
    /// one is due at once, later ones at the end of the ejection, or earlier if the upstream is
    /// `needed`, because no other one of its service accepts requests.
    pub fn start_check(&mut self, now: Instant, needed: bool) -> bool {
        let due = match self.ejection {
            Some((until, length)) if self.losses > 1 => {
                let ejected_at = until.checked_sub(length).unwrap_or(until);
                if needed { until.min(ejected_at + PROBE_DELAY) } else { until }
            }
            _ => now,
        };
        let starts = self.restart == Some(Restart::Suspected) && due <= now;
        if starts {
            self.restart = Some(Restart::Checking);
        }
        starts
    }

    /// Records that a check of the upstream begins, whether or not a restart is suspected. Returns whether
    /// none was under way.
    pub fn begin_check(&mut self) -> bool {
        let before = self.restart.replace(Restart::Checking);
        before != Some(Restart::Checking)
    }

    /// Records that a check has ended without a result, if one was under way.
    pub fn abandon_check(&mut self) {
        if self.restart == Some(Restart::Checking) {
            self.restart = Some(Restart::Suspected);
        }
    }

    /// Records the result of a check of a suspected restart.
    pub fn end_check(&mut self, now: Instant, check: Check) {
        match check {
            Check::Running(cold_start) => {
                self.restart = None;
                self.ejection = None;
                self.losses = 0;
                if cold_start.is_some() {
                    self.set_cold_start(cold_start);
                }
            }
            Check::Busy => {
                self.restart = Some(Restart::Suspected);
                self.losses = self.losses.max(MIN_GONE_LOSSES);
                self.ejection = Some((now + BUSY_DELAY, BUSY_DELAY));
            }
            Check::Unreachable => {
                self.restart = Some(Restart::Suspected);
                self.record_loss(now);
            }
        }
    }

    /// Sets the limit of a cold upstream, or `None` for a warm one.
    pub fn set_cold_start(&mut self, cold_start: Option<ColdStart>) {
        let earlier = std::mem::replace(&mut self.cold_start, cold_start);
        if let (Some(cold_start), Some(earlier)) = (&mut self.cold_start, &earlier) {
            cold_start.follow(earlier);
        }
    }

    /// Records that a request is sent that had [begun](Self::begin) before the upstream was known to be
    /// cold.
    pub fn sent_cold(&mut self, now: Instant) {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.sent(now);
        }
    }

    /// Returns the limit of the cold start, if one was set.
    pub fn cold_start(&self) -> Option<&ColdStart> {
        self.cold_start.as_ref()
    }

    /// Returns the limit of the cold start, if one was set.
    pub fn cold_start_mut(&mut self) -> Option<&mut ColdStart> {
        self.cold_start.as_mut()
    }

    /// Records that an answer has stated the rate limit `limit`, of which this host has `rate`. Both
    /// are in requests per second.
    pub fn state_rate_limit(&mut self, now: Instant, limit: f64, rate: f64) {
        match &mut self.rate_limit {
            Some(rate_limit) => rate_limit.restate(now, limit, rate),
            None => self.rate_limit = Some(RateLimit::new(now, limit, rate)),
        }
    }

    /// Records that the answer to a request that was sent at `sent` has stated no rate limit.
    pub fn lift_rate_limit(&mut self, sent: Instant) {
        self.rate_limit = self.rate_limit.filter(|rate_limit| !rate_limit.is_lifted_by(sent));
    }

    /// Replaces this host's part of the rate limit, if there is one, because the hosts have
    /// changed.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        if let Some(rate_limit) = &mut self.rate_limit {
            rate_limit.set_rate(now, rate);
        }
    }

    /// Returns the rate limit for all hosts together, in requests per second, if the upstream has
    /// stated one.
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.map(|rate_limit| rate_limit.limit())
    }

    /// Returns this host's part of the rate limit, in requests per second, if the upstream has stated
    /// one.
    pub fn rate(&self) -> Option<f64> {
        self.rate_limit.map(|rate_limit| rate_limit.rate())
    }

    /// Returns whether this host may send a request on behalf of another host. If the upstream has
    /// stated a rate limit, each host sends its own requests within its own part, unless the limit
    /// may have ended.
    pub fn accepts_relayed(&self, now: Instant) -> bool {
        let is_limited = self.rate_limit.is_some_and(|rate_limit| rate_limit.is_fresh(now));
        !is_limited && self.is_usable(now) && !self.is_cold(now) && !self.is_ejected(now)
    }

    /// Records that a request is sent, and returns the token with which its end is recorded.
    pub fn begin(&mut self, now: Instant) -> Token {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.sent(now);
        }
        if let Some(rate_limit) = &mut self.rate_limit {
            rate_limit.sent(now);
        }
        if let Some((until, length)) = &mut self.ejection {
            // This request is a probe: others avoid the upstream until the outcome is known.
            *until = now + *length;
        }
        self.last_token += 1;
        self.in_flight.insert(self.last_token, now);
        self.last_token
    }

    /// Records the end of a request.
    pub fn end(&mut self, now: Instant, token: Token, outcome: Outcome) {
        self.in_flight.remove(&token);
        if !matches!(outcome, Outcome::Lost | Outcome::Abandoned) {
            self.losses = 0;
        }
        match outcome {
            Outcome::Answered { time, typical } => {
                let ratio = time.as_secs_f64() / typical.as_secs_f64().max(1e-6);
                self.slowness.add(now, ratio.clamp(0.2, MAX_SLOWNESS_RATIO), SAMPLE_WEIGHT);
                self.failures.add(now, 0.0, SAMPLE_WEIGHT);
                self.ejection = None;
            }
            Outcome::Refused | Outcome::Failed => {
                self.failures.add(now, 1.0, SAMPLE_WEIGHT);
                self.ejection = None;
            }
            Outcome::Lost => {
                self.failures.add(now, 1.0, SAMPLE_WEIGHT);
                self.record_loss(now);
            }
            Outcome::Abandoned => {}
        }
    }

    /// Counts a loss, and ejects the replica for longer after each one in a row.
    fn record_loss(&mut self, now: Instant) {
        self.losses += 1;
        let doubled = |(_, length): (_, Duration)| (length * 2).min(MAX_EJECTION_TIME);
        let length = self.ejection.map_or(INITIAL_EJECTION_TIME, doubled);
        self.ejection = Some((now + length, length));
    }

    /// Records the load that the upstream reported with an answer, as the numbers of running and
    /// waiting requests.
    pub fn report(&mut self, now: Instant, running: u32, waiting: u32) {
        let own = self.in_flight.len() as f64;
        let others = (f64::from(running + waiting) - own).max(0.0);
        self.others.add(now, others, 0.5);
    }

    /// Returns whether the limit of a cold start, a stated rate limit and a pause allow a request
    /// now, and the upstream is not suspected of a restart. One that is ejected or considered gone is
    /// usable, too.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.restart.is_none()
            && self.paused_for(now).is_none()
            && self.cold_start.is_none_or(|cold_start| cold_start.allows(now))
            && self.rate_limit.is_none_or(|rate_limit| rate_limit.available_at(now) <= now)
    }

    /// Returns whether the upstream is in its cold start and may get only few requests.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_start.is_some_and(|cold_start| cold_start.is_cold(now))
    }

    /// Returns the earliest time at which the upstream should get a request: when the limit of a
    /// cold start, a stated rate limit and a pause allow one and, if the upstream is considered gone, when a
    /// probe is due.
    pub fn available_at(&self, now: Instant) -> Instant {
        let cold_start = self.cold_start.map_or(now, |cold_start| cold_start.available_at(now));
        let rate_limit = self.rate_limit.map_or(now, |rate_limit| rate_limit.available_at(now));
        let paused = self.paused_until.unwrap_or(now);
        let allowed = cold_start.max(rate_limit).max(paused);
        match self.ejection {
            Some((until, length)) if self.is_considered_gone() => {
                let ejected_at = until.checked_sub(length).unwrap_or(until);
                allowed.max(ejected_at + PROBE_DELAY)
            }
            _ => allowed,
        }
    }

    /// Returns whether requests were lost so often that the upstream is considered gone. With a
    /// suspected restart, that takes a failed check.
    fn is_considered_gone(&self) -> bool {
        let min_losses = if self.may_have_restarted() { 2 } else { MIN_GONE_LOSSES };
        self.losses >= min_losses
    }

    /// Returns whether a request was lost recently and no probe is due yet.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|(until, _)| now < until)
    }

    /// Returns the age of the oldest request in flight if it is so old that the replica counts as
    /// stalled, or `None` otherwise.
    pub fn stalled_for(&self, now: Instant, typical: Duration) -> Option<Duration> {
        let oldest = self.in_flight.values().next()?;
        let age = now.saturating_duration_since(*oldest);
        let max = typical.mul_f64(self.slowness.get(now).max(1.0) * STALL_FACTOR) + STALL_MARGIN;
        (age > max).then_some(age)
    }

    /// Returns the expected ratio of the response time to the typical one.
    ///
    /// A replica that was slow is tried again after some time. While that request is in flight, the
    /// replica counts as slow as it was, so that no others follow until the outcome is known.
    fn expected_slowness(&self, now: Instant) -> f64 {
        let slowness = self.slowness.get(now);
        if self.in_flight.is_empty() { slowness } else { slowness.max(self.slowness.latest()) }
    }

    /// Returns the selection cost of a request that takes `typical` on an idle replica: the
    /// expected response time plus penalties for recent failures and for a stall.
    pub fn cost(&self, now: Instant, typical: Duration) -> Duration {
        let load = self.in_flight.len() as f64 + self.others.get(now);
        let queue = 1.0 + (load - f64::from(self.slots) + 1.0).max(0.0) / f64::from(self.slots);
        // A small cost per request balances equal replicas before their slots are full.
        let balance = 0.1 * load / f64::from(self.slots);
        let ratio = self.expected_slowness(now) * (queue + balance)
            + self.failures.get(now).clamp(0.0, 1.0) * FAILURE_COST_FACTOR;
        // A stall that has lasted for some time is expected to last as long again.
        typical.mul_f64(ratio) + self.stalled_for(now, typical).unwrap_or_default()
    }
}
