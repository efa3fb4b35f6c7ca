//! Choice among the replicas of one shard or service, or among the relays of one failure domain.

use std::time::{Duration, Instant};

use crate::replica::Replica;

/// A replica that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// State of the replica.
    pub replica: &'a Replica,
    /// Penalty that is added to the cost of the replica, such as for the latency and the bytes of
    /// a request to another failure domain.
    pub penalty: Duration,
    /// Whether a connection to the replica is available. Otherwise the request waits for one.
    pub has_room: bool,
}

/// Returns the index of the candidate with the lowest sum of [`Replica::cost`] and penalty, or
/// `None` if no candidate is [usable](Replica::is_usable) or has room.
///
/// `typical` is the response time of the request at an idle replica. An ejected candidate is chosen
/// only if all usable candidates are ejected: when the others have no room, it is better to wait for
/// them than to use up attempts at a replica that is probably gone. `random` breaks ties, so that
/// different hosts do not all prefer the same replica.
pub fn choose(
    now: Instant,
    typical: Duration,
    candidates: &[Candidate<'_>],
    random: u64,
) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(random % count.max(1) as u64).unwrap_or(0);
    let order = (0..count).map(|offset| (start + offset) % count);
    let usable: Vec<_> = order.filter(|index| candidates[*index].replica.is_usable(now)).collect();
    let is_ejected = |index: &usize| candidates[*index].replica.is_ejected(now);
    let all_ejected = usable.iter().all(is_ejected);
    let allowed = usable.into_iter().filter(|index| all_ejected || !is_ejected(index));
    let available = allowed.filter(|index| candidates[*index].has_room);
    available.min_by_key(|index| {
        let Candidate { replica, penalty, .. } = candidates[*index];
        replica.cost(now, typical) + penalty
    })
}
