//! Proposals of a new roster when hosts join, leave or fail.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::roster::{Entry, HostId};
use crate::state::{Action, Member};

/// Number of heartbeat intervals that a takeover within an epoch needs after a majority has
/// withdrawn support.
const TAKEOVER_HEARTBEATS: u32 = 3;

impl Member {
    /// Returns the write of a new roster, if the members have changed and the write is due.
    pub(crate) fn propose(&mut self, now: Instant) -> Option<Action> {
        if !self.read_done || now < self.next_write {
            return None;
        }
        let members = self.desired_members(now);
        if members == self.roster.members || members.is_empty() {
            self.mismatch_since = None;
            return None;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        if self.roster.epoch > 0 && (self.established.is_none() || !self.may_write(now)) {
            return None;
        }
        // Hosts write in turn, a quarter of an interval apart, so that one write is usually enough.
        let position = members.keys().position(|host| *host == self.settings.host);
        let position = u32::try_from(position.unwrap_or(members.len())).unwrap_or(u32::MAX);
        // A takeover that completes within the epoch is retained in the next one. A roster write
        // before that would make the new owner wait for the fence again, so the write is delayed.
        let lost = self.roster.members.keys().any(|host| self.is_majority_withdrawn(host));
        let delay = if lost { TAKEOVER_HEARTBEATS } else { 0 };
        let due = since + self.settings.interval * delay + self.settings.interval * position / 4;
        if now < due {
            return None;
        }
        self.next_write = now + self.settings.interval * 2;
        Some(Action::WriteRoster(self.revision, self.roster.next(members)))
    }

    /// Returns the members that the roster should have, judged by the state of this host.
    pub(crate) fn desired_members(&self, now: Instant) -> BTreeMap<HostId, Entry> {
        let mut members = self.roster.members.clone();
        members.retain(|host, entry| {
            let left = self.peers.get(host).is_some_and(|peer| peer.leaving)
                || (*host == self.settings.host && self.leaving);
            let dead = self.is_dead(now, host, entry.incarnation);
            !left && !dead && !self.is_majority_withdrawn(host)
        });
        for (host, peer) in &self.peers {
            let Some(entry) = &peer.entry else { continue };
            let present = peer.heard_within(now, self.settings.fence) && !peer.leaving;
            if present && entry.incarnation == peer.incarnation {
                let listed = self.roster.holds(host, peer.incarnation);
                if !listed {
                    members.insert(host.clone(), entry.clone());
                }
            }
        }
        if !self.leaving && !self.is_member() {
            members.insert(self.settings.host.clone(), self.settings.entry.clone());
        }
        members
    }

    /// Returns whether a majority of the roster either supports this host or is dead.
    pub(crate) fn may_write(&self, now: Instant) -> bool {
        let votes = self.roster.members.iter().filter(|(host, entry)| {
            if **host == self.settings.host && entry.incarnation == self.settings.incarnation {
                return true;
            }
            let supports = self.ack_expiry(host, &|_| true).is_some_and(|until| until > now);
            supports || self.is_dead(now, host, entry.incarnation)
        });
        votes.count() >= self.roster.majority()
    }
}
