//! The state machine of one search.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::outcome::{Body, Outcome, PartOutcome, Reason};
use crate::service::{Pin, Service, Shard, UpstreamId};

/// Number of one attempt at a part, unique within a search.
pub type AttemptId = u32;

/// Which shards a request is sent to and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The request goes to every shard; retries and hedges are limited by the attempt budget.
    Search,
    /// The request goes to one shard, chosen by the hash, and must run at most once.
    Once(u64),
}

/// The parameters of a search.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Which shards the request is sent to and how often.
    pub mode: Mode,
    /// Varies the choice between equally good upstreams from search to search.
    pub seed: u64,
}

/// An attempt to start: one part to send to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAttempt {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Host that owns the upstream and receives the part.
    pub owner: Box<str>,
    /// Upstream that runs the part.
    pub upstream: UpstreamId,
    /// Requested shard.
    pub shard: Shard,
    /// Requested snapshot and its number of shards.
    pub pin: Pin,
}

/// An action that the driver of a [`Plan`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Send(SendAttempt),
    /// Cancel an attempt whose answer is no longer needed.
    Cancel(AttemptId),
    /// Answer the request. This is the last action of a plan.
    Finish(Outcome),
}

/// An attempt in flight: one part sent to one upstream.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) shard: Shard,
    pub(crate) upstream: UpstreamId,
    pub(crate) sent: Instant,
    /// Whether this is an extra attempt: a hedge, a warm-up copy or a retry of a part that may have
    /// run.
    pub(crate) extra: bool,
}

/// Progress of a search on one shard.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    /// Upstreams that the part has been sent to.
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) in_flight: Vec<AttemptId>,
    pub(crate) body: Option<Body>,
    pub(crate) hedged: bool,
    /// Whether the deadline has passed, so that no answer is awaited.
    pub(crate) closed: bool,
}

/// The state machine of one search.
///
/// It does no I/O: its driver passes events to [`Plan::on_attempt_end`] and [`Plan::tick`], and
/// carries out the returned actions.
#[derive(Debug)]
pub struct Plan {
    pub(crate) request: Request,
    pub(crate) pin: Option<Pin>,
    pub(crate) shard_states: BTreeMap<Shard, ShardState>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) next_id: AttemptId,
    pub(crate) restarted: bool,
    /// Whether an answer was dropped because its snapshot or shard differed from the requested one.
    pub(crate) snapshot_changed: bool,
    pub(crate) may_have_run: bool,
    pub(crate) congested: bool,
    /// Latest failure, returned as the reason when the search has no answer.
    pub(crate) reason: Reason,
    pub(crate) finished: bool,
    pub(crate) dropped_answers: u32,
    pub(crate) extra_attempts: u32,
}

impl Plan {
    /// Starts a search; returns the plan and the first actions.
    pub fn start(service: &mut Service, request: Request, now: Instant) -> (Self, Vec<Action>) {
        let mut plan = Self {
            request,
            pin: None,
            shard_states: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_id: 0,
            restarted: false,
            snapshot_changed: false,
            may_have_run: false,
            congested: false,
            reason: "no upstream of the service is reachable".into(),
            finished: false,
            dropped_answers: 0,
            extra_attempts: 0,
        };
        let mut actions = Vec::new();
        let pin = service.best_pin();
        plan.fan_out(service, now, pin, &mut actions);
        plan.finish_or_restart(service, now, &mut actions);
        (plan, actions)
    }

    /// Returns whether an owner refused a part because it had no free slot; refusals of extra
    /// attempts do not count.
    pub fn is_congested(&self) -> bool {
        self.congested
    }

    /// Returns the number of answers that were dropped as late, duplicate or from another
    /// snapshot.
    pub fn dropped_answers(&self) -> u32 {
        self.dropped_answers
    }

    /// Returns the number of extra attempts: hedges, warm-up copies and retries of parts that may
    /// have run. Extra attempts that were refused do not count.
    pub fn extra_attempts(&self) -> u32 {
        self.extra_attempts
    }

    /// Returns the time at which [`Plan::tick`] is next due.
    pub fn next_tick(&self, service: &Service) -> Instant {
        let delay = service.hedge_delay.get();
        let open = self.shard_states.values().filter(|state| !state.hedged && state.body.is_none());
        let attempts =
            open.flat_map(|state| state.in_flight.iter().filter_map(|id| self.attempts.get(id)));
        let hedge = attempts.map(|attempt| attempt.sent + delay).min();
        hedge.map_or(self.request.deadline, |at| at.min(self.request.deadline))
    }

    /// Handles the outcome of the attempt `id`; returns the actions that follow from it.
    ///
    /// Outcomes of unknown attempts are counted as dropped answers and ignored.
    pub fn on_attempt_end(
        &mut self,
        service: &mut Service,
        now: Instant,
        id: AttemptId,
        outcome: PartOutcome,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(attempt) = self.attempts.remove(&id) else {
            // Only a late or duplicate answer has no attempt in flight.
            self.dropped_answers += 1;
            return actions;
        };
        if let Some(state) = self.shard_states.get_mut(&attempt.shard) {
            state.in_flight.retain(|other| *other != id);
        }
        match outcome {
            PartOutcome::Ran { snapshot, shard, shards, body } => {
                let latency = now.saturating_duration_since(attempt.sent);
                service.record_end(now, &attempt.upstream, Some(latency));
                self.may_have_run = true;
                let pin = Pin { snapshot, shards };
                if self.accepts(service, pin, shard, attempt.shard) {
                    service.hedge_delay.record(now, latency);
                    self.answer(service, now, attempt.shard, body, &mut actions);
                } else {
                    service.update_candidate(&attempt.upstream, snapshot, shard, shards);
                    self.dropped_answers += 1;
                    self.snapshot_changed = true;
                    self.reason = "the index moved on".into();
                    self.retry(service, now, &attempt, true, &mut actions);
                }
            }
            PartOutcome::NotRun(reason) => {
                service.record_end(now, &attempt.upstream, None);
                service.record_refusal(now, &attempt.upstream);
                if attempt.extra {
                    self.extra_attempts -= 1;
                    service.budget.refund();
                } else if reason.starts_with("busy") || reason.starts_with("queue") {
                    self.congested = true;
                }
                self.reason = reason;
                self.retry(service, now, &attempt, false, &mut actions);
            }
            PartOutcome::Unknown(reason) => {
                let elapsed = now.saturating_duration_since(attempt.sent);
                service.record_end(now, &attempt.upstream, Some(elapsed * 2));
                self.may_have_run = true;
                self.reason = reason;
                if self.request.mode == Mode::Search {
                    self.retry(service, now, &attempt, true, &mut actions);
                }
            }
        }
        self.finish_or_restart(service, now, &mut actions);
        actions
    }

    /// Sends hedges for stragglers, and ends the search once its deadline has passed.
    pub fn tick(&mut self, service: &mut Service, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if now >= self.request.deadline {
            self.close_all();
            self.reason = "the deadline passed".into();
            self.finish_or_restart(service, now, &mut actions);
            return actions;
        }
        if service.policy.hedging && self.request.mode == Mode::Search {
            self.hedge(service, now, &mut actions);
        }
        actions
    }

    /// Returns whether an answer from `pin` and `shard` may be merged into the result.
    fn accepts(&mut self, service: &Service, pin: Pin, shard: Shard, requested: Shard) -> bool {
        if let Mode::Once(_) = self.request.mode {
            // The request has a single part, so an answer of any snapshot is complete.
            self.pin = Some(pin);
            return true;
        }
        !service.policy.pin_snapshot || (self.pin == Some(pin) && shard == requested)
    }

    /// Sends the first attempt for each requested shard of `pin`.
    fn fan_out(
        &mut self,
        service: &mut Service,
        now: Instant,
        pin: Option<Pin>,
        actions: &mut Vec<Action>,
    ) {
        self.pin = pin;
        let Some(pin) = pin else { return };
        let shards = match self.request.mode {
            Mode::Search => 0..pin.shards,
            Mode::Once(hash) => {
                let shard = (hash % u64::from(pin.shards.max(1))) as Shard;
                shard..shard + 1
            }
        };
        for shard in shards {
            self.shard_states.insert(shard, ShardState::default());
            if self.send_to_best(service, now, shard, false, actions) {
                service.budget.earn();
                self.send_warmup_copy(service, now, shard, actions);
            }
        }
    }

    /// Stores the answer of a shard and cancels the other attempts at that shard.
    fn answer(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.shard_states.get_mut(&shard) else { return };
        state.body = Some(body);
        let superseded = std::mem::take(&mut state.in_flight);
        for id in superseded {
            self.cancel(service, now, id, actions);
        }
    }

    fn close_all(&mut self) {
        for state in self.shard_states.values_mut() {
            state.closed = true;
        }
    }

    /// Finishes the search, or restarts it once on a newer snapshot, when no answer is awaited.
    fn finish_or_restart(
        &mut self,
        service: &mut Service,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.finished {
            return;
        }
        let awaited = |state: &ShardState| {
            !state.closed && state.body.is_none() && !state.in_flight.is_empty()
        };
        if self.shard_states.values().any(awaited) {
            return;
        }
        if self.may_restart(service, now) {
            return self.restart(service, now, actions);
        }
        self.finished = true;
        let in_flight: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for id in in_flight {
            self.may_have_run = true;
            self.cancel(service, now, id, actions);
        }
        actions.push(Action::Finish(self.outcome()));
    }

    fn may_restart(&self, service: &Service, now: Instant) -> bool {
        let missing = self.shard_states.values().any(|state| state.body.is_none());
        let newer = service.newest_pin() > self.pin;
        missing && self.snapshot_changed && newer && !self.restarted && now < self.request.deadline
    }

    fn restart(&mut self, service: &mut Service, now: Instant, actions: &mut Vec<Action>) {
        self.restarted = true;
        self.snapshot_changed = false;
        self.shard_states.clear();
        let pin = service.newest_pin();
        self.fan_out(service, now, pin, actions);
        self.finish_or_restart(service, now, actions);
    }

    fn outcome(&mut self) -> Outcome {
        let shard_states = std::mem::take(&mut self.shard_states);
        let mut results = BTreeMap::new();
        let mut missing = Vec::new();
        for (shard, state) in shard_states {
            match state.body {
                Some(body) => _ = results.insert(shard, body),
                None => missing.push(shard),
            }
        }
        let reason = std::mem::take(&mut self.reason);
        match self.pin {
            Some(pin) if !results.is_empty() && missing.is_empty() => {
                Outcome::Complete { pin, results }
            }
            Some(pin) if !results.is_empty() => Outcome::Partial { pin, results, missing },
            _ if self.may_have_run => Outcome::Unknown(reason),
            _ => Outcome::NotRun(reason),
        }
    }
}
