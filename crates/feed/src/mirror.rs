//! Local copy of the store's entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use table::{Resource, View};

use crate::Revision;
use crate::batch::{Batch, Item, Removal};

/// Grace period after an outage of the store during which entries whose leases expired stay in the
/// view. Running owners register again within two seconds; the rest covers the propagation of their
/// entries.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// Maximum number of revisions whose removals are kept for followers; a follower that lags further
/// behind gets all entries.
const MAX_REMOVALS: usize = 4_096;

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

/// A copy of the store's entries, whose revision never decreases.
#[derive(Debug)]
pub struct Mirror {
    decode: Decode,
    entries: BTreeMap<Box<str>, Entry>,
    expired: BTreeMap<Box<str>, ExpiredEntry>,
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
            entries: BTreeMap::new(),
            expired: BTreeMap::new(),
            removals: BTreeMap::new(),
            compacted: 0,
            revision: 0,
            grace_until: None,
        }
    }

    /// Returns the revision up to which the copy is complete, or 0 before the first batch.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that the store is available again after an outage.
    ///
    /// This starts a grace period of 2.2 s, in which removed entries stay in the view until their
    /// owners have had time to register again.
    pub fn store_recovered(&mut self, now: Instant) {
        self.extend_grace_period(now, EXPIRY_GRACE);
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
    pub fn apply(&mut self, now: Instant, batch: Batch) -> bool {
        let mut changed = false;
        if batch.full {
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

    /// Drops the expired entries whose owners did not register again within the grace period.
    /// Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.expired.len();
        self.expired.retain(|_, expired| now < expired.until);
        self.expired.len() < before
    }

    /// Returns when [`expire`](Self::expire) next drops an entry, or `None` if there is no expired
    /// entry.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expired.values().map(|expired| expired.until).min()
    }

    /// Returns the changes after a revision, or all entries if the removals since then are no
    /// longer kept.
    pub fn since(&self, after: Revision) -> Batch {
        let full = after == 0 || after < self.compacted;
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
        Batch { full, era: 0, revision: self.revision, puts: puts.collect(), removes }
    }

    /// Returns whether the store has an entry with this key; expired entries do not count.
    pub fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Builds the view of all entries, including expired ones in their grace period.
    pub fn view(&self) -> Arc<View> {
        let present = self.entries.values().map(|entry| &entry.resource);
        let expired = self.expired.values().map(|expired| &expired.resource);
        Arc::new(View::new(present.chain(expired)))
    }

    fn put(&mut self, item: Item) -> bool {
        // All changes up to the own revision have been applied, so an entry that is missing here
        // was removed.
        let known = self.entries.get(&item.key).map_or(self.revision, |entry| entry.revision);
        if known >= item.revision {
            return false;
        }
        let resource = (self.decode)(&item.key, &item.value);
        if let (Resource::Unusable, Some(Resource::Config(_))) =
            (&resource, self.entries.get(&item.key).map(|entry| &entry.resource))
        {
            // A configuration that cannot be decoded must not replace the last valid one.
            return false;
        }
        self.expired.remove(&item.key);
        let entry = Entry { revision: item.revision, value: item.value, resource };
        self.entries.insert(item.key, entry);
        true
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
        let may_return = matches!(entry.resource, Resource::Upstream(_) | Resource::Host(_));
        if let Some(until) = self.grace_until.filter(|until| may_return && now < *until) {
            self.expired.insert(key, ExpiredEntry { resource: entry.resource, until });
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
