//! Registration of followers' entries under the lease of the host that they follow.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{LeaseId, Revision};

/// Time without a request of a follower after which its entry is removed. Followers ask about every
/// second.
const MAX_SILENCE: Duration = Duration::from_millis(3_500);

/// Interval of checks above which this host has stood still itself.
const MAX_CHECK_GAP: Duration = Duration::from_millis(1_500);

/// Time that followers get to ask after this host has started. Those that could not reach it before
/// have turned to another host by then.
const START_GRACE: Duration = Duration::from_millis(2_500);

/// Maximum number of entries in a transaction of the store.
const MAX_CHANGES: usize = 32;

/// Maximum number of followers; further ones register themselves.
const MAX_MEMBERS: usize = 1_024;

/// An entry as it was written for a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Written {
    value: Box<str>,
    lease: LeaseId,
    revision: Revision,
}

#[derive(Clone, Debug)]
struct Member {
    value: Box<str>,
    seen: Instant,
    written: Option<Written>,
}

/// A change to make in one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Write entries, as pairs of key and value, under the lease.
    Put(Vec<(Box<str>, Box<str>)>),
    /// Remove an entry if it still has the given revision.
    Remove(Box<str>, Revision),
}

/// The followers that a host registers.
///
/// One lease then serves many hosts, and the store gets as many renewals as there are hosts with
/// followers. A follower stays responsible for its entry: it registers itself when this host does not
/// confirm in time that the entry is safe. An entry names the host that has written it, and only that
/// one removes it, so that a newer registration is never undone by an older one. See
/// `docs/design/platform.md`.
#[derive(Debug, Default)]
pub struct Registrar {
    members: BTreeMap<Box<str>, Member>,
    /// Entries that were removed with a revision, or had been changed since, until the copy of the store
    /// shows it.
    removed: BTreeMap<Box<str>, Revision>,
    checked: Option<Instant>,
    /// Time before which entries of hosts that have not asked yet are not removed.
    remove_after: Option<Instant>,
}

impl Registrar {
    /// Records that a follower asks for an entry with the given key and value. `is_current` tells, of an
    /// entry that was written with a revision, whether this host's copy of the store knows of no later
    /// change.
    pub fn asked(
        &mut self,
        now: Instant,
        key: &str,
        value: &str,
        is_current: impl Fn(Revision) -> bool,
    ) {
        if let Some(member) = self.members.get_mut(key) {
            member.seen = now;
            member.written.take_if(|written| !is_current(written.revision));
            if *member.value != *value {
                member.value = value.into();
            }
        } else if self.members.len() < MAX_MEMBERS {
            let member = Member { value: value.into(), seen: now, written: None };
            self.members.insert(key.into(), member);
        }
    }

    /// Returns whether there are followers, for which the host needs a lease.
    pub fn is_needed(&self) -> bool {
        !self.members.is_empty()
    }

    /// Returns the next change under `lease`. `own` are the entries in this host's copy of the store that
    /// it has written for followers, with their revisions.
    pub fn next_change<'a>(
        &mut self,
        now: Instant,
        lease: LeaseId,
        own: impl IntoIterator<Item = (&'a str, Revision)>,
    ) -> Option<Change> {
        let may_remove = self.check(now);
        self.members.retain(|_, member| now.saturating_duration_since(member.seen) < MAX_SILENCE);
        let outdated = |member: &Member| {
            let written = member.written.as_ref();
            written.is_none_or(|written| written.lease != lease || written.value != member.value)
        };
        let puts = self.members.iter().filter(|(_, member)| outdated(member));
        let puts = puts.take(MAX_CHANGES).map(|(key, member)| (key.clone(), member.value.clone()));
        let puts: Vec<_> = puts.collect();
        if !puts.is_empty() {
            return Some(Change::Put(puts));
        }
        let mut orphans = own.into_iter().filter(|(key, revision)| {
            !self.members.contains_key(*key) && self.removed.get(*key) != Some(revision)
        });
        let (key, revision) = orphans.next().filter(|_| may_remove)?;
        Some(Change::Remove(key.into(), revision))
    }

    /// Records that the store no longer has an entry with the given revision. The copy of the store may
    /// lag, and the entry must not be removed again and again meanwhile.
    pub fn removed(&mut self, key: &str, revision: Revision) {
        while self.removed.len() >= MAX_MEMBERS {
            self.removed.pop_first();
        }
        self.removed.insert(key.into(), revision);
    }

    /// Records that entries were written under a lease with the given revision.
    pub fn written(&mut self, puts: Vec<(Box<str>, Box<str>)>, lease: LeaseId, revision: Revision) {
        for (key, value) in puts {
            if let Some(member) = self.members.get_mut(&key) {
                member.written = Some(Written { value, lease, revision });
            }
        }
    }

    /// Returns the revision of a follower's entry if it was written as asked for under `lease`.
    pub fn registered(&self, key: &str, lease: LeaseId) -> Option<Revision> {
        let member = self.members.get(key)?;
        let written = member.written.as_ref()?;
        (written.lease == lease && written.value == member.value).then_some(written.revision)
    }

    /// Returns whether hosts that have not asked are gone, which is not certain soon after the start. Time
    /// in which this host stood still, and recorded no requests, is not held against its followers.
    fn check(&mut self, now: Instant) -> bool {
        let gap = self.checked.map(|checked| now.saturating_duration_since(checked));
        if let Some(gap) = gap.filter(|gap| *gap > MAX_CHECK_GAP) {
            let shift = |member: &mut Member| member.seen = (member.seen + gap).min(now);
            self.members.values_mut().for_each(shift);
        }
        self.checked = Some(now);
        now >= *self.remove_after.get_or_insert(now + START_GRACE)
    }
}
