//! Choice among the replicas of one shard or service.

use std::time::{Duration, Instant};

use crate::replica::Replica;

/// A replica that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its state.
    pub replica: &'a Replica,
    /// What reaching it costs beyond the request itself, such as the way to another domain.
    pub added_latency: Duration,
}

/// Returns the index of the candidate with the least expected time, or `None` if none may be used.
///
/// Candidates that could not be reached lately are taken only when there is no other. `draw` breaks
/// ties, so that hosts do not all favour the same replica.
pub fn choose(
    now: Instant,
    typical: Duration,
    candidates: &[Candidate<'_>],
    draw: u64,
) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(draw % count.max(1) as u64).unwrap_or(0);
    let order = (0..count).map(|offset| (start + offset) % count);
    order.filter(|index| candidates[*index].replica.is_usable(now)).min_by_key(|index| {
        let Candidate { replica, added_latency } = candidates[*index];
        (replica.is_ejected(now), replica.cost(now, typical) + added_latency)
    })
}
