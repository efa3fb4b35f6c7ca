//! Changes of epoch: what is carried over, and when gains take effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::peer::{Peer, Vote};
use crate::rank::rank;
use crate::roster::{HostId, Incarnation, Roster};
use crate::state::{Action, Key, Member};

impl Member {
    /// Moves to a newer roster and keeps what this host owns under both.
    pub(crate) fn adopt(&mut self, now: Instant, roster: Roster) -> Vec<Action> {
        if roster.epoch <= self.roster.epoch {
            return Vec::new();
        }
        // A skipped epoch may have given a group to others in between.
        let follows = roster.epoch == self.roster.epoch + 1;
        let keys = self.keys.iter().filter(|key| follows && self.may_send(now, key).is_some());
        let held: BTreeSet<Key> = keys.cloned().collect();
        self.roster = roster;
        self.established = None;
        self.released.clear();
        if self.early.0 == self.roster.epoch {
            self.released = std::mem::take(&mut self.early.1);
        }
        self.carried.clear();
        for host in self.roster.members.keys() {
            let peer = self.peers.entry(host.clone()).or_insert_with(|| Peer::new(now));
            peer.vote = Vote::Support;
            peer.supported = now;
        }
        self.next_beats = now;
        self.establish(now);
        let mut releases: BTreeMap<HostId, Vec<Key>> = BTreeMap::new();
        for key in held {
            let owner = rank(&self.roster, &key.domain, &key.name).first().map(|h| (*h).clone());
            match owner {
                Some(owner) if owner == self.settings.host => {
                    self.carried.insert(key);
                }
                Some(owner) => releases.entry(owner).or_default().push(key),
                None => {}
            }
        }
        let epoch = self.roster.epoch;
        releases.into_iter().map(|(host, keys)| Action::Release(host, epoch, keys)).collect()
    }

    /// Notes when a majority of the prior roster has let go of it.
    pub(crate) fn establish(&mut self, now: Instant) {
        if self.established.is_some() || self.roster.epoch == 0 {
            return;
        }
        let let_go = self.roster.prior.iter().filter(|(host, incarnation)| {
            if **host == self.settings.host {
                return **incarnation <= self.settings.incarnation;
            }
            let adopted = self.peers.get(*host).is_some_and(|peer| {
                peer.incarnation == **incarnation && peer.epoch >= self.roster.epoch
            });
            adopted || self.is_gone(now, host, **incarnation)
        });
        if let_go.count() >= self.roster.prior_majority() {
            self.established = Some(now);
        }
    }

    /// Returns whether a process life can no longer answer anybody.
    pub(crate) fn is_gone(&self, now: Instant, host: &str, incarnation: Incarnation) -> bool {
        if host == &*self.settings.host {
            return incarnation < self.settings.incarnation;
        }
        let peer = self.peers.get(host);
        if peer.is_some_and(|peer| peer.incarnation > incarnation) {
            return true;
        }
        let silent = !peer.is_some_and(|peer| peer.heard_within(now, self.settings.list_lag));
        let absent = self.absent.get(host);
        silent && absent.is_some_and(|since| now >= *since + self.settings.list_lag)
    }

    /// Returns whether this host owned the group when it adopted the current epoch.
    pub fn is_retained(&self, key: &Key) -> bool {
        self.carried.contains(key)
    }

    /// Returns whether what this epoch gives to this host has taken effect.
    pub(crate) fn has_gained(&self, now: Instant, key: &Key) -> bool {
        let Some(established) = self.established else { return false };
        if self.roster.prior.is_empty() || self.carried.contains(key) || self.released.contains(key)
        {
            return true;
        }
        now >= established + self.settings.fence + self.settings.drain
    }
}
