//! Admission to one upstream.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

/// Number of a request at one gate.
pub type Ticket = u64;

/// Answers in a row, all far slower than usual, that tell of a silent return to cold.
const SLOW_STREAK: u32 = 4;

/// How many times slower than usual an answer must be to count as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Answers faster than this are never slow, whatever is usual; schedulers alone take that long.
const SLOW_FLOOR: Duration = Duration::from_millis(10);

/// Weight of a new answer when it is faster than usual.
const WEIGHT_DOWN: f64 = 0.2;

/// Weight of a new answer when it is slower than usual; small, so that a cold start cannot make
/// itself look usual.
const WEIGHT_UP: f64 = 0.01;

/// Service time assumed before the first answer.
const FIRST_GUESS: Duration = Duration::from_millis(5);

/// Requests that may wait for each slot.
const QUEUE_PER_SLOT: usize = 4;

/// Pause after a refused or broken connection, doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after refused connections in a row.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// What operators state for one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests at a time when warm.
    pub slots: u32,
    /// Requests at a time in a cold start.
    pub cold_slots: u32,
    /// Successes that prove one more slot.
    pub cold_successes: u32,
}

/// Where an upstream stands between cold and warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Only the cold limit is borne.
    Cold,
    /// More than the cold limit has been proved, less than all slots.
    Warming,
    /// All slots are borne.
    Warm,
    /// The upstream is leaving; running work ends, none starts.
    Draining,
    /// Connections are refused.
    Gone,
}

impl Phase {
    /// Returns the phase's stable name, as reports carry it.
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
    /// It could not finish before its deadline.
    Busy,
    /// The queue is full.
    Full,
    /// The upstream is leaving.
    Draining,
    /// The upstream refuses connections.
    Gone,
}

impl Reason {
    /// Returns the reason's stable name, as answers carry it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Full => "queue full",
            Self::Draining => "upstream leaving",
            Self::Gone => "upstream gone",
        }
    }
}

/// What a gate says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send now.
    Start,
    /// Wait for [`Step::Start`] or [`Step::Expire`].
    Wait,
    /// Not run.
    Refuse(Reason),
}

/// What has become of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send now.
    Start(Ticket),
    /// Not run: the deadline can no longer be met.
    Expire(Ticket),
}

/// How a request ended, as seen in-band.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// An answer after the time given, from the process life `boot` where the upstream names one.
    Ok {
        /// Time from sending to the answer.
        took: Duration,
        /// Process life of the upstream.
        boot: Option<u64>,
    },
    /// The upstream shed the request without running it.
    Shed,
    /// The upstream confirmed a cancellation, or the request was never written.
    Ended,
    /// The connection was refused or broke.
    Broken,
    /// Nothing came back; the request may still be running until its deadline.
    NoAnswer,
}

/// Admission to one upstream: a plain state machine.
#[derive(Debug)]
pub struct Limiter {
    bound: Limits,
    allowed: u32,
    leaving: bool,
    running: BTreeMap<Ticket, Instant>,
    held: Vec<Instant>,
    queue: VecDeque<(Ticket, Instant)>,
    proved: u32,
    usual: Option<f64>,
    slow: u32,
    boot: Option<u64>,
    pause: Duration,
    paused_until: Option<Instant>,
    ramps: bool,
}

impl Limiter {
    /// Creates a gate before an upstream that has proved nothing yet.
    pub fn new(bound: Limits) -> Self {
        Self {
            allowed: bound.cold_slots,
            bound,
            leaving: false,
            running: BTreeMap::new(),
            held: Vec::new(),
            queue: VecDeque::new(),
            proved: 0,
            usual: None,
            slow: 0,
            boot: None,
            pause: MIN_PAUSE,
            paused_until: None,
            ramps: true,
        }
    }

    /// Opens all slots at once and for good: the baseline of experiments.
    pub fn without_ramp(mut self) -> Self {
        self.ramps = false;
        self.allowed = self.bound.slots;
        self
    }

    /// Takes over what a former owner knew: its phase, and slots busy until an instant.
    pub fn inherit(&mut self, warm: bool, busy: u32, until: Instant) {
        if warm {
            self.allowed = self.bound.slots;
        } else {
            // What was warm in an earlier tenure here may have restarted in another's.
            self.reset_to_cold();
        }
        self.held.extend(std::iter::repeat_n(until, busy as usize));
    }

    /// Takes new limits from the operators.
    pub fn set_limits(&mut self, bound: Limits) {
        let warm = self.allowed >= self.bound.slots;
        self.allowed = if warm { bound.slots } else { self.allowed.min(bound.slots) };
        self.bound = bound;
    }

    /// Marks the upstream as leaving or as staying.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Treats the upstream as cold, as after its domain's return.
    pub fn reset_to_cold(&mut self) {
        if self.ramps {
            self.allowed = self.bound.cold_slots;
        }
        self.proved = 0;
        self.slow = 0;
    }

    /// Returns the phase.
    pub fn phase(&self, now: Instant) -> Phase {
        if self.leaving {
            return Phase::Draining;
        }
        if self.is_paused(now) {
            return Phase::Gone;
        }
        if self.allowed >= self.bound.slots {
            Phase::Warm
        } else if self.allowed > self.bound.cold_slots {
            Phase::Warming
        } else {
            Phase::Cold
        }
    }

    /// Returns how many requests the upstream may be working on.
    pub fn busy(&self, now: Instant) -> u32 {
        let held = self.held.iter().filter(|until| **until > now).count();
        u32::try_from(self.running.len() + held).unwrap_or(u32::MAX)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns when the latest of the running requests must have ended.
    pub fn busy_until(&self) -> Option<Instant> {
        self.running.values().chain(&self.held).max().copied()
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Instant, ticket: Ticket, deadline: Instant) -> Decision {
        if self.leaving {
            return Decision::Refuse(Reason::Draining);
        }
        if self.is_paused(now) {
            return Decision::Refuse(Reason::Gone);
        }
        if self.queue.is_empty() && self.has_slot(now) {
            self.running.insert(ticket, deadline);
            return Decision::Start;
        }
        if self.queue.len() >= QUEUE_PER_SLOT * self.allowed.max(1) as usize {
            return Decision::Refuse(Reason::Full);
        }
        if now + self.wait_for(self.queue.len() + 1) > deadline {
            return Decision::Refuse(Reason::Busy);
        }
        self.queue.push_back((ticket, deadline));
        Decision::Wait
    }

    /// Takes back a waiting request; returns whether it was waiting.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(other, _)| *other != ticket);
        before != self.queue.len()
    }

    /// Starts what has a slot and expires what can no longer finish in time.
    pub fn steps(&mut self, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        let service = self.service_time();
        while let Some((ticket, deadline)) = self.queue.front().copied() {
            let hopeless = now + service > deadline || self.leaving || self.is_paused(now);
            if hopeless {
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

    /// Takes the end of a running request.
    pub fn complete(&mut self, now: Instant, ticket: Ticket, sign: Completion) {
        let deadline = self.running.remove(&ticket);
        match sign {
            Completion::Ok { took, boot } => self.succeed(took, boot),
            Completion::Shed => self.cut(),
            Completion::Ended => {}
            Completion::Broken => self.break_off(now, deadline),
            Completion::NoAnswer => self.held.extend(deadline),
        }
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    fn has_slot(&mut self, now: Instant) -> bool {
        self.held.retain(|until| *until > now);
        self.busy(now) < self.allowed
    }

    fn service_time(&self) -> Duration {
        self.usual.map_or(FIRST_GUESS, Duration::from_secs_f64)
    }

    /// Returns the time until the `place`th waiting request would be answered.
    fn wait_for(&self, place: usize) -> Duration {
        let rounds = place.div_ceil(self.allowed.max(1) as usize) + 1;
        self.service_time() * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    fn succeed(&mut self, took: Duration, boot: Option<u64>) {
        self.pause = MIN_PAUSE;
        self.paused_until = None;
        if boot.is_some() && self.boot.is_some() && boot != self.boot {
            self.reset_to_cold();
        }
        self.boot = boot.or(self.boot);
        let took_s = took.as_secs_f64();
        let usual = self.usual.unwrap_or(took_s);
        let is_slow = took > SLOW_FLOOR && took_s > usual * SLOW_FACTOR;
        let weight = if took_s < usual { WEIGHT_DOWN } else { WEIGHT_UP };
        self.usual = Some(usual + weight * (took_s - usual));
        if is_slow {
            self.slow += 1;
            self.proved = 0;
            if self.slow == SLOW_STREAK {
                self.reset_to_cold();
            }
            return;
        }
        self.slow = 0;
        self.prove();
    }

    fn prove(&mut self) {
        if self.allowed >= self.bound.slots {
            return;
        }
        self.proved += 1;
        if self.proved >= self.bound.cold_successes {
            self.proved = 0;
            self.allowed += 1;
        }
    }

    fn cut(&mut self) {
        self.proved = 0;
        if !self.ramps {
            return;
        }
        let warm = self.allowed >= self.bound.slots;
        // A first shed of a warm upstream costs one slot; in a cold start it costs all gains.
        let floor = self.bound.cold_slots;
        self.allowed = if warm { (self.allowed - 1).max(floor) } else { floor };
    }

    fn break_off(&mut self, now: Instant, deadline: Option<Instant>) {
        // A broken connection does not prove that its request has stopped.
        self.held.extend(deadline);
        self.reset_to_cold();
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
