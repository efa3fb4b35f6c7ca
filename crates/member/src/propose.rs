//! Rosters that a member proposes when others have come, gone or been lost.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::roster::{Entry, HostId};
use crate::state::{Action, Member};

/// Beats that a takeover inside an epoch takes after a majority has withdrawn.
const TAKEOVER_BEATS: u32 = 3;

impl Member {
    /// Proposes a roster when members have come, gone or been lost.
    pub(crate) fn propose(&mut self, now: Instant) -> Option<Action> {
        if !self.read_done || now < self.next_write {
            return None;
        }
        let members = self.wanted(now);
        if members == self.roster.members || members.is_empty() {
            self.unlike_since = None;
            return None;
        }
        let since = *self.unlike_since.get_or_insert(now);
        if self.roster.epoch > 0 && (self.established.is_none() || !self.may_write(now)) {
            return None;
        }
        // Hosts try one after the other, so that one write is usually enough.
        let place = members.keys().position(|host| *host == self.settings.host);
        let place = u32::try_from(place.unwrap_or(members.len())).unwrap_or(u32::MAX);
        // A takeover inside the epoch is carried over; one that a write cut short would wait anew.
        let lost = self.roster.members.keys().any(|host| self.is_majority_withdrawn(host));
        let patience = if lost { TAKEOVER_BEATS } else { 0 };
        let turn = since + self.settings.interval * patience + self.settings.interval * place / 4;
        if now < turn {
            return None;
        }
        self.next_write = now + self.settings.interval * 2;
        Some(Action::WriteRoster(self.revision, self.roster.next(members)))
    }

    /// Returns the members that the roster should have, as seen from here.
    pub(crate) fn wanted(&self, now: Instant) -> BTreeMap<HostId, Entry> {
        let mut members = self.roster.members.clone();
        members.retain(|host, entry| {
            let left = self.peers.get(host).is_some_and(|peer| peer.leaving)
                || (*host == self.settings.host && self.leaving);
            let gone = self.is_gone(now, host, entry.incarnation);
            !left && !gone && !self.is_majority_withdrawn(host)
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

    /// Returns whether a majority of the roster supports a change by this host or is gone.
    pub(crate) fn may_write(&self, now: Instant) -> bool {
        let votes = self.roster.members.iter().filter(|(host, entry)| {
            if **host == self.settings.host && entry.incarnation == self.settings.incarnation {
                return true;
            }
            let acked = self.acked(host, &|_| true).is_some_and(|until| until > now);
            acked || self.is_gone(now, host, entry.incarnation)
        });
        votes.count() >= self.roster.majority()
    }
}
