//! Local copy of the store's entries.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use table::{Resource, Upstream, UpstreamId, View};

use crate::batch::{Batch, Item, Removal};
use crate::departure::Departure;
use crate::position::Position;
use crate::{Era, Revision};

/// Grace period after an outage of the store during which entries whose leases expired stay in the
/// view. Running owners register again within two seconds; the rest covers the propagation of their
/// entries.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// Maximum number of revisions whose removals are kept for followers; a follower that lags further
/// behind gets all entries.
const MAX_REMOVALS: usize = 4_096;

/// Time for which removed entries of upstreams and hosts are remembered. It is longer than the store
/// may go back, so that an older copy of the store does not return them.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// Time for which a departure is remembered after the last answer that has stated it.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);

/// Decodes an entry, given its key and value.
pub type Decode = fn(&str, &str) -> Resource;

#[derive(Clone, Debug)]
struct Entry {
    revision: Revision,
    value: Box<str>,
    resource: Resource,
}

/// A removed entry that stays in the view for a grace period, because its lease may have expired
/// due to an outage of the store.
#[derive(Clone, Debug)]
struct ExpiredEntry {
    resource: Resource,
    /// End of the grace period; fixed at the removal, so that later outages do not extend it.
    until: Instant,
}

/// The last known state of a removed entry.
#[derive(Clone, Debug)]
struct Tombstone {
    resource: Resource,
    removed_at: Instant,
}

/// A copy of the store's entries, whose position never goes back.
///
/// When the store comes back from an older copy of itself, a new era begins. The mirror then takes
/// over the store's entries and revisions, but no entry that its writer had replaced or removed
/// before; see `docs/design/platform.md`.
#[derive(Debug)]
pub struct Mirror {
    decode: Decode,
    era: Era,
    /// Whether the store has come back from an older copy since this mirror was created.
    restored: bool,
    /// Whether all entries have to be read, because changes of a later era have been seen.
    incomplete: bool,
    entries: BTreeMap<Box<str>, Entry>,
    expired: BTreeMap<Box<str>, ExpiredEntry>,
    tombstones: BTreeMap<Box<str>, Tombstone>,
    /// Upstreams that have stated in answers that they are leaving: the start of the process, and
    /// when it was stated.
    departures: BTreeMap<UpstreamId, (u64, Instant)>,
    removals: BTreeMap<Revision, BTreeSet<Box<str>>>,
    compacted: Revision,
    revision: Revision,
    grace_until: Option<Instant>,
}

impl Mirror {
    /// Creates an empty copy whose entries are decoded by `decode`.
    pub fn new(decode: Decode) -> Self {
        Self {
            decode,
            era: 0,
            restored: false,
            incomplete: false,
            entries: BTreeMap::new(),
            expired: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            departures: BTreeMap::new(),
            removals: BTreeMap::new(),
            compacted: 0,
            revision: 0,
            grace_until: None,
        }
    }

    /// Returns the position up to which the copy is complete, with revision 0 before the first
    /// batch.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    /// Returns the position after which changes are to be read next. Its revision is 0 if all
    /// entries have to be read.
    pub fn read_position(&self) -> Position {
        let revision = if self.incomplete { 0 } else { self.revision };
        Position { era: self.era, revision }
    }

    /// Returns whether a source in the given era cannot bring this copy up to date, because the
    /// store has come back from an older copy since.
    ///
    /// A source that does not state its era, such as a host of an earlier version, does not notice
    /// a new era. It is outdated once this mirror has seen one begin.
    pub fn is_outdated(&self, era: Era) -> bool {
        if era == 0 { self.restored } else { era < self.era }
    }

    /// Records that the store is available again after an outage.
    ///
    /// This starts a grace period of 2.2 s, in which removed entries stay in the view until their
    /// owners have had time to register again.
    pub fn store_recovered(&mut self, now: Instant) {
        self.extend_grace_period(now, EXPIRY_GRACE);
    }

    /// Records that the store may have been unavailable. This starts the same grace period, but one
    /// of at most `max_grace`; see [`Freshness::max_grace`](crate::Freshness::max_grace).
    pub fn store_may_have_recovered(&mut self, now: Instant, max_grace: Duration) {
        self.extend_grace_period(now, EXPIRY_GRACE.min(max_grace));
    }

    /// Extends the grace period to at least `grace` from now. A `grace` of zero has no effect.
    ///
    /// Entries of upstreams and hosts that are removed during the grace period stay in the view
    /// until its end as known at their removal; later extensions do not affect them. A follower
    /// passes the [remaining grace](Self::grace_remaining) of its source, to keep such entries for
    /// as long.
    pub fn extend_grace_period(&mut self, now: Instant, grace: Duration) {
        if !grace.is_zero() {
            self.grace_until = self.grace_until.max(Some(now + grace));
        }
    }

    /// Returns the time left of the grace period, or zero outside of one.
    pub fn grace_remaining(&self, now: Instant) -> Duration {
        self.grace_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Applies a batch and returns whether any entry changed. Changes that are older than the copy
    /// are ignored, so batches may come from several sources.
    ///
    /// Changes of a later era are ignored, too, until all entries of that era are read.
    pub fn apply(&mut self, now: Instant, batch: Batch) -> bool {
        if self.is_outdated(batch.era) {
            return false;
        }
        if batch.era > self.era {
            if batch.full {
                return self.begin_era(now, batch);
            }
            self.incomplete = true;
            return false;
        }
        let mut changed = false;
        if batch.full {
            self.incomplete = false;
            changed |= self.remove_missing(now, &batch);
        }
        // A key may be written and removed within one batch, so changes are applied by revision.
        let mut removes = batch.removes;
        removes.sort_by_key(|removal| removal.revision);
        let mut removes = removes.into_iter().peekable();
        let mut puts = batch.puts;
        puts.sort_by_key(|item| item.revision);
        for item in puts {
            while let Some(removal) = removes.next_if(|next| next.revision < item.revision) {
                changed |= self.remove(now, &removal.key, removal.revision);
            }
            changed |= self.put(item);
        }
        for removal in removes {
            changed |= self.remove(now, &removal.key, removal.revision);
        }
        self.revision = self.revision.max(batch.revision);
        changed
    }

    /// Records that an upstream has stated that it is leaving, which its entry in the store may not
    /// say. It stays out of the view until another process has its id. Returns whether this was not
    /// known.
    pub fn record_departure(&mut self, now: Instant, departure: Departure) -> bool {
        let Departure { upstream, started_ms } = departure;
        let known = self.departures.insert(upstream, (started_ms, now));
        known.is_none_or(|(known, _)| known != started_ms)
    }

    /// Drops the expired entries whose owners did not register again within the grace period.
    /// Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.tombstones.retain(|_, tombstone| now < tombstone.removed_at + TOMBSTONE_TTL);
        self.departures.retain(|_, (_, stated_at)| now < *stated_at + DEPARTURE_TTL);
        let before = self.expired.len();
        self.expired.retain(|_, expired| now < expired.until);
        self.expired.len() < before
    }

    /// Returns when [`expire`](Self::expire) next drops an entry, or `None` if there is no expired
    /// entry.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expired.values().map(|expired| expired.until).min()
    }

    /// Returns the changes after a position, or all entries if the removals since then are no
    /// longer kept or the position is in an earlier era. The batch is empty if this copy is not
    /// later.
    pub fn since(&self, after: Position) -> Batch {
        if !self.position().is_after(after) {
            return Batch { era: self.era, ..Batch::default() };
        }
        let Position { era, revision: after } = after;
        let is_earlier_era = era != 0 && era < self.era;
        let full = after == 0 || after < self.compacted || is_earlier_era;
        let after = if full { 0 } else { after };
        let newer = self.entries.iter().filter(|(_, entry)| entry.revision > after);
        let puts = newer.map(|(key, entry)| Item {
            key: key.clone(),
            value: entry.value.clone(),
            revision: entry.revision,
        });
        let mut removes = Vec::new();
        if !full {
            for (revision, keys) in self.removals.range(after + 1..) {
                let removal = |key| Removal { key, revision: *revision };
                removes.extend(keys.iter().cloned().map(removal));
            }
        }
        Batch { full, era: self.era, revision: self.revision, puts: puts.collect(), removes }
    }

    /// Returns whether the store has an entry with this key; expired entries do not count.
    pub fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns whether the store has an entry with this key and value.
    pub fn contains_value(&self, key: &str, value: &str) -> bool {
        self.entries.get(key).is_some_and(|entry| *entry.value == *value)
    }

    /// Returns the revision of the last change to an entry, if there is one.
    pub fn entry_revision(&self, key: &str) -> Option<Revision> {
        self.entries.get(key).map(|entry| entry.revision)
    }

    /// Returns the entries of the hosts that `registrar` has registered, with their revisions.
    pub fn registered_by<'a>(
        &'a self,
        registrar: &'a str,
    ) -> impl Iterator<Item = (&'a str, Revision)> {
        self.entries.iter().filter_map(move |(key, entry)| match &entry.resource {
            Resource::Host(host) if host.registrar.as_deref() == Some(registrar) => {
                Some((&**key, entry.revision))
            }
            _ => None,
        })
    }

    /// Returns whether this copy knows of no change to an entry after the given revision.
    pub fn is_unchanged_since(&self, key: &str, revision: Revision) -> bool {
        match self.entries.get(key) {
            Some(entry) => entry.revision <= revision,
            None => self.revision < revision,
        }
    }

    /// Builds the view of all entries, including expired ones in their grace period.
    pub fn view(&self) -> Arc<View> {
        let present = self.entries.values().map(|entry| &entry.resource);
        let expired = self.expired.values().map(|expired| &expired.resource);
        Arc::new(View::new(present.chain(expired), |upstream| self.is_leaving(upstream)))
    }

    fn is_leaving(&self, upstream: &Upstream) -> bool {
        let departure = self.departures.get(&upstream.id);
        upstream.draining
            || departure.is_some_and(|(started_ms, _)| *started_ms == upstream.started_ms)
    }

    fn put(&mut self, item: Item) -> bool {
        // All changes up to the own revision have been applied, so an entry that is missing here
        // was removed.
        let known = self.entries.get(&item.key).map_or(self.revision, |entry| entry.revision);
        if known >= item.revision {
            return false;
        }
        let resource = (self.decode)(&item.key, &item.value);
        let previous = self.entries.get(&item.key).map(|entry| &entry.resource);
        if previous.is_some_and(|previous| is_regression(previous, &resource)) {
            return false;
        }
        self.insert(item, resource);
        true
    }

    fn insert(&mut self, item: Item, resource: Resource) {
        let Item { key, value, revision } = item;
        self.expired.remove(&key);
        self.tombstones.remove(&key);
        self.entries.insert(key, Entry { revision, value, resource });
    }

    /// Replaces all entries by those of a later era. What their writers had replaced or removed
    /// before is not taken over, and entries that the store has lost stay in the view until their
    /// writers have had time to write them again.
    fn begin_era(&mut self, now: Instant, batch: Batch) -> bool {
        // Without an era the entries came from hosts of an earlier version, and not from an earlier
        // state of the store.
        if self.era != 0 {
            self.restored = true;
            self.extend_grace_period(now, EXPIRY_GRACE);
        }
        let Batch { era, revision, puts, .. } = batch;
        (self.era, self.revision, self.compacted) = (era, revision, revision);
        self.incomplete = false;
        self.removals.clear();
        let mut known = std::mem::take(&mut self.entries);
        for item in puts {
            let resource = (self.decode)(&item.key, &item.value);
            match known.remove(&item.key) {
                Some(entry) if is_older(&resource, &entry.resource) => {
                    let entry = Entry { revision: item.revision, ..entry };
                    self.entries.insert(item.key, entry);
                }
                None if self.is_buried(&item.key, &resource) => {}
                _ => self.insert(item, resource),
            }
        }
        for (key, entry) in known {
            if matches!(entry.resource, Resource::Config(_)) {
                self.entries.insert(key, Entry { revision, ..entry });
            } else {
                self.retain_expired(now, key, entry.resource);
            }
        }
        true
    }

    /// Returns whether an entry was removed since it was written, as far as its content tells.
    fn is_buried(&self, key: &str, resource: &Resource) -> bool {
        self.tombstones.get(key).is_some_and(|tombstone| {
            resource.compare(&tombstone.resource) != Some(Ordering::Greater)
        })
    }

    /// Keeps a removed entry in the view until the end of the grace period, if there is one.
    fn retain_expired(&mut self, now: Instant, key: Box<str>, resource: Resource) {
        if matches!(resource, Resource::Strike(_) | Resource::Unusable) {
            return;
        }
        if let Some(until) = self.grace_until.filter(|until| now < *until) {
            self.expired.insert(key, ExpiredEntry { resource, until });
        }
    }

    fn remove(&mut self, now: Instant, key: &str, revision: Revision) -> bool {
        match self.entries.get(key) {
            Some(entry) if entry.revision < revision => {}
            _ => return false,
        }
        if matches!(self.entries[key].resource, Resource::Config(_)) {
            return false;
        }
        let (key, entry) = self.entries.remove_entry(key).expect("the entry was found above");
        self.removals.entry(revision).or_default().insert(key.clone());
        while self.removals.len() > MAX_REMOVALS {
            let (oldest, _) = self.removals.pop_first().expect("there are more than the maximum");
            self.compacted = oldest;
        }
        if matches!(entry.resource, Resource::Upstream(_) | Resource::Host(_)) {
            let tombstone = Tombstone { resource: entry.resource.clone(), removed_at: now };
            self.tombstones.insert(key.clone(), tombstone);
            self.retain_expired(now, key, entry.resource);
        }
        true
    }

    fn remove_missing(&mut self, now: Instant, batch: &Batch) -> bool {
        let listed: BTreeSet<&str> = batch.puts.iter().map(|item| &*item.key).collect();
        let known = self.entries.iter().filter(|(_, entry)| entry.revision <= batch.revision);
        let keys = known.map(|(key, _)| key.clone());
        let missing: Vec<_> = keys.filter(|key| !listed.contains(&**key)).collect();
        let mut changed = false;
        for key in missing {
            changed |= self.remove(now, &key, batch.revision + 1);
        }
        changed
    }
}

/// Returns whether an entry must not replace `previous`: a configuration neither reverts nor becomes
/// one that cannot be decoded.
fn is_regression(previous: &Resource, next: &Resource) -> bool {
    matches!(previous, Resource::Config(_)) && is_older(next, previous)
}

/// Returns whether the writer of an entry has replaced it by `known`.
fn is_older(resource: &Resource, known: &Resource) -> bool {
    let is_undecodable = matches!((resource, known), (Resource::Unusable, Resource::Config(_)));
    is_undecodable || resource.compare(known) == Some(Ordering::Less)
}
