//! Votes on other members, and the support that their votes give to this one.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::peer::Vote;
use crate::roster::HostId;
use crate::state::Member;

impl Member {
    pub(crate) fn withdrawn(&self) -> BTreeSet<HostId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.vote == Vote::Withdrawn);
        let hosts = peers.map(|(host, _)| host.clone());
        hosts.filter(|host| self.roster.members.contains_key(host)).collect()
    }

    /// Moves the vote on each member where its silence or its return calls for it.
    pub(crate) fn vote(&mut self, now: Instant) {
        let wait = self.settings.fence + self.settings.drain;
        let hung = self.is_hung();
        let members: Vec<HostId> = self.roster.members.keys().cloned().collect();
        for host in members.iter().filter(|host| **host != self.settings.host) {
            let lost = self.is_majority_withdrawn(host);
            let incarnation = self.roster.members[host].incarnation;
            let Some(peer) = self.peers.get_mut(host) else { continue };
            let same_life = peer.incarnation == incarnation;
            let heard = same_life && peer.heard_within(now, self.settings.fence);
            peer.vote = match peer.vote {
                Vote::Support if !heard && now >= peer.supported + wait => Vote::Withdrawn,
                Vote::Withdrawn if heard && (hung || !lost) => Vote::Returning(now + wait),
                Vote::Returning(_) if !heard => Vote::Withdrawn,
                Vote::Returning(at) if now >= at => {
                    peer.supported = now;
                    Vote::Support
                }
                vote => vote,
            };
        }
    }

    pub(crate) fn is_majority_withdrawn(&self, host: &str) -> bool {
        let own = self.peers.get(host).is_some_and(|peer| peer.vote == Vote::Withdrawn);
        let others = self.roster.members.keys().filter(|other| {
            let peer = self.peers.get(*other);
            peer.is_some_and(|p| p.epoch == self.roster.epoch && p.withdrawn.contains(host))
        });
        others.count() + usize::from(own) >= self.roster.majority()
    }

    /// Returns whether so many members have lost support that the cell could not work.
    pub(crate) fn is_hung(&self) -> bool {
        let members = self.roster.members.keys();
        let alive = members.filter(|host| !self.is_majority_withdrawn(host)).count();
        alive < self.roster.majority()
    }

    pub(crate) fn acked(
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

    /// Returns until when a majority supports this host above all of `higher`.
    pub(crate) fn supported_until(&self, now: Instant, higher: &[&HostId]) -> Option<Instant> {
        let accepts = |withdrawn: &BTreeSet<HostId>| higher.iter().all(|h| withdrawn.contains(*h));
        let own = accepts(&self.withdrawn()).then(|| now + self.settings.fence);
        let members = self.roster.members.keys();
        let mut until: Vec<Instant> =
            members
                .filter_map(|host| {
                    if *host == self.settings.host { own } else { self.acked(host, &accepts) }
                })
                .filter(|until| *until > now)
                .collect();
        until.sort_by(|a, b| b.cmp(a));
        until.get(self.roster.majority() - 1).copied()
    }
}
