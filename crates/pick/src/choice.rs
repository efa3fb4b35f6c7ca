//! Choice among the replicas of one shard or service.

use std::time::{Duration, Instant};

use crate::replica::Replica;

/// A replica that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// State of the replica.
    pub replica: &'a Replica,
    /// Time that is added to the expected response time, such as for the way to another failure
    /// domain.
    pub penalty: Duration,
}

/// Returns the index of the candidate with the lowest expected response time, or `None` if no
/// candidate may get a request.
///
/// An ejected candidate is chosen only if all usable candidates are ejected. `random` breaks ties,
/// so that different hosts do not all prefer the same replica.
pub fn choose(
    now: Instant,
    typical: Duration,
    candidates: &[Candidate<'_>],
    random: u64,
) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(random % count.max(1) as u64).unwrap_or(0);
    let order = (0..count).map(|offset| (start + offset) % count);
    order.filter(|index| candidates[*index].replica.is_usable(now)).min_by_key(|index| {
        let Candidate { replica, penalty } = candidates[*index];
        (replica.is_ejected(now), replica.cost(now, typical) + penalty)
    })
}
