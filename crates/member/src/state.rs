//! The state machine of one member.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::beat::Beat;
use crate::peer::{Ack, Peer, Vote};
use crate::rank::rank;
use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};

/// Beats that a takeover inside an epoch takes after a majority has withdrawn.
const TAKEOVER_BEATS: u32 = 3;

/// A group of upstreams: its failure domain and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Failure domain of the group's upstreams.
    pub domain: Box<str>,
    /// Name of the group, which hosts are ranked by.
    pub name: Box<str>,
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Process life.
    pub incarnation: Incarnation,
    /// This host's roster entry.
    pub entry: Entry,
    /// Time between beats.
    pub interval: Duration,
    /// Age at which the acknowledgement of a beat no longer counts.
    pub fence: Duration,
    /// Longest that work may run at an upstream after it was sent.
    pub drain: Duration,
    /// Time by which the platform's list of hosts may lag.
    pub list_lag: Duration,
    /// Whether the fence is in force; off only in the baseline of experiments.
    pub fenced: bool,
}

impl Settings {
    /// Creates settings with the usual times, which `docs/design/ownership.md` derives from the
    /// 10 s that a takeover may take and the 3 KB/s that control may use.
    pub fn new(host: &str, incarnation: Incarnation, domain: &str, address: SocketAddr) -> Self {
        Self {
            host: host.into(),
            incarnation,
            entry: Entry { incarnation, domain: domain.into(), address },
            interval: Duration::from_millis(700),
            fence: Duration::from_millis(2_500),
            drain: Duration::from_millis(2_100),
            list_lag: Duration::from_secs(10),
            fenced: true,
        }
    }
}

/// What the shell around a member must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a beat to an address.
    Send(SocketAddr, Beat),
    /// Read the roster from the platform's KV.
    ReadRoster,
    /// Write a roster, but only over the revision named; 0 stands for no value.
    WriteRoster(u64, Roster),
    /// Hand the groups over to their new owner under the epoch, with what is known of them.
    Release(HostId, Epoch, Vec<Key>),
}

/// One host's part in its cell.
#[derive(Debug)]
pub struct Member {
    settings: Settings,
    roster: Roster,
    revision: u64,
    read_done: bool,
    config: u64,
    leaving: bool,
    peers: BTreeMap<HostId, Peer>,
    keys: BTreeSet<Key>,
    carried: BTreeSet<Key>,
    released: BTreeSet<Key>,
    early: (Epoch, BTreeSet<Key>),
    established: Option<Instant>,
    next_beats: Instant,
    next_read: Instant,
    next_write: Instant,
    unlike_since: Option<Instant>,
    absent: BTreeMap<HostId, Instant>,
}

impl Member {
    /// Creates a member that knows nobody yet.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            roster: Roster::default(),
            revision: 0,
            read_done: false,
            config: 0,
            leaving: false,
            peers: BTreeMap::new(),
            keys: BTreeSet::new(),
            carried: BTreeSet::new(),
            released: BTreeSet::new(),
            early: (0, BTreeSet::new()),
            established: None,
            next_beats: now,
            next_read: now,
            next_write: now,
            unlike_since: None,
            absent: BTreeMap::new(),
        }
    }

    /// Returns the adopted roster; its epoch is 0 before the first.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether this process life is in the adopted roster.
    pub fn is_member(&self) -> bool {
        self.roster.holds(&self.settings.host, self.settings.incarnation)
    }

    /// Names all groups that exist, owned by whomever.
    pub fn set_keys(&mut self, keys: BTreeSet<Key>) {
        self.keys = keys;
    }

    /// States the configuration revision held here, which beats tell to the others.
    pub fn set_config(&mut self, revision: u64) {
        self.config = revision;
    }

    /// Asks the others to take this host out of the roster.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes back [`Member::leave`], for a failure domain that returns.
    pub fn stay(&mut self) {
        self.leaving = false;
    }

    /// Returns the newest configuration revision that any beat has told of, ours included.
    pub fn newest_config(&self) -> u64 {
        let told = self.peers.values().map(|peer| peer.config);
        told.max().unwrap_or(0).max(self.config)
    }

    /// Returns the configuration revision that each member holds, as far as beats have told.
    pub fn held_configs(&self) -> BTreeMap<HostId, u64> {
        let own = (self.settings.host.clone(), self.config);
        let members = self.roster.members.keys();
        let told = members.filter_map(|host| Some((host.clone(), self.peers.get(host)?.config)));
        told.chain([own]).collect()
    }

    /// Takes the platform's list of live hosts, which may lag.
    pub fn on_list(&mut self, now: Instant, live: &BTreeSet<HostId>) {
        self.absent.retain(|host, _| !live.contains(host));
        let known = self.roster.members.keys().chain(self.roster.prior.keys());
        for host in known.filter(|host| !live.contains(*host)) {
            self.absent.entry(host.clone()).or_insert(now);
        }
    }

    /// Takes a roster read from the KV; a revision of 0 stands for no value.
    pub fn on_read(&mut self, now: Instant, revision: u64, roster: Option<Roster>) -> Vec<Action> {
        self.read_done = true;
        self.next_read = now + self.settings.interval * 4;
        let Some(roster) = roster else { return Vec::new() };
        if roster.epoch >= self.roster.epoch {
            self.revision = revision;
        }
        self.adopt(now, roster)
    }

    /// Takes a handover by the former owner.
    pub fn on_release(&mut self, epoch: Epoch, keys: impl IntoIterator<Item = Key>) {
        if epoch == self.roster.epoch {
            self.released.extend(keys);
        } else if epoch > self.roster.epoch {
            // The handover may come before the roster that it belongs to.
            if epoch > self.early.0 {
                self.early = (epoch, BTreeSet::new());
            }
            self.early.1.extend(keys);
        }
    }

    /// Takes a beat of another host.
    pub fn on_beat(&mut self, now: Instant, beat: Beat) -> Vec<Action> {
        if beat.host == self.settings.host {
            return Vec::new();
        }
        let peer = self.peers.entry(beat.host.clone()).or_insert_with(|| Peer::new(now));
        if beat.incarnation < peer.incarnation {
            return Vec::new();
        }
        if beat.incarnation > peer.incarnation {
            peer.renew(beat.incarnation);
        }
        // The first word in our epoch is answered at once, so that support needs no interval.
        let is_first = beat.epoch == self.roster.epoch && peer.epoch < beat.epoch;
        if beat.sequence > peer.received {
            peer.received = beat.sequence;
            peer.heard = Some(now);
            peer.leaving = beat.leaving;
            peer.epoch = peer.epoch.max(beat.epoch);
            peer.config = peer.config.max(beat.config);
            peer.withdrawn.clone_from(&beat.withdrawn);
        }
        if beat.entry.is_some() {
            peer.entry = beat.entry;
        }
        if beat.ack_incarnation == self.settings.incarnation
            && let Some(sent) = peer.sent_at(beat.ack)
        {
            peer.ack = Some(Ack { sent, epoch: beat.epoch, withdrawn: beat.withdrawn });
        }
        let mut actions = Vec::new();
        if let Some(roster) = beat.roster {
            actions.extend(self.adopt(now, roster));
        }
        if beat.epoch > self.roster.epoch && now + self.settings.interval < self.next_read {
            self.next_read = now;
        }
        if is_first && let Some(address) = self.address_of(&beat.host) {
            let withdrawn = self.withdrawn();
            actions.push(Action::Send(address, self.beat(now, &beat.host, &withdrawn)));
        }
        actions
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.forget(now);
        self.vote(now);
        self.establish(now);
        let mut actions = Vec::new();
        if now >= self.next_beats {
            self.next_beats = now + self.settings.interval;
            actions.extend(self.beats(now));
        }
        if now >= self.next_read {
            self.next_read = now + self.settings.interval * 2;
            actions.push(Action::ReadRoster);
        }
        actions.extend(self.propose(now));
        actions
    }

    /// Drops hosts that are in no roster and have long been silent.
    fn forget(&mut self, now: Instant) {
        let roster = &self.roster;
        let time = self.settings.list_lag * 6;
        self.peers.retain(|host, peer| {
            roster.members.contains_key(host)
                || roster.prior.contains_key(host)
                || peer.heard_within(now, time)
        });
    }

    /// Returns when [`Member::tick`] is next due.
    pub fn next_tick(&self, now: Instant) -> Instant {
        self.next_beats.min(self.next_read).min(now + self.settings.interval)
    }

    /// Returns the instant until which this host may send for `key`, if it may now.
    pub fn may_send(&self, now: Instant, key: &Key) -> Option<Instant> {
        if !self.is_member() {
            return None;
        }
        let ranked = rank(&self.roster, &key.domain, &key.name);
        let higher: Vec<_> =
            ranked.into_iter().take_while(|host| **host != self.settings.host).collect();
        if !self.settings.fenced {
            return higher.is_empty().then(|| now + self.settings.fence);
        }
        if !self.has_gained(now, key) {
            return None;
        }
        self.supported_until(now, &higher)
    }

    /// Returns whether this host owned the group when it adopted the current epoch.
    pub fn is_carried(&self, key: &Key) -> bool {
        self.carried.contains(key)
    }

    /// Returns the time that a group waits before it changes its owner without a handover.
    pub fn takeover_wait(&self) -> Duration {
        self.settings.fence + self.settings.drain
    }

    /// Returns whether what this epoch gives to this host has taken effect.
    fn has_gained(&self, now: Instant, key: &Key) -> bool {
        let Some(established) = self.established else { return false };
        if self.roster.prior.is_empty() || self.carried.contains(key) || self.released.contains(key)
        {
            return true;
        }
        now >= established + self.settings.fence + self.settings.drain
    }

    /// Returns until when a majority supports this host above all of `higher`.
    fn supported_until(&self, now: Instant, higher: &[&HostId]) -> Option<Instant> {
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

    fn acked(&self, host: &str, accepts: &dyn Fn(&BTreeSet<HostId>) -> bool) -> Option<Instant> {
        let peer = self.peers.get(host)?;
        let incarnation = self.roster.members.get(host)?.incarnation;
        let ack = peer.ack.as_ref()?;
        let counts = peer.incarnation == incarnation
            && ack.epoch == self.roster.epoch
            && accepts(&ack.withdrawn);
        counts.then(|| ack.sent + self.settings.fence)
    }

    fn withdrawn(&self) -> BTreeSet<HostId> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.vote == Vote::Withdrawn);
        let hosts = peers.map(|(host, _)| host.clone());
        hosts.filter(|host| self.roster.members.contains_key(host)).collect()
    }

    /// Moves to a newer roster and keeps what this host owns under both.
    fn adopt(&mut self, now: Instant, roster: Roster) -> Vec<Action> {
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
    fn establish(&mut self, now: Instant) {
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
    fn is_gone(&self, now: Instant, host: &str, incarnation: Incarnation) -> bool {
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

    /// Moves the vote on each member where its silence or its return calls for it.
    fn vote(&mut self, now: Instant) {
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

    fn is_majority_withdrawn(&self, host: &str) -> bool {
        let own = self.peers.get(host).is_some_and(|peer| peer.vote == Vote::Withdrawn);
        let others = self.roster.members.keys().filter(|other| {
            let peer = self.peers.get(*other);
            peer.is_some_and(|p| p.epoch == self.roster.epoch && p.withdrawn.contains(host))
        });
        others.count() + usize::from(own) >= self.roster.majority()
    }

    /// Returns whether so many members have lost support that the cell could not work.
    fn is_hung(&self) -> bool {
        let members = self.roster.members.keys();
        let alive = members.filter(|host| !self.is_majority_withdrawn(host)).count();
        alive < self.roster.majority()
    }

    fn address_of(&self, host: &str) -> Option<SocketAddr> {
        if let Some(entry) = self.peers.get(host).and_then(|peer| peer.entry.as_ref()) {
            return Some(entry.address);
        }
        self.roster.members.get(host).map(|entry| entry.address)
    }

    fn beats(&mut self, now: Instant) -> Vec<Action> {
        let withdrawn = self.withdrawn();
        let joiners = self.peers.iter().filter(|(_, p)| p.heard_within(now, self.settings.fence));
        let mut targets: BTreeSet<HostId> = joiners.map(|(host, _)| host.clone()).collect();
        targets.extend(self.roster.members.keys().cloned());
        targets.remove(&self.settings.host);
        let mut actions = Vec::with_capacity(targets.len());
        for host in targets {
            let Some(address) = self.address_of(&host) else { continue };
            actions.push(Action::Send(address, self.beat(now, &host, &withdrawn)));
        }
        actions
    }

    fn beat(&mut self, now: Instant, host: &HostId, withdrawn: &BTreeSet<HostId>) -> Beat {
        let is_member = self.is_member();
        let peer = self.peers.entry(host.clone()).or_insert_with(|| Peer::new(now));
        let listed = self.roster.holds(host, peer.incarnation)
            || self.roster.prior.get(host) == Some(&peer.incarnation);
        let fresh = peer.heard_within(now, self.settings.interval * 2);
        let supports = listed && fresh && peer.vote == Vote::Support;
        if supports {
            peer.supported = now;
        }
        let behind = peer.incarnation != 0 && peer.epoch < self.roster.epoch;
        Beat {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch: self.roster.epoch,
            sequence: peer.next_beat(now),
            ack: if supports { peer.received } else { 0 },
            ack_incarnation: peer.incarnation,
            withdrawn: withdrawn.clone(),
            config: self.config,
            leaving: self.leaving,
            entry: (!is_member).then(|| self.settings.entry.clone()),
            roster: behind.then(|| self.roster.clone()),
        }
    }

    /// Proposes a roster when members have come, gone or been lost.
    fn propose(&mut self, now: Instant) -> Option<Action> {
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
    fn wanted(&self, now: Instant) -> BTreeMap<HostId, Entry> {
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
    fn may_write(&self, now: Instant) -> bool {
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
