//! Votes of this member on other members, and the support that other members give to this one.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::peer::Vote;
use crate::roster::HostId;
use crate::state::Member;

impl Member {
    /// Returns the members from which this host has withdrawn support.
    pub(crate) fn withdrawn(&self) -> BTreeSet<HostId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.vote == Vote::Withdrawn);
        let hosts = peers.map(|(host, _)| host.clone());
        hosts.filter(|host| self.roster.members.contains_key(host)).collect()
    }

    /// Withdraws support from members that have stopped sending heartbeats, and restores it to
    /// members that have returned.
    ///
    /// A member from which a majority has withdrawn gets no support back, unless the cell has lost
    /// its quorum.
    pub(crate) fn update_votes(&mut self, now: Instant) {
        let delay = self.settings.fence + self.settings.max_request_duration;
        let quorum_lost = self.has_lost_quorum();
        let members: Vec<HostId> = self.roster.members.keys().cloned().collect();
        for host in members.iter().filter(|host| **host != self.settings.host) {
            let lost = self.is_majority_withdrawn(host);
            let incarnation = self.roster.members[host].incarnation;
            let Some(peer) = self.peers.get_mut(host) else { continue };
            let same_incarnation = peer.incarnation == incarnation;
            let heard = same_incarnation && peer.heard_within(now, self.settings.fence);
            peer.vote = match peer.vote {
                Vote::Support if !heard && now >= peer.last_supported + delay => Vote::Withdrawn,
                Vote::Withdrawn if heard && (quorum_lost || !lost) => Vote::Returning(now + delay),
                Vote::Returning(_) if !heard => Vote::Withdrawn,
                Vote::Returning(at) if now >= at => {
                    peer.last_supported = now;
                    Vote::Support
                }
                vote => vote,
            };
        }
    }

    /// Returns whether a majority of the roster has withdrawn support from `host`.
    pub(crate) fn is_majority_withdrawn(&self, host: &str) -> bool {
        let own = self.peers.get(host).is_some_and(|peer| peer.vote == Vote::Withdrawn);
        let others = self.roster.members.keys().filter(|other| {
            let peer = self.peers.get(*other);
            peer.is_some_and(|p| p.epoch == self.roster.epoch && p.withdrawn.contains(host))
        });
        others.count() + usize::from(own) >= self.roster.majority()
    }

    /// Returns whether fewer than a majority of the members still have support, so that the cell
    /// cannot serve.
    pub(crate) fn has_lost_quorum(&self) -> bool {
        let members = self.roster.members.keys();
        let alive = members.filter(|host| !self.is_majority_withdrawn(host)).count();
        alive < self.roster.majority()
    }

    /// Returns the time at which the latest acknowledgement from `host` expires.
    ///
    /// Returns `None` if the acknowledgement is of another epoch or incarnation, or if `accepts`
    /// rejects the set of members from which `host` had withdrawn.
    pub(crate) fn ack_expiry(
        &self,
        host: &str,
        accepts: &dyn Fn(&BTreeSet<HostId>) -> bool,
    ) -> Option<Instant> {
        let peer = self.peers.get(host)?;
        let incarnation = self.roster.members.get(host)?.incarnation;
        let ack = peer.ack.as_ref()?;
        let counts = peer.incarnation == incarnation
            && ack.epoch == self.roster.epoch
            && accepts(&ack.withdrawn);
        counts.then(|| ack.sent + self.settings.fence)
    }

    /// Returns the time until which a majority supports this host and has withdrawn support from
    /// all members in `higher`.
    pub(crate) fn supported_until(&self, now: Instant, higher: &[&HostId]) -> Option<Instant> {
        let accepts = |withdrawn: &BTreeSet<HostId>| higher.iter().all(|h| withdrawn.contains(*h));
        let own = accepts(&self.withdrawn()).then(|| now + self.settings.fence);
        let members = self.roster.members.keys();
        let mut until: Vec<Instant> = members
            .filter_map(|host| {
                if *host == self.settings.host { own } else { self.ack_expiry(host, &accepts) }
            })
            .filter(|until| *until > now)
            .collect();
        until.sort_by(|a, b| b.cmp(a));
        until.get(self.roster.majority() - 1).copied()
    }
}
