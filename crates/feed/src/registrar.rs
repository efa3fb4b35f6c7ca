//! Registration of followers' entries under the lease of the host that they follow.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{LeaseId, Revision};

/// TTL of the leases of hosts' entries. A host that failed must not be advertised for long, and each
/// renewal is a paid call to the store.
pub const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Time after a request of a follower within which its entry may be written and the lease of the entry
/// renewed. Followers ask about every second.
pub const MAX_VOUCHED_SILENCE: Duration = Duration::from_millis(1_500);

/// Time without a request of a follower after which its entry is removed. Until then the lease is not
/// renewed, so this has to end well before the lease does.
const MAX_SILENCE: Duration = Duration::from_millis(2_000);

/// Time that followers get to ask after this host has stood still. Their entries are not removed
/// meanwhile, since it has recorded no requests.
const WAKE_GRACE: Duration = Duration::from_millis(3_500);

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

impl Member {
    /// Returns whether the follower has asked recently, and after this host was last suspended.
    fn is_alive(&self, now: Instant, resumed: Option<Instant>) -> bool {
        now.saturating_duration_since(self.seen) < MAX_VOUCHED_SILENCE && Some(self.seen) >= resumed
    }
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
    /// The entries that were written for followers, until they are known to be removed or replaced.
    held: BTreeMap<Box<str>, (LeaseId, Revision)>,
    /// Entries that were removed with a revision, or had been changed since, until the copy of the store
    /// shows it.
    removed: BTreeMap<Box<str>, Revision>,
    checked: Option<Instant>,
    /// Time before which followers that do not ask are not dropped, because this host stood still.
    grace_until: Option<Instant>,
    /// Time after which a request shows that a follower lives. Before it this host was suspended, which
    /// the steady clock does not count.
    resumed: Option<Instant>,
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
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        self.members.retain(|_, member| {
            in_grace || now.saturating_duration_since(member.seen) < MAX_SILENCE
        });
        let outdated = |member: &Member| {
            let written = member.written.as_ref();
            written.is_none_or(|written| written.lease != lease || written.value != member.value)
        };
        let resumed = self.resumed;
        let puts = self.members.iter();
        let puts = puts.filter(|(_, member)| outdated(member) && member.is_alive(now, resumed));
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
        self.held.remove(key);
    }

    /// Returns whether `lease` may be renewed, which extends the life of all entries under it: the
    /// follower of each of them has asked recently. `is_current` tells, of an entry that was written with
    /// a revision, whether this host's copy of the store knows of no later change.
    ///
    /// Otherwise the entry of a host that is gone would last for a whole lease more if this host ended
    /// right after the renewal. See "Time until a lost host is no longer named" in
    /// `docs/design/platform.md`.
    pub fn may_renew(
        &mut self,
        now: Instant,
        lease: LeaseId,
        is_current: impl Fn(&str, Revision) -> bool,
    ) -> bool {
        self.held.retain(|key, (held, revision)| *held == lease && is_current(key, *revision));
        let resumed = self.resumed;
        let is_alive = |key| {
            self.members.get(key).is_some_and(|member: &Member| member.is_alive(now, resumed))
        };
        self.held.keys().all(is_alive)
    }

    /// Records that this host was suspended until now. What it knows of its followers is older than the
    /// clock tells.
    pub fn resume(&mut self, now: Instant) {
        self.resumed = Some(now);
        self.grace_until = Some(now + WAKE_GRACE);
    }

    /// Records that entries were written under a lease with the given revision.
    pub fn written(&mut self, puts: Vec<(Box<str>, Box<str>)>, lease: LeaseId, revision: Revision) {
        for (key, value) in puts {
            self.held.insert(key.clone(), (lease, revision));
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
        if gap.is_some_and(|gap| gap > MAX_CHECK_GAP) {
            self.grace_until = Some(now + WAKE_GRACE);
        }
        self.checked = Some(now);
        now >= *self.remove_after.get_or_insert(now + START_GRACE)
    }
}
