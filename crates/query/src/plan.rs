//! The state machine of one search.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::outcome::{Body, Outcome, PartOutcome, Reason};
use crate::service::{Pin, Service, Shard, UpstreamId};

/// Number of one part of one search.
pub type PartId = u32;

/// How a search goes to the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// To every shard, each part as often as the budget allows.
    Search,
    /// To one shard, found by the hash given, and never twice.
    Once(u64),
}

/// A search to be run.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How it goes to the shards.
    pub mode: Mode,
    /// Spreads searches over equal upstreams.
    pub seed: u64,
}

/// A part to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Number of the part.
    pub part: PartId,
    /// Owner to send it to.
    pub owner: Box<str>,
    /// Upstream that is to run it.
    pub upstream: UpstreamId,
    /// Shard that it asks for.
    pub shard: Shard,
    /// Snapshot that it asks for.
    pub pin: Pin,
}

/// What the shell around a plan must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a part.
    Send(Send),
    /// Cancel a part whose answer is no longer wanted.
    Cancel(PartId),
    /// Answer the caller; nothing follows.
    Finish(Outcome),
}

#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) shard: Shard,
    pub(crate) upstream: UpstreamId,
    pub(crate) sent: Instant,
    pub(crate) extra: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Slot {
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) live: Vec<PartId>,
    pub(crate) body: Option<Body>,
    pub(crate) hedged: bool,
    pub(crate) closed: bool,
}

/// One search.
#[derive(Debug)]
pub struct Plan {
    pub(crate) request: Request,
    pub(crate) pin: Option<Pin>,
    pub(crate) slots: BTreeMap<Shard, Slot>,
    pub(crate) parts: BTreeMap<PartId, Part>,
    pub(crate) next_part: PartId,
    pub(crate) restarted: bool,
    pub(crate) moved: bool,
    pub(crate) may_have_run: bool,
    pub(crate) congested: bool,
    pub(crate) reason: Reason,
    pub(crate) finished: bool,
    pub(crate) dropped_answers: u32,
    pub(crate) extra_parts: u32,
}

impl Plan {
    /// Starts a search.
    pub fn start(service: &mut Service, request: Request, now: Instant) -> (Self, Vec<Action>) {
        let mut plan = Self {
            request,
            pin: None,
            slots: BTreeMap::new(),
            parts: BTreeMap::new(),
            next_part: 0,
            restarted: false,
            moved: false,
            may_have_run: false,
            congested: false,
            reason: "no upstream of the service is reachable".into(),
            finished: false,
            dropped_answers: 0,
            extra_parts: 0,
        };
        let mut actions = Vec::new();
        let pin = service.pin();
        plan.fan_out(service, now, pin, &mut actions);
        plan.settle(service, now, &mut actions);
        (plan, actions)
    }

    /// Returns whether an owner refused a part for want of a slot.
    pub fn is_congested(&self) -> bool {
        self.congested
    }

    /// Returns the number of answers that were dropped as late, doubled or of another snapshot.
    pub fn dropped_answers(&self) -> u32 {
        self.dropped_answers
    }

    /// Returns the number of parts beyond one per shard.
    pub fn extra_parts(&self) -> u32 {
        self.extra_parts
    }

    /// Returns when [`Plan::tick`] is next due.
    pub fn next_tick(&self, service: &Service) -> Instant {
        let delay = service.delay.get();
        let open = self.slots.values().filter(|slot| !slot.hedged && slot.body.is_none());
        let sent = open.flat_map(|slot| slot.live.iter().filter_map(|id| self.parts.get(id)));
        let hedge = sent.map(|part| part.sent + delay).min();
        hedge.map_or(self.request.deadline, |at| at.min(self.request.deadline))
    }

    /// Takes what became of a part.
    pub fn on_part(
        &mut self,
        service: &mut Service,
        now: Instant,
        id: PartId,
        outcome: PartOutcome,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(part) = self.parts.remove(&id) else {
            // Late and doubled answers are the only ones without a part.
            self.dropped_answers += 1;
            return actions;
        };
        if let Some(slot) = self.slots.get_mut(&part.shard) {
            slot.live.retain(|live| *live != id);
        }
        match outcome {
            PartOutcome::Ran { snapshot, shard, shards, body } => {
                let latency = now.saturating_duration_since(part.sent);
                service.ended(now, &part.upstream, Some(latency));
                self.may_have_run = true;
                let pin = Pin { snapshot, shards };
                if self.accepts(service, pin, shard, part.shard) {
                    service.delay.record(now, latency);
                    self.answer(service, now, part.shard, body, &mut actions);
                } else {
                    service.learn(&part.upstream, snapshot, shard, shards);
                    self.dropped_answers += 1;
                    self.moved = true;
                    self.reason = "the index moved on".into();
                    self.resend(service, now, &part, true, &mut actions);
                }
            }
            PartOutcome::NotRun(reason) => {
                service.ended(now, &part.upstream, None);
                service.refused(now, &part.upstream);
                if part.extra {
                    self.extra_parts -= 1;
                    service.budget.refund();
                } else if reason.starts_with("busy") || reason.starts_with("queue") {
                    self.congested = true;
                }
                self.reason = reason;
                self.resend(service, now, &part, false, &mut actions);
            }
            PartOutcome::Unknown(reason) => {
                let waited = now.saturating_duration_since(part.sent);
                service.ended(now, &part.upstream, Some(waited * 2));
                self.may_have_run = true;
                self.reason = reason;
                if self.request.mode == Mode::Search {
                    self.resend(service, now, &part, true, &mut actions);
                }
            }
        }
        self.settle(service, now, &mut actions);
        actions
    }

    /// Hedges stragglers and ends the search at its deadline.
    pub fn tick(&mut self, service: &mut Service, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if now >= self.request.deadline {
            self.close_all();
            self.reason = "the deadline passed".into();
            self.settle(service, now, &mut actions);
            return actions;
        }
        if service.policy.hedges && self.request.mode == Mode::Search {
            self.hedge(service, now, &mut actions);
        }
        actions
    }

    fn accepts(&mut self, service: &Service, pin: Pin, shard: Shard, asked: Shard) -> bool {
        if let Mode::Once(_) = self.request.mode {
            // The one part that ran is the whole answer, whatever its snapshot.
            self.pin = Some(pin);
            return true;
        }
        !service.policy.pins || (self.pin == Some(pin) && shard == asked)
    }

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
            self.slots.insert(shard, Slot::default());
            if self.send(service, now, shard, false, actions) {
                service.budget.earn();
                self.warm_up(service, now, shard, actions);
            }
        }
    }

    fn answer(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.slots.get_mut(&shard) else { return };
        slot.body = Some(body);
        let losers = std::mem::take(&mut slot.live);
        for loser in losers {
            self.cancel(service, now, loser, actions);
        }
    }

    fn close_all(&mut self) {
        for slot in self.slots.values_mut() {
            slot.closed = true;
        }
    }

    /// Finishes, or starts once more on a newer snapshot, when nothing is awaited.
    fn settle(&mut self, service: &mut Service, now: Instant, actions: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        let awaited = |slot: &Slot| !slot.closed && slot.body.is_none() && !slot.live.is_empty();
        if self.slots.values().any(awaited) {
            return;
        }
        if self.may_restart(service, now) {
            return self.restart(service, now, actions);
        }
        self.finished = true;
        let live: Vec<PartId> = self.parts.keys().copied().collect();
        for id in live {
            self.may_have_run = true;
            self.cancel(service, now, id, actions);
        }
        actions.push(Action::Finish(self.outcome()));
    }

    fn may_restart(&self, service: &Service, now: Instant) -> bool {
        let missing = self.slots.values().any(|slot| slot.body.is_none());
        let newer = service.newest() > self.pin;
        missing && self.moved && newer && !self.restarted && now < self.request.deadline
    }

    fn restart(&mut self, service: &mut Service, now: Instant, actions: &mut Vec<Action>) {
        self.restarted = true;
        self.moved = false;
        self.slots.clear();
        let pin = service.newest();
        self.fan_out(service, now, pin, actions);
        self.settle(service, now, actions);
    }

    fn outcome(&mut self) -> Outcome {
        let slots = std::mem::take(&mut self.slots);
        let mut results = BTreeMap::new();
        let mut missing = Vec::new();
        for (shard, slot) in slots {
            match slot.body {
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
