//! Check, before a query is sent, whether enough shards can answer in time.

use std::time::Instant;

/// For each shard of a query, the earliest time at which it can get a request; `None` for a shard
/// without upstreams.
///
/// When a failure domain returns, many shards have cold upstreams only, which accept almost no
/// requests for seconds. It is better to refuse a query that needs these shards at once, and to say
/// when it can be served, than to hold it until its deadline.
#[derive(Clone, Debug)]
pub struct Availability(Vec<Option<Instant>>);

impl Availability {
    /// Creates the availability from the time at which each shard can get a request.
    pub fn new(shards: impl IntoIterator<Item = Option<Instant>>) -> Self {
        Self(shards.into_iter().collect())
    }

    /// Returns the indices of the shards that cannot get a request by `last`.
    pub fn unavailable_by(&self, last: Instant) -> impl Iterator<Item = usize> {
        let unavailable = move |at: &Option<Instant>| at.is_none_or(|at| at > last);
        self.0.iter().enumerate().filter(move |(_, at)| unavailable(at)).map(|(shard, _)| shard)
    }

    /// Returns the earliest time at which `min` shards can get a request, or `None` if fewer shards
    /// have upstreams or `min` is 0.
    pub fn available_at(&self, min: usize) -> Option<Instant> {
        let mut known: Vec<_> = self.0.iter().flatten().copied().collect();
        known.sort_unstable();
        known.get(min.checked_sub(1)?).copied()
    }
}
