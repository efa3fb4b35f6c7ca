//! Attempts at the parts of a search: first attempts, retries, hedges and warm-up copies.

use std::time::Instant;

use crate::plan::{Action, Attempt, AttemptId, Mode, Plan, SendAttempt};
use crate::service::{Phase, Pin, Service, Shard, UpstreamId};

/// Fraction of the attempt budget that warm-up copies leave to hedges and retries.
const WARMUP_RESERVE_RATIO: f64 = 0.5;

impl Plan {
    /// Sends the part of `shard` to the best upstream that has not been tried yet.
    ///
    /// Returns whether there was such an upstream. `extra` tells whether the attempt counts as an
    /// extra one.
    pub(crate) fn send_to_best(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        extra: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(pin), Some(state)) = (self.pin, self.shard_states.get(&shard)) else {
            return false;
        };
        let seed = self.request.seed;
        let chosen = service.choose(now, pin, shard, &state.tried, seed).cloned();
        let Some(chosen) = chosen else { return false };
        self.dispatch(service, now, shard, chosen.upstream, chosen.owner, extra, actions);
        true
    }

    /// Records an attempt at `upstream` and adds the action that sends it.
    #[allow(clippy::too_many_arguments, reason = "internal step with three call sites")]
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
        let (Some(pin), Some(state)) = (self.pin, self.shard_states.get_mut(&shard)) else {
            return;
        };
        let id = self.next_id;
        self.next_id += 1;
        state.tried.push(upstream.clone());
        state.in_flight.push(id);
        service.record_sent(&upstream);
        self.extra_attempts += u32::from(extra);
        self.attempts.insert(id, Attempt { shard, upstream: upstream.clone(), sent: now, extra });
        actions.push(Action::Send(SendAttempt { id, owner, upstream, shard, pin }));
    }

    /// Sends a copy of a new part to an upstream that is not warm yet.
    ///
    /// The upstream warms up on the copy while the caller gets the answer of another upstream.
    pub(crate) fn send_warmup_copy(
        &mut self,
        service: &mut Service,
        now: Instant,
        shard: Shard,
        actions: &mut Vec<Action>,
    ) {
        let enabled = service.policy.slow_start && service.policy.hedging;
        if !enabled || self.request.mode != Mode::Search {
            return;
        }
        let (Some(pin), Some(state)) = (self.pin, self.shard_states.get(&shard)) else { return };
        let Some(candidate) = service.warmup_candidate(pin, shard, &state.tried).cloned() else {
            return;
        };
        if service.budget.spend_above(WARMUP_RESERVE_RATIO) {
            self.dispatch(service, now, shard, candidate.upstream, candidate.owner, true, actions);
        }
    }

    /// Cancels an attempt and, unless it is an extra one, records its elapsed time as a lower bound
    /// of its latency.
    pub(crate) fn cancel(
        &mut self,
        service: &mut Service,
        now: Instant,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        // A cancelled first attempt would have taken at least this long. An extra attempt is
        // expected to be slow, so its time is left out.
        let elapsed = now.saturating_duration_since(attempt.sent);
        let latency = (!attempt.extra).then_some(elapsed);
        service.record_end(now, &attempt.upstream, latency);
        actions.push(Action::Cancel(id));
    }

    /// Sends a failed part to another upstream.
    ///
    /// `uses_budget` tells that an upstream may have run the failed attempt, so that the retry
    /// takes a token from the attempt budget. Such a part of an at-most-once request is not
    /// retried.
    pub(crate) fn retry(
        &mut self,
        service: &mut Service,
        now: Instant,
        attempt: &Attempt,
        uses_budget: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.shard_states.get(&attempt.shard) else { return };
        let unneeded = state.closed || state.body.is_some() || !state.in_flight.is_empty();
        if unneeded || now >= self.request.deadline {
            return;
        }
        let at_most_once = self.request.mode != Mode::Search;
        if uses_budget && (at_most_once || !service.budget.spend()) {
            return;
        }
        self.send_to_best(service, now, attempt.shard, uses_budget, actions);
    }

    /// Sends a second attempt for each shard whose attempt has been in flight for the hedge delay.
    pub(crate) fn hedge(&mut self, service: &mut Service, now: Instant, actions: &mut Vec<Action>) {
        let delay = service.hedge_delay.get();
        let late = |attempt: &Attempt| now >= attempt.sent + delay;
        let due: Vec<Shard> = self
            .shard_states
            .iter()
            .filter(|(_, state)| !state.hedged && !state.closed && state.body.is_none())
            .filter(|(_, s)| s.in_flight.iter().any(|id| self.attempts.get(id).is_some_and(late)))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            let Some(state) = self.shard_states.get_mut(&shard) else { continue };
            state.hedged = true;
            let pin = self.pin.unwrap_or(Pin { snapshot: 0, shards: 0 });
            // Cold upstreams get no hedges: they are slower than most stragglers and must not be
            // loaded.
            let best = |tried: &[UpstreamId]| {
                let best = service.choose(now, pin, shard, tried, self.request.seed);
                best.filter(|candidate| candidate.phase != Phase::Cold).cloned()
            };
            // Without another replica, the hedge uses another slot and connection of the same
            // upstream.
            let Some(replica) = best(&state.tried).or_else(|| best(&[])) else { continue };
            if service.budget.spend() {
                self.dispatch(service, now, shard, replica.upstream, replica.owner, true, actions);
            }
        }
    }
}
