//! The state machine of one member.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::heartbeat::Heartbeat;
use crate::peer::{Ack, Peer, Vote};
use crate::rank::rank;
use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};

/// Beats between two reads of the roster by the first member of a cell.
const OFTEN_BEATS: u32 = 4;

/// Beats between two reads by every other member.
const SELDOM_BEATS: u32 = 40;

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
    Send(SocketAddr, Heartbeat),
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
    pub(crate) settings: Settings,
    pub(crate) roster: Roster,
    pub(crate) revision: u64,
    pub(crate) read_done: bool,
    pub(crate) config: u64,
    pub(crate) leaving: bool,
    pub(crate) peers: BTreeMap<HostId, Peer>,
    pub(crate) keys: BTreeSet<Key>,
    pub(crate) carried: BTreeSet<Key>,
    pub(crate) released: BTreeSet<Key>,
    pub(crate) early: (Epoch, BTreeSet<Key>),
    pub(crate) established: Option<Instant>,
    pub(crate) next_beats: Instant,
    pub(crate) next_read: Instant,
    pub(crate) next_write: Instant,
    pub(crate) unlike_since: Option<Instant>,
    pub(crate) absent: BTreeMap<HostId, Instant>,
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
    pub fn cancel_leave(&mut self) {
        self.leaving = false;
    }

    /// Returns the newest configuration revision that any beat has told of, ours included.
    pub fn newest_config_revision(&self) -> u64 {
        let told = self.peers.values().map(|peer| peer.config);
        told.max().unwrap_or(0).max(self.config)
    }

    /// Returns the configuration revision that each member holds, as far as beats have told.
    pub fn config_revisions(&self) -> BTreeMap<HostId, u64> {
        let own = (self.settings.host.clone(), self.config);
        let members = self.roster.members.keys();
        let told = members.filter_map(|host| Some((host.clone(), self.peers.get(host)?.config)));
        told.chain([own]).collect()
    }

    /// Takes the platform's list of live hosts, which may lag.
    pub fn on_host_list(&mut self, now: Instant, live: &BTreeSet<HostId>) {
        self.absent.retain(|host, _| !live.contains(host));
        let known = self.roster.members.keys().chain(self.roster.prior.keys());
        for host in known.filter(|host| !live.contains(*host)) {
            self.absent.entry(host.clone()).or_insert(now);
        }
    }

    /// Takes a roster read from the KV; a revision of 0 stands for no value.
    pub fn on_read(&mut self, now: Instant, revision: u64, roster: Option<Roster>) -> Vec<Action> {
        self.read_done = true;
        self.next_read = now + self.settings.interval * self.read_beats(now);
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
    pub fn on_heartbeat(&mut self, now: Instant, beat: Heartbeat) -> Vec<Action> {
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

    /// Returns the beats between two reads of the roster.
    ///
    /// One member of a cell reads often; the others hear of a new roster by beats, and read now
    /// and then only in case those are lost, so that reads grow with cells.
    fn read_beats(&self, now: Instant) -> u32 {
        let is_heard = |host: &HostId| {
            let peer = self.peers.get(host);
            peer.is_some_and(|peer| peer.heard_within(now, self.settings.fence))
        };
        let mut before = self.roster.members.keys().take_while(|host| **host < self.settings.host);
        if self.is_member() && before.any(is_heard) { SELDOM_BEATS } else { OFTEN_BEATS }
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

    /// Returns the time that a group waits before it changes its owner without a handover.
    pub fn takeover_delay(&self) -> Duration {
        self.settings.fence + self.settings.drain
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

    fn beat(&mut self, now: Instant, host: &HostId, withdrawn: &BTreeSet<HostId>) -> Heartbeat {
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
        Heartbeat {
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
}
