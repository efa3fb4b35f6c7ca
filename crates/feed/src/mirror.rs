//! A host's copy of the store's entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use table::{Resource, View};

use crate::Revision;
use crate::batch::{Batch, Item, Removal};

/// Time after the store's return for which an entry that lapsed meanwhile still counts: living
/// writers are back within two seconds, and the rest is for the way.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Removals kept for followers; one that lags further behind gets all entries.
const MOST_REMOVALS: usize = 4_096;

/// Decodes the value of a key.
pub type Decode = fn(&str, &str) -> Resource;

#[derive(Clone, Debug)]
struct Entry {
    revision: Revision,
    value: Box<str>,
    fact: Resource,
}

/// An entry that may only have lapsed with the store.
#[derive(Clone, Debug)]
struct Lapsed {
    fact: Resource,
    /// When it counts as gone; fixed at its removal, so that later outages do not prolong it.
    until: Instant,
}

/// A copy of the store's entries that only moves forward.
#[derive(Debug)]
pub struct Mirror {
    decode: Decode,
    entries: BTreeMap<Box<str>, Entry>,
    lapsed: BTreeMap<Box<str>, Lapsed>,
    removals: BTreeMap<Revision, BTreeSet<Box<str>>>,
    forgotten: Revision,
    revision: Revision,
    settled: Option<Instant>,
}

impl Mirror {
    /// Creates an empty copy whose values are decoded by `decode`.
    pub fn new(decode: Decode) -> Self {
        Self {
            decode,
            entries: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            removals: BTreeMap::new(),
            forgotten: 0,
            revision: 0,
            settled: None,
        }
    }

    /// Returns the revision up to which the copy is complete; 0 before the first batch.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Notes that the store has come back after it was away.
    ///
    /// Entries that lapsed while it was away are kept until their writers had time to return.
    pub fn store_recovered(&mut self, now: Instant) {
        self.hold_lapsed(now, LAPSE_GRACE);
    }

    /// Keeps entries that lapse within `left`, as the source of the news does.
    pub fn hold_lapsed(&mut self, now: Instant, left: Duration) {
        if !left.is_zero() {
            self.settled = self.settled.max(Some(now + left));
        }
    }

    /// Returns for how long entries that lapse are still kept.
    pub fn hold_remaining(&self, now: Instant) -> Duration {
        self.settled.map_or(Duration::ZERO, |settled| settled.saturating_duration_since(now))
    }

    /// Applies a batch and returns whether any entry changed. Older news than what is known is
    /// ignored, so batches may come from several sources.
    pub fn apply(&mut self, now: Instant, batch: Batch) -> bool {
        let mut changed = false;
        if batch.full {
            changed |= self.drop_unnamed(now, &batch);
        }
        // A key may be written and removed again within one batch.
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

    /// Drops lapsed entries whose writers did not return; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, lapsed| now < lapsed.until);
        self.lapsed.len() < before
    }

    /// Returns when [`expire`](Self::expire) has work next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lapsed.values().map(|lapsed| lapsed.until).min()
    }

    /// Returns the changes after a revision, or all entries if removals since then are forgotten.
    pub fn since(&self, after: Revision) -> Batch {
        let full = after == 0 || after < self.forgotten;
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
        Batch { full, revision: self.revision, puts: puts.collect(), removes }
    }

    /// Returns whether the store has an entry of this key.
    pub fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Builds the view of all entries, lapsed ones included.
    pub fn view(&self) -> Arc<View> {
        let present = self.entries.values().map(|entry| &entry.fact);
        let lapsed = self.lapsed.values().map(|lapsed| &lapsed.fact);
        Arc::new(View::new(present.chain(lapsed)))
    }

    fn put(&mut self, item: Item) -> bool {
        // All changes up to the own revision are known, so an entry that is missing was removed.
        let known = self.entries.get(&item.key).map_or(self.revision, |entry| entry.revision);
        if known >= item.revision {
            return false;
        }
        let fact = (self.decode)(&item.key, &item.value);
        if let (Resource::Unusable, Some(Resource::Config(_))) =
            (&fact, self.entries.get(&item.key).map(|entry| &entry.fact))
        {
            // A configuration that cannot be read must not take the last good one away.
            return false;
        }
        self.lapsed.remove(&item.key);
        let entry = Entry { revision: item.revision, value: item.value, fact };
        self.entries.insert(item.key, entry);
        true
    }

    fn remove(&mut self, now: Instant, key: &str, revision: Revision) -> bool {
        match self.entries.get(key) {
            Some(entry) if entry.revision < revision => {}
            _ => return false,
        }
        if matches!(self.entries[key].fact, Resource::Config(_)) {
            return false;
        }
        let (key, entry) = self.entries.remove_entry(key).expect("it was found above");
        self.removals.entry(revision).or_default().insert(key.clone());
        while self.removals.len() > MOST_REMOVALS {
            let (oldest, _) = self.removals.pop_first().expect("it is not empty");
            self.forgotten = oldest;
        }
        let may_return = matches!(entry.fact, Resource::Upstream(_) | Resource::Host(_));
        if let Some(until) = self.settled.filter(|settled| may_return && now < *settled) {
            self.lapsed.insert(key, Lapsed { fact: entry.fact, until });
        }
        true
    }

    fn drop_unnamed(&mut self, now: Instant, batch: &Batch) -> bool {
        let named: BTreeSet<&str> = batch.puts.iter().map(|item| &*item.key).collect();
        let known = self.entries.iter().filter(|(_, entry)| entry.revision <= batch.revision);
        let keys = known.map(|(key, _)| key.clone());
        let gone: Vec<_> = keys.filter(|key| !named.contains(&**key)).collect();
        let mut changed = false;
        for key in gone {
            changed |= self.remove(now, &key, batch.revision + 1);
        }
        changed
    }
}
