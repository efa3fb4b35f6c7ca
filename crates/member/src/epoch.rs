//! Changes of epoch: which groups are retained, and when newly assigned groups take effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::peer::{Peer, Vote};
use crate::rank::rank;
use crate::roster::{HostId, Incarnation, Roster};
use crate::state::{Action, Key, Member};

impl Member {
    /// Adopts a newer roster; returns the handovers of groups that this host no longer owns.
    ///
    /// Groups that this host owns under both rosters are retained if no epoch was skipped. A roster
    /// that is not newer is ignored.
    pub(crate) fn adopt(&mut self, now: Instant, roster: Roster) -> Vec<Action> {
        if roster.epoch <= self.roster.epoch {
            return Vec::new();
        }
        // A group may have had another owner during a skipped epoch, so nothing is retained.
        let follows = roster.epoch == self.roster.epoch + 1;
        let keys = self.keys.iter().filter(|key| follows && self.may_send(now, key).is_some());
        let held: BTreeSet<Key> = keys.cloned().collect();
        self.roster = roster;
        self.established = None;
        self.received_handovers.clear();
        if self.early_handovers.0 == self.roster.epoch {
            self.received_handovers = std::mem::take(&mut self.early_handovers.1);
        }
        self.retained.clear();
        for host in self.roster.members.keys() {
            let peer = self.peers.entry(host.clone()).or_insert_with(|| Peer::new(now));
            peer.vote = Vote::Support;
            peer.last_supported = now;
        }
        self.next_heartbeats = now;
        self.establish(now);
        let mut handovers: BTreeMap<HostId, Vec<Key>> = BTreeMap::new();
        for key in held {
            let owner = rank(&self.roster, &key.domain, &key.name).first().map(|h| (*h).clone());
            match owner {
                Some(owner) if owner == self.settings.host => {
                    self.retained.insert(key);
                }
                Some(owner) => handovers.entry(owner).or_default().push(key),
                None => {}
            }
        }
        let epoch = self.roster.epoch;
        handovers.into_iter().map(|(host, keys)| Action::HandOver(host, epoch, keys)).collect()
    }

    /// Marks the epoch as established once a majority of the prior roster has adopted this or a
    /// later epoch, or is dead.
    pub(crate) fn establish(&mut self, now: Instant) {
        if self.established.is_some() || self.roster.epoch == 0 {
            return;
        }
        let confirmed = self.roster.prior.iter().filter(|(host, incarnation)| {
            if **host == self.settings.host {
                return **incarnation <= self.settings.incarnation;
            }
            let adopted = self.peers.get(*host).is_some_and(|peer| {
                peer.incarnation == **incarnation && peer.epoch >= self.roster.epoch
            });
            adopted || self.is_dead(now, host, **incarnation)
        });
        if confirmed.count() >= self.roster.prior_majority() {
            self.established = Some(now);
        }
    }

    /// Returns whether an incarnation of a host counts as dead, so that no answer of it can arrive.
    ///
    /// This holds if a later incarnation was seen, or if the host sent no heartbeat and was missing
    /// from the platform's list of hosts for the time by which that list may lag.
    pub(crate) fn is_dead(&self, now: Instant, host: &str, incarnation: Incarnation) -> bool {
        if host == &*self.settings.host {
            return incarnation < self.settings.incarnation;
        }
        let peer = self.peers.get(host);
        if peer.is_some_and(|peer| peer.incarnation > incarnation) {
            return true;
        }
        let silent = !peer.is_some_and(|peer| peer.heard_within(now, self.settings.list_lag));
        let unlisted_since = self.unlisted_since.get(host);
        silent && unlisted_since.is_some_and(|since| now >= *since + self.settings.list_lag)
    }

    /// Returns whether this host owned the group when it adopted the current epoch, and ranks first
    /// for the group in the roster of this epoch.
    ///
    /// No group is retained across a skipped epoch.
    pub fn is_retained(&self, key: &Key) -> bool {
        self.retained.contains(key)
    }

    /// Returns whether the assignment of a group to this host by this epoch has taken effect.
    ///
    /// Without a handover, an assignment takes effect one takeover delay after the epoch was
    /// established.
    pub(crate) fn has_taken_effect(&self, now: Instant, key: &Key) -> bool {
        let Some(established) = self.established else { return false };
        if self.roster.prior.is_empty()
            || self.retained.contains(key)
            || self.received_handovers.contains(key)
        {
            return true;
        }
        now >= established + self.settings.fence + self.settings.max_request_duration
    }
}
