//! The state machine of one member of a cell.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::heartbeat::Heartbeat;
use crate::peer::{Ack, Peer, Vote};
use crate::rank::rank;
use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};

/// Heartbeat intervals between two reads of the roster by the first live member of a cell and by
/// hosts that are not members.
const FREQUENT_READ_HEARTBEATS: u32 = 4;

/// Heartbeat intervals between two reads of the roster by every other member of a cell.
const RARE_READ_HEARTBEATS: u32 = 40;

/// The key of a unit of ownership: a group of upstreams, or a bucket of the at-most-once ledgers.
///
/// This crate treats both alike and calls them groups.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Failure domain of the upstreams; empty for a bucket.
    pub domain: Box<str>,
    /// Name of the group or bucket, from which the ranking of hosts is computed.
    pub name: Box<str>,
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    /// Roster entry of this host.
    pub entry: Entry,
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Time after the transmission of a heartbeat at which an acknowledgement of it expires.
    pub fence: Duration,
    /// Maximum time for which a request may run at an upstream after it was sent.
    pub max_request_duration: Duration,
    /// Maximum lag of the list of hosts of the hosting platform.
    pub list_lag: Duration,
    /// Whether sending requires a quorum of acknowledgements; off only in the baseline of
    /// experiments.
    pub fenced: bool,
}

impl Settings {
    /// Creates settings with the default times.
    ///
    /// `docs/design/ownership.md` derives them from the 10 s that a takeover may take and the
    /// 3 KB/s that control traffic may use.
    pub fn new(host: &str, incarnation: Incarnation, domain: &str, address: SocketAddr) -> Self {
        Self {
            host: host.into(),
            incarnation,
            entry: Entry { incarnation, domain: domain.into(), address },
            interval: Duration::from_millis(700),
            fence: Duration::from_millis(2_500),
            max_request_duration: Duration::from_millis(2_100),
            list_lag: Duration::from_secs(10),
            fenced: true,
        }
    }
}

/// An action that the driver of a [`Member`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat to an address.
    Send(SocketAddr, Heartbeat),
    /// Read the roster from the key-value store.
    ReadRoster,
    /// Write a roster if the stored value still has the given revision; 0 stands for no value.
    WriteRoster(u64, Roster),
    /// Hand the groups over to the given host, their new owner in the given epoch, with their known
    /// state.
    HandOver(HostId, Epoch, Vec<Key>),
}

/// The membership state of one host in a cell.
#[derive(Debug)]
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) roster: Roster,
    /// Revision of the latest roster value read from the key-value store.
    pub(crate) revision: u64,
    pub(crate) read_done: bool,
    /// Revision of the configuration held here.
    pub(crate) config: u64,
    pub(crate) leaving: bool,
    pub(crate) peers: BTreeMap<HostId, Peer>,
    pub(crate) keys: BTreeSet<Key>,
    /// Groups that this host owned when it adopted the epoch, and for which it ranks first in the
    /// new roster.
    pub(crate) retained: BTreeSet<Key>,
    /// Groups that former owners have handed over in this epoch.
    pub(crate) received_handovers: BTreeSet<Key>,
    /// Handovers that arrived before the roster of their epoch.
    pub(crate) early_handovers: (Epoch, BTreeSet<Key>),
    /// Time at which a majority of the prior roster had adopted the epoch or was dead.
    pub(crate) established: Option<Instant>,
    pub(crate) next_heartbeats: Instant,
    pub(crate) next_read: Instant,
    pub(crate) next_write: Instant,
    /// Time since which the members of the roster differ from the desired ones.
    pub(crate) mismatch_since: Option<Instant>,
    /// Time since which each host has been missing from the platform's list.
    pub(crate) unlisted_since: BTreeMap<HostId, Instant>,
}

impl Member {
    /// Creates a member without a roster or known peers.
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
            retained: BTreeSet::new(),
            received_handovers: BTreeSet::new(),
            early_handovers: (0, BTreeSet::new()),
            established: None,
            next_heartbeats: now,
            next_read: now,
            next_write: now,
            mismatch_since: None,
            unlisted_since: BTreeMap::new(),
        }
    }

    /// Returns the adopted roster; the epoch is 0 until the first one is adopted.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether this incarnation of the host is in the adopted roster.
    pub fn is_member(&self) -> bool {
        self.roster.holds(&self.settings.host, self.settings.incarnation)
    }

    /// Sets the keys of all groups, regardless of their owner.
    pub fn set_keys(&mut self, keys: BTreeSet<Key>) {
        self.keys = keys;
    }

    /// Sets the revision of the configuration held here, which heartbeats report to other hosts.
    pub fn set_config(&mut self, revision: u64) {
        self.config = revision;
    }

    /// Starts leaving: heartbeats ask the other members to remove this host from the roster.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Cancels [`Member::leave`], for example when the failure domain is put back in.
    pub fn cancel_leave(&mut self) {
        self.leaving = false;
    }

    /// Returns the newest configuration revision reported by any heartbeat or held here.
    pub fn newest_config_revision(&self) -> u64 {
        let revisions = self.peers.values().map(|peer| peer.config);
        revisions.max().unwrap_or(0).max(self.config)
    }

    /// Returns the configuration revision that each member holds, as last reported by heartbeats.
    pub fn config_revisions(&self) -> BTreeMap<HostId, u64> {
        let own = (self.settings.host.clone(), self.config);
        let members = self.roster.members.keys();
        let revisions =
            members.filter_map(|host| Some((host.clone(), self.peers.get(host)?.config)));
        revisions.chain([own]).collect()
    }

    /// Updates the set of hosts that the platform lists as live; the list may lag.
    pub fn on_host_list(&mut self, now: Instant, live: &BTreeSet<HostId>) {
        self.unlisted_since.retain(|host, _| !live.contains(host));
        let known = self.roster.members.keys().chain(self.roster.prior.keys());
        for host in known.filter(|host| !live.contains(*host)) {
            self.unlisted_since.entry(host.clone()).or_insert(now);
        }
    }

    /// Handles a roster read from the key-value store; a revision of 0 stands for no value.
    pub fn on_read(&mut self, now: Instant, revision: u64, roster: Option<Roster>) -> Vec<Action> {
        self.read_done = true;
        self.next_read = now + self.settings.interval * self.heartbeats_per_read(now);
        let Some(roster) = roster else { return Vec::new() };
        if roster.epoch >= self.roster.epoch {
            self.revision = revision;
        }
        self.adopt(now, roster)
    }

    /// Handles a handover of groups by their former owner.
    pub fn on_handover(&mut self, epoch: Epoch, keys: impl IntoIterator<Item = Key>) {
        if epoch == self.roster.epoch {
            self.received_handovers.extend(keys);
        } else if epoch > self.roster.epoch {
            // The handover may arrive before the roster of its epoch.
            if epoch > self.early_handovers.0 {
                self.early_handovers = (epoch, BTreeSet::new());
            }
            self.early_handovers.1.extend(keys);
        }
    }

    /// Handles a heartbeat of another host.
    ///
    /// Heartbeats of earlier incarnations are ignored.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> Vec<Action> {
        if heartbeat.host == self.settings.host {
            return Vec::new();
        }
        let peer = self.peers.entry(heartbeat.host.clone()).or_insert_with(|| Peer::new(now));
        if heartbeat.incarnation < peer.incarnation {
            return Vec::new();
        }
        if heartbeat.incarnation > peer.incarnation {
            peer.reset(heartbeat.incarnation);
        }
        // The first heartbeat of a peer in the current epoch is answered at once, so that support
        // does not have to wait for the next interval.
        let is_first = heartbeat.epoch == self.roster.epoch && peer.epoch < heartbeat.epoch;
        if heartbeat.sequence > peer.received {
            peer.received = heartbeat.sequence;
            peer.last_heartbeat = Some(now);
            peer.leaving = heartbeat.leaving;
            peer.epoch = peer.epoch.max(heartbeat.epoch);
            peer.config = peer.config.max(heartbeat.config);
            peer.withdrawn.clone_from(&heartbeat.withdrawn);
        }
        if heartbeat.entry.is_some() {
            peer.entry = heartbeat.entry;
        }
        if heartbeat.ack_incarnation == self.settings.incarnation
            && let Some(sent) = peer.sent_at(heartbeat.ack)
        {
            peer.ack = Some(Ack { sent, epoch: heartbeat.epoch, withdrawn: heartbeat.withdrawn });
        }
        let mut actions = Vec::new();
        if let Some(roster) = heartbeat.roster {
            actions.extend(self.adopt(now, roster));
        }
        if heartbeat.epoch > self.roster.epoch && now + self.settings.interval < self.next_read {
            self.next_read = now;
        }
        if is_first && let Some(address) = self.address_of(&heartbeat.host) {
            let withdrawn = self.withdrawn();
            actions.push(Action::Send(address, self.heartbeat(now, &heartbeat.host, &withdrawn)));
        }
        actions
    }

    /// Updates the state for the time `now`; returns the heartbeats, reads and writes that are
    /// due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.remove_silent_peers(now);
        self.update_votes(now);
        self.establish(now);
        let mut actions = Vec::new();
        if now >= self.next_heartbeats {
            self.next_heartbeats = now + self.settings.interval;
            actions.extend(self.heartbeats(now));
        }
        if now >= self.next_read {
            self.next_read = now + self.settings.interval * 2;
            actions.push(Action::ReadRoster);
        }
        actions.extend(self.propose(now));
        actions
    }

    /// Returns the number of heartbeat intervals between two reads of the roster.
    ///
    /// Of the members of a cell, only the first live one reads often. The others learn of a new
    /// roster from heartbeats and read rarely, in case heartbeats are lost. The total number of
    /// reads thus grows with the number of cells rather than hosts. A host that is not a member
    /// reads often as well.
    fn heartbeats_per_read(&self, now: Instant) -> u32 {
        let is_live = |host: &HostId| {
            let peer = self.peers.get(host);
            peer.is_some_and(|peer| peer.heard_within(now, self.settings.fence))
        };
        let mut before = self.roster.members.keys().take_while(|host| **host < self.settings.host);
        if self.is_member() && before.any(is_live) {
            RARE_READ_HEARTBEATS
        } else {
            FREQUENT_READ_HEARTBEATS
        }
    }

    /// Removes peers that are in neither roster and have sent no heartbeat for six times the lag
    /// of the platform's list.
    fn remove_silent_peers(&mut self, now: Instant) {
        let roster = &self.roster;
        let time = self.settings.list_lag * 6;
        self.peers.retain(|host, peer| {
            roster.members.contains_key(host)
                || roster.prior.contains_key(host)
                || peer.heard_within(now, time)
        });
    }

    /// Returns the time at which [`Member::tick`] is next due.
    pub fn next_tick(&self, now: Instant) -> Instant {
        self.next_heartbeats.min(self.next_read).min(now + self.settings.interval)
    }

    /// Returns the time until which this host may send to the group `key`, or `None` if it may not
    /// send now.
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
        if !self.has_taken_effect(now, key) {
            return None;
        }
        self.supported_until(now, &higher)
    }

    /// Returns the takeover delay, after which a group changes owner without a handover: the sum of
    /// the fence time and the maximum duration of a request.
    pub fn takeover_delay(&self) -> Duration {
        self.settings.fence + self.settings.max_request_duration
    }

    /// Returns the address of `host` from its heartbeats or the roster.
    fn address_of(&self, host: &str) -> Option<SocketAddr> {
        if let Some(entry) = self.peers.get(host).and_then(|peer| peer.entry.as_ref()) {
            return Some(entry.address);
        }
        self.roster.members.get(host).map(|entry| entry.address)
    }

    /// Returns the heartbeats to all other members and to hosts that are joining.
    fn heartbeats(&mut self, now: Instant) -> Vec<Action> {
        let withdrawn = self.withdrawn();
        let joiners = self.peers.iter().filter(|(_, p)| p.heard_within(now, self.settings.fence));
        let mut targets: BTreeSet<HostId> = joiners.map(|(host, _)| host.clone()).collect();
        targets.extend(self.roster.members.keys().cloned());
        targets.remove(&self.settings.host);
        let mut actions = Vec::with_capacity(targets.len());
        for host in targets {
            let Some(address) = self.address_of(&host) else { continue };
            actions.push(Action::Send(address, self.heartbeat(now, &host, &withdrawn)));
        }
        actions
    }

    /// Builds the next heartbeat to `host`.
    fn heartbeat(
        &mut self,
        now: Instant,
        host: &HostId,
        withdrawn: &BTreeSet<HostId>,
    ) -> Heartbeat {
        let is_member = self.is_member();
        let peer = self.peers.entry(host.clone()).or_insert_with(|| Peer::new(now));
        let listed = self.roster.holds(host, peer.incarnation)
            || self.roster.prior.get(host) == Some(&peer.incarnation);
        let fresh = peer.heard_within(now, self.settings.interval * 2);
        let supports = listed && fresh && peer.vote == Vote::Support;
        if supports {
            peer.last_supported = now;
        }
        let behind = peer.incarnation != 0 && peer.epoch < self.roster.epoch;
        Heartbeat {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch: self.roster.epoch,
            sequence: peer.next_heartbeat(now),
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
