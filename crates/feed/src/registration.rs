//! Registration of the host's own entry in the store.

use std::time::{Duration, Instant};

use crate::{Era, LeaseId};

/// Time after a write by which the mirror must show the entry; after it the entry is written again.
const VISIBILITY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Wait after a failed call.
const RETRY_BACKOFF: Duration = Duration::from_millis(900);

/// Maximum time for which the confirmation of the host that this one follows counts. Another one comes
/// about every second. A host that has lost the one that it follows has to register itself before that
/// one removes its entry.
const MAX_COVER: Duration = Duration::from_millis(2_500);

/// Time before the end of a lease from which its entries are no longer safe.
const COVER_MARGIN: Duration = Duration::from_millis(1_000);

/// Interval at which a renewal that is withheld is considered again.
const WITHHELD_INTERVAL: Duration = Duration::from_millis(100);

/// Divisor of a lease's TTL that gives the interval between its renewals. Followers rely on the lease of their
/// registrar only while it lasts for two seconds more, and a renewal may be withheld for one second.
const RENEWAL_TTL_DIVISOR: u32 = 4;

/// The next step to keep the host's own entry registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create a lease.
    Grant,
    /// Write the entry under the lease.
    Put(LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// Do nothing until the given time.
    Wait(Instant),
}

/// State machine that keeps the host's entry under a live lease, and writes the entry again when it
/// disappears from the store. While the host that this one follows confirms that it keeps the entry
/// under its own lease, there is nothing to do.
#[derive(Debug)]
pub struct Registration {
    ttl: Duration,
    lease: Option<LeaseId>,
    /// Era of the store in which the lease was granted, 0 if it was not known yet.
    era: Era,
    /// Time until which the lease is known to last.
    lease_until: Option<Instant>,
    /// Time until which another host keeps the entry.
    covered_until: Option<Instant>,
    has_followers: bool,
    may_renew: bool,
    written_at: Option<Instant>,
    renew_at: Option<Instant>,
    retry_at: Option<Instant>,
}

impl Registration {
    /// Creates the state of an entry without a lease; leases are granted for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            lease: None,
            era: 0,
            lease_until: None,
            covered_until: None,
            has_followers: false,
            may_renew: true,
            written_at: None,
            renew_at: None,
            retry_at: None,
        }
    }

    /// Gives the hosts that this one follows time to register it before it does so itself.
    pub fn expect_cover(&mut self, until: Instant) {
        self.covered_until = self.covered_until.max(Some(until));
    }

    /// Records that another host keeps the entry under a lease that lasts for `remaining` after `now`.
    pub fn covered(&mut self, now: Instant, remaining: Duration) {
        let time = remaining.saturating_sub(COVER_MARGIN).min(MAX_COVER);
        self.covered_until = Some(now + time);
        // The entry is no longer under the own lease.
        self.written_at = None;
    }

    /// Returns the time for which the own lease is known to last, and the lease.
    pub fn remaining(&self, now: Instant, era: Era) -> Option<(LeaseId, Duration)> {
        let until = self.lease_until?.checked_duration_since(now)?;
        Some((self.lease(era)?, until))
    }

    /// Sets whether the host needs a lease for the entries of its followers.
    pub fn set_has_followers(&mut self, has_followers: bool) {
        self.has_followers = has_followers;
    }

    /// Sets whether the lease may be renewed, which extends the life of the followers' entries as well.
    pub fn set_may_renew(&mut self, may_renew: bool) {
        self.may_renew = may_renew;
    }

    /// Returns the next action, given whether the mirror shows the entry, and in which era.
    ///
    /// A store that has come back from an older copy may have lost the lease or granted its id to
    /// another host, so a new one is needed in each era.
    pub fn next_action(&self, now: Instant, visible: bool, era: Era) -> Action {
        if let Some(at) = self.retry_at.filter(|at| *at > now) {
            return Action::Wait(at);
        }
        let covered_until = self.covered_until.filter(|until| *until > now);
        if let Some(until) = covered_until.filter(|_| !self.has_followers) {
            return Action::Wait(until);
        }
        let Some(lease) = self.lease(era) else { return Action::Grant };
        if let Some(until) = covered_until {
            return match self.renew_at {
                Some(at) if now < at => Action::Wait(at.min(until)),
                _ => self.renew(now, lease),
            };
        }
        let Some(written_at) = self.written_at else { return Action::Put(lease) };
        let deadline = written_at + VISIBILITY_TIMEOUT;
        if !visible && now >= deadline {
            return Action::Put(lease);
        }
        match self.renew_at {
            Some(at) if now < at => Action::Wait(if visible { at } else { at.min(deadline) }),
            _ => self.renew(now, lease),
        }
    }

    fn renew(&self, now: Instant, lease: LeaseId) -> Action {
        if self.may_renew { Action::Renew(lease) } else { Action::Wait(now + WITHHELD_INTERVAL) }
    }

    /// Records that a lease was granted that was asked for at `sent`, and the era that was known then.
    pub fn granted(&mut self, sent: Instant, lease: LeaseId, era: Era) {
        self.lease = Some(lease);
        self.lease_until = Some(sent + self.ttl);
        self.era = era;
        self.written_at = None;
        self.renew_at = Some(sent + self.ttl / RENEWAL_TTL_DIVISOR);
    }

    /// Records that the entry was written under the lease.
    pub fn written(&mut self, now: Instant) {
        self.written_at = Some(now);
    }

    /// Records that the entry has changed, so that it is written again and no other host keeps it.
    pub fn changed(&mut self) {
        self.written_at = None;
        self.covered_until = None;
    }

    /// Records that the lease was renewed as asked for at `sent`, and the era that was known then.
    pub fn renewed(&mut self, sent: Instant, era: Era) {
        self.lease_until = Some(sent + self.ttl);
        if self.era == 0 {
            self.era = era;
        }
        self.renew_at = Some(sent + self.ttl / RENEWAL_TTL_DIVISOR);
    }

    /// Records that the lease has expired or was revoked.
    pub fn lost(&mut self) {
        self.lease = None;
        self.lease_until = None;
        self.written_at = None;
    }

    /// Records that a call failed; the next action waits for `RETRY_BACKOFF`.
    pub fn failed(&mut self, now: Instant) {
        self.retry_at = Some(now + RETRY_BACKOFF);
    }

    /// Returns the lease if there is one in the given era.
    pub fn lease(&self, era: Era) -> Option<LeaseId> {
        let is_current = self.era == 0 || self.era >= era;
        self.lease.filter(|_| is_current)
    }
}
