//! Whether enough shards can be asked in time, before any of them is.

use std::time::Instant;

/// When the shards of a query take requests; none for a shard without upstreams.
///
/// A failure domain that returns leaves many shards with cold upstreams only, which take next to
/// nothing for seconds. A query that needs them is better refused at once, with the time at which it
/// can be served, than held until its deadline.
#[derive(Clone, Debug)]
pub struct Availability(Vec<Option<Instant>>);

impl Availability {
    /// Takes the time from which each shard takes requests.
    pub fn new(shards: impl IntoIterator<Item = Option<Instant>>) -> Self {
        Self(shards.into_iter().collect())
    }

    /// Returns the shards that take no request by `last`.
    pub fn unavailable_by(&self, last: Instant) -> impl Iterator<Item = usize> {
        let closed = move |opens: &Option<Instant>| opens.is_none_or(|opens| opens > last);
        self.0.iter().enumerate().filter(move |(_, opens)| closed(opens)).map(|(shard, _)| shard)
    }

    /// Returns when `least` shards take requests, if that is known.
    pub fn available_at(&self, least: usize) -> Option<Instant> {
        let mut known: Vec<_> = self.0.iter().flatten().copied().collect();
        known.sort_unstable();
        known.get(least.checked_sub(1)?).copied()
    }
}
