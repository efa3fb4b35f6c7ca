//! The state machine of one search.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::outcome::{Body, Outcome, PartOutcome, Reason};
use crate::service::{Pin, Service, Shard, UpstreamId, Warmth};

/// Number of one part of one search.
pub type PartId = u32;

/// Share of the budget that warm-up copies leave to hedges.
const COPY_RESERVE: f64 = 0.5;

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
struct Part {
    shard: Shard,
    upstream: UpstreamId,
    sent: Instant,
    extra: bool,
}

#[derive(Debug, Default)]
struct Slot {
    tried: Vec<UpstreamId>,
    live: Vec<PartId>,
    body: Option<Body>,
    hedged: bool,
    closed: bool,
}

/// One search.
#[derive(Debug)]
pub struct Plan {
    request: Request,
    pin: Option<Pin>,
    slots: BTreeMap<Shard, Slot>,
    parts: BTreeMap<PartId, Part>,
    next_part: PartId,
    restarted: bool,
    moved: bool,
    may_have_run: bool,
    congested: bool,
    reason: Reason,
    finished: bool,
    dropped: u32,
    extra: u32,
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
            dropped: 0,
            extra: 0,
        };
        let mut actions = Vec::new();
        let pin = service.pin();
        plan.fan_out(service, now, pin, &mut actions);
        plan.settle(service, now, &mut actions);
        (plan, actions)
    }

    /// Returns whether [`Action::Finish`] has been given.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether an owner refused a part for want of a slot.
    pub fn is_congested(&self) -> bool {
        self.congested
    }

    /// Returns the number of answers that were dropped as late, doubled or of another snapshot.
    pub fn dropped(&self) -> u32 {
        self.dropped
    }

    /// Returns the number of parts beyond one per shard.
    pub fn extra(&self) -> u32 {
        self.extra
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
            self.dropped += 1;
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
                    self.dropped += 1;
                    self.moved = true;
                    self.reason = "the index moved on".into();
                    self.resend(service, now, &part, true, &mut actions);
                }
            }
            PartOutcome::NotRun(reason) => {
                service.ended(now, &part.upstream, None);
                service.refused(now, &part.upstream);
                if part.extra {
                    self.extra -= 1;
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

    /// Sends a part to the best upstream left; returns whether there was one.
    fn send(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        extra: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(pin), Some(slot)) = (self.pin, self.slots.get(&shard)) else { return false };
        let seed = self.request.seed;
        let chosen = service.choose(now, pin, shard, &slot.tried, seed).cloned();
        let Some(chosen) = chosen else { return false };
        self.dispatch(service, now, shard, chosen.upstream, chosen.owner, extra, actions);
        true
    }

    #[allow(clippy::too_many_arguments, reason = "one step of a send, called from two places")]
    fn dispatch(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        upstream: UpstreamId,
        owner: Box<str>,
        extra: bool,
        actions: &mut Vec<Action>,
    ) {
        let (Some(pin), Some(slot)) = (self.pin, self.slots.get_mut(&shard)) else { return };
        let part = self.next_part;
        self.next_part += 1;
        slot.tried.push(upstream.clone());
        slot.live.push(part);
        service.sent(&upstream);
        self.extra += u32::from(extra);
        self.parts.insert(part, Part { shard, upstream: upstream.clone(), sent: now, extra });
        actions.push(Action::Send(Send { part, owner, upstream, shard, pin }));
    }

    /// Sends a copy of a fresh part to a cold upstream, which proves itself without delaying
    /// anybody.
    fn warm_up(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        actions: &mut Vec<Action>,
    ) {
        let warming = service.policy.ramps && service.policy.hedges;
        if !warming || self.request.mode != Mode::Search {
            return;
        }
        let (Some(pin), Some(slot)) = (self.pin, self.slots.get(&shard)) else { return };
        let Some(cold) = service.unproved(pin, shard, &slot.tried).cloned() else { return };
        if service.budget.spend_above(COPY_RESERVE) {
            self.dispatch(service, now, shard, cold.upstream, cold.owner, true, actions);
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

    fn cancel(
        &mut self,
        service: &mut Service,
        now: Instant,
        id: PartId,
        actions: &mut Vec<Action>,
    ) {
        let Some(part) = self.parts.remove(&id) else { return };
        // The loser would have taken at least this long; a copy's slowness is expected.
        let waited = now.saturating_duration_since(part.sent);
        let latency = (!part.extra).then_some(waited);
        service.ended(now, &part.upstream, latency);
        actions.push(Action::Cancel(id));
    }

    /// Sends a failed part elsewhere, against the budget where it may have cost an upstream work.
    fn resend(
        &mut self,
        service: &mut Service,
        now: Instant,
        part: &Part,
        costs: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.slots.get(&part.shard) else { return };
        let needless = slot.closed || slot.body.is_some() || !slot.live.is_empty();
        if needless || now >= self.request.deadline {
            return;
        }
        let once = self.request.mode != Mode::Search;
        if costs && (once || !service.budget.spend()) {
            return;
        }
        self.send(service, now, part.shard, costs, actions);
    }

    fn hedge(&mut self, service: &mut Service, now: Instant, actions: &mut Vec<Action>) {
        let delay = service.delay.get();
        let late = |part: &Part| now >= part.sent + delay;
        let due: Vec<Shard> = self
            .slots
            .iter()
            .filter(|(_, slot)| !slot.hedged && !slot.closed && slot.body.is_none())
            .filter(|(_, s)| s.live.iter().any(|id| self.parts.get(id).is_some_and(late)))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            let Some(slot) = self.slots.get_mut(&shard) else { continue };
            slot.hedged = true;
            let pin = self.pin.unwrap_or(Pin { snapshot: 0, shards: 0 });
            let other = service.choose(now, pin, shard, &slot.tried, self.request.seed);
            // Without another replica, another slot and connection of the same one is left.
            let other = other.or_else(|| service.choose(now, pin, shard, &[], self.request.seed));
            let Some(other) = other.cloned() else { continue };
            // A cold upstream is slower than most stragglers, and must be spared.
            if other.warmth != Warmth::Cold && service.budget.spend() {
                self.dispatch(service, now, shard, other.upstream, other.owner, true, actions);
            }
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
