//! Admission of requests to one upstream.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

/// Number that identifies a request at one limiter.
pub type Ticket = u64;

/// Number of consecutive slow answers from which the upstream counts as cold again, although it has
/// not reported a cold start.
const MIN_SLOW_STREAK: u32 = 4;

/// Multiple of the average service time above which an answer counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Service time up to which an answer never counts as slow, whatever the average is, since
/// scheduling alone can take as long.
const MIN_SLOW_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Weight of a new answer in the average when it is faster than the average.
const FASTER_WEIGHT: f64 = 0.2;

/// Weight of a new answer in the average when it is slower than the average. It is small, so that
/// the slow answers of a cold start do not become the average they are compared with.
const SLOWER_WEIGHT: f64 = 0.01;

/// Service time assumed before the first answer.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Maximum number of queued requests for each slot in use.
const MAX_QUEUE_PER_SLOT: usize = 4;

/// Backoff after a refused or broken connection, doubled with each further one up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after refused or broken connections in a row.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Limits that operators set for one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests in flight when warm.
    pub slots: u32,
    /// Maximum number of requests in flight at the beginning of a cold start.
    pub cold_slots: u32,
    /// Successful answers after which a cold start may use one more slot.
    pub cold_successes: u32,
}

/// State of an upstream between cold and warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The upstream gets no more requests than the cold limit.
    Cold,
    /// The upstream gets more requests than the cold limit, but may not use all slots yet.
    Warming,
    /// The upstream may use all slots.
    Warm,
    /// The upstream is draining: running requests may finish, and no new ones start.
    Draining,
    /// A connection was refused or broke, and the backoff has not ended.
    Gone,
}

impl Phase {
    /// Returns the stable name of the phase that is used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Warming => "warming",
            Self::Warm => "warm",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a request was refused before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It would not finish before its deadline.
    Busy,
    /// The queue is full.
    Full,
    /// The upstream is draining.
    Draining,
    /// A connection to the upstream was refused or broke, and the backoff has not ended.
    Gone,
}

impl Reason {
    /// Returns the stable name of the reason that is used in answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Full => "queue full",
            Self::Draining => "upstream leaving",
            Self::Gone => "upstream gone",
        }
    }
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request now.
    Start,
    /// The request is queued until [`Step::Start`] or [`Step::Expire`].
    Wait,
    /// The request must not be sent.
    Refuse(Reason),
}

/// Change of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request now.
    Start(Ticket),
    /// The request must not be sent: it can no longer finish before its deadline, or the upstream
    /// is draining or in backoff.
    Expire(Ticket),
}

/// How a request that was started ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered.
    Ok {
        /// Time from sending the request to its answer.
        took: Duration,
        /// Identifies the incarnation of the upstream's process, if the upstream states it.
        incarnation: Option<u64>,
    },
    /// The upstream shed the request without running it.
    Shed,
    /// The request no longer uses a slot, and its end changes no limit: it was never written, its
    /// cancellation was confirmed, or it failed.
    Ended,
    /// The connection was refused or broke.
    Broken,
    /// No answer came; the request may still be running until its deadline.
    NoAnswer,
}

/// Admission of requests to one upstream, as a state machine without I/O.
#[derive(Debug)]
pub struct Limiter {
    limits: Limits,
    /// Current maximum of requests in flight, between the cold limit and all slots.
    allowed: u32,
    draining: bool,
    /// Deadlines of the requests in flight.
    running: BTreeMap<Ticket, Instant>,
    /// End times of slots whose requests may still be running although they have no ticket here.
    held: Vec<Instant>,
    /// Deadlines of the queued requests, in their order.
    queue: VecDeque<(Ticket, Instant)>,
    /// Successful answers that count towards the next slot.
    successes: u32,
    /// Moving average of the service time, in seconds.
    average_s: Option<f64>,
    slow_streak: u32,
    incarnation: Option<u64>,
    backoff: Duration,
    backoff_until: Option<Instant>,
    ramps_up: bool,
}

impl Limiter {
    /// Creates the limiter of an upstream that is cold.
    pub fn new(limits: Limits) -> Self {
        Self {
            allowed: limits.cold_slots,
            limits,
            draining: false,
            running: BTreeMap::new(),
            held: Vec::new(),
            queue: VecDeque::new(),
            successes: 0,
            average_s: None,
            slow_streak: 0,
            incarnation: None,
            backoff: INITIAL_BACKOFF,
            backoff_until: None,
            ramps_up: true,
        }
    }

    /// Allows all slots from the start and never lowers the limit: the baseline of experiments.
    pub fn without_ramp(mut self) -> Self {
        self.ramps_up = false;
        self.allowed = self.limits.slots;
        self
    }

    /// Takes over the state of the previous owner: whether the upstream is warm, and the number of
    /// slots that are `busy` until the given time.
    pub fn inherit(&mut self, warm: bool, busy: u32, until: Instant) {
        if warm {
            self.allowed = self.limits.slots;
        } else {
            // An upstream that was warm when this host owned it before may have restarted under
            // another owner.
            self.reset_to_cold();
        }
        self.held.extend(std::iter::repeat_n(until, busy as usize));
    }

    /// Replaces the limits. A warm upstream stays warm.
    pub fn set_limits(&mut self, limits: Limits) {
        let warm = self.allowed >= self.limits.slots;
        self.allowed = if warm { limits.slots } else { self.allowed.min(limits.slots) };
        self.limits = limits;
    }

    /// Sets whether the upstream is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Treats the upstream as cold, for example after its failure domain has returned.
    pub fn reset_to_cold(&mut self) {
        if self.ramps_up {
            self.allowed = self.limits.cold_slots;
        }
        self.successes = 0;
        self.slow_streak = 0;
    }

    /// Returns the phase of the upstream at `now`.
    pub fn phase(&self, now: Instant) -> Phase {
        if self.draining {
            return Phase::Draining;
        }
        if self.is_backing_off(now) {
            return Phase::Gone;
        }
        if self.allowed >= self.limits.slots {
            Phase::Warm
        } else if self.allowed > self.limits.cold_slots {
            Phase::Warming
        } else {
            Phase::Cold
        }
    }

    /// Returns the number of requests that the upstream may be working on.
    pub fn busy(&self, now: Instant) -> u32 {
        let held = self.held.iter().filter(|until| **until > now).count();
        u32::try_from(self.running.len() + held).unwrap_or(u32::MAX)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the latest deadline of the requests that the upstream may be working on.
    pub fn busy_until(&self) -> Option<Instant> {
        self.running.values().chain(&self.held).max().copied()
    }

    /// Decides whether a new request starts, is queued or is refused.
    ///
    /// A request that starts must be followed by a call of [`complete`](Self::complete).
    pub fn offer(&mut self, now: Instant, ticket: Ticket, deadline: Instant) -> Decision {
        if self.draining {
            return Decision::Refuse(Reason::Draining);
        }
        if self.is_backing_off(now) {
            return Decision::Refuse(Reason::Gone);
        }
        if self.queue.is_empty() && self.has_slot(now) {
            self.running.insert(ticket, deadline);
            return Decision::Start;
        }
        if self.queue.len() >= MAX_QUEUE_PER_SLOT * self.allowed.max(1) as usize {
            return Decision::Refuse(Reason::Full);
        }
        if now + self.time_to_answer(self.queue.len() + 1) > deadline {
            return Decision::Refuse(Reason::Busy);
        }
        self.queue.push_back((ticket, deadline));
        Decision::Wait
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(other, _)| *other != ticket);
        before != self.queue.len()
    }

    /// Removes from the front of the queue the requests that have a free slot and those that must
    /// no longer be sent, and returns them in their order.
    pub fn steps(&mut self, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        let service_time = self.service_time();
        while let Some((ticket, deadline)) = self.queue.front().copied() {
            let expired =
                now + service_time > deadline || self.draining || self.is_backing_off(now);
            if expired {
                steps.push(Step::Expire(ticket));
            } else if self.has_slot(now) {
                self.running.insert(ticket, deadline);
                steps.push(Step::Start(ticket));
            } else {
                break;
            }
            self.queue.pop_front();
        }
        steps
    }

    /// Records the end of a request in flight.
    pub fn complete(&mut self, now: Instant, ticket: Ticket, completion: Completion) {
        let deadline = self.running.remove(&ticket);
        match completion {
            Completion::Ok { took, incarnation } => self.record_answer(took, incarnation),
            Completion::Shed => self.decrease(),
            Completion::Ended => {}
            Completion::Broken => self.back_off(now, deadline),
            Completion::NoAnswer => self.held.extend(deadline),
        }
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    fn has_slot(&mut self, now: Instant) -> bool {
        self.held.retain(|until| *until > now);
        self.busy(now) < self.allowed
    }

    fn service_time(&self) -> Duration {
        self.average_s.map_or(INITIAL_SERVICE_TIME, Duration::from_secs_f64)
    }

    /// Returns the expected time until the queued request at `position`, counted from 1, is
    /// answered.
    fn time_to_answer(&self, position: usize) -> Duration {
        let rounds = position.div_ceil(self.allowed.max(1) as usize) + 1;
        self.service_time() * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    fn record_answer(&mut self, took: Duration, incarnation: Option<u64>) {
        self.backoff = INITIAL_BACKOFF;
        self.backoff_until = None;
        if incarnation.is_some() && self.incarnation.is_some() && incarnation != self.incarnation {
            self.reset_to_cold();
        }
        self.incarnation = incarnation.or(self.incarnation);
        let took_s = took.as_secs_f64();
        let average_s = self.average_s.unwrap_or(took_s);
        let is_slow = took > MIN_SLOW_SERVICE_TIME && took_s > average_s * SLOW_FACTOR;
        let weight = if took_s < average_s { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.average_s = Some(average_s + weight * (took_s - average_s));
        if is_slow {
            self.slow_streak += 1;
            self.successes = 0;
            if self.slow_streak == MIN_SLOW_STREAK {
                self.reset_to_cold();
            }
            return;
        }
        self.slow_streak = 0;
        self.count_success();
    }

    fn count_success(&mut self) {
        if self.allowed >= self.limits.slots {
            return;
        }
        self.successes += 1;
        if self.successes >= self.limits.cold_successes {
            self.successes = 0;
            self.allowed += 1;
        }
    }

    fn decrease(&mut self) {
        self.successes = 0;
        if !self.ramps_up {
            return;
        }
        let warm = self.allowed >= self.limits.slots;
        // The first request that a warm upstream sheds costs it one slot. Below all slots, a shed
        // request costs it everything above the cold limit.
        let min = self.limits.cold_slots;
        self.allowed = if warm { (self.allowed - 1).max(min) } else { min };
    }

    fn back_off(&mut self, now: Instant, deadline: Option<Instant>) {
        // A broken connection does not prove that its request has stopped running.
        self.held.extend(deadline);
        self.reset_to_cold();
        self.backoff_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
