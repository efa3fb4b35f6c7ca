//! Copies of parts: the first one, resends, hedges and warm-up copies.

use std::time::Instant;

use crate::plan::{Action, Mode, Part, PartId, Plan, Send};
use crate::service::{Phase, Pin, Service, Shard, UpstreamId};

/// Share of the budget that warm-up copies leave to hedges.
const COPY_RESERVE: f64 = 0.5;

impl Plan {
    /// Sends a part to the best upstream left; returns whether there was one.
    pub(crate) fn send(
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
    pub(crate) fn dispatch(
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
        self.extra_parts += u32::from(extra);
        self.parts.insert(part, Part { shard, upstream: upstream.clone(), sent: now, extra });
        actions.push(Action::Send(Send { part, owner, upstream, shard, pin }));
    }

    /// Sends a copy of a fresh part to a cold upstream, which proves itself without delaying
    /// anybody.
    pub(crate) fn warm_up(
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

    pub(crate) fn cancel(
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
    pub(crate) fn resend(
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

    pub(crate) fn hedge(&mut self, service: &mut Service, now: Instant, actions: &mut Vec<Action>) {
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
            // A cold upstream is slower than most stragglers, and must be spared.
            let best = |tried: &[UpstreamId]| {
                let best = service.choose(now, pin, shard, tried, self.request.seed);
                best.filter(|candidate| candidate.phase != Phase::Cold).cloned()
            };
            // Without another replica, another slot and connection of the same one is left.
            let Some(other) = best(&slot.tried).or_else(|| best(&[])) else { continue };
            if service.budget.spend() {
                self.dispatch(service, now, shard, other.upstream, other.owner, true, actions);
            }
        }
    }
}
