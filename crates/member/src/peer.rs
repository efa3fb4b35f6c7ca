//! The state that a member keeps of another host, and the vote on that host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::roster::{Entry, Epoch, HostId, Incarnation};

/// Maximum number of heartbeats whose transmission times are kept. Acknowledgements of older
/// heartbeats are past the fence time and do not count.
const MAX_TRACKED_HEARTBEATS: usize = 32;

/// The vote of this member on another member of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// Heartbeats of the other member are acknowledged.
    Support,
    /// Heartbeats are not acknowledged, and every heartbeat to other members states this.
    Withdrawn,
    /// Heartbeats are not acknowledged, but the withdrawal is no longer stated to other members.
    /// Support resumes at the given time.
    Returning(Instant),
}

/// The latest acknowledgement from a peer.
#[derive(Clone, Debug)]
pub(crate) struct Ack {
    /// Time at which the acknowledged heartbeat was sent.
    pub(crate) sent: Instant,
    /// Epoch that the peer had adopted when it sent the acknowledgement.
    pub(crate) epoch: Epoch,
    /// Members from which the peer had withdrawn support.
    pub(crate) withdrawn: BTreeSet<HostId>,
}

/// The state that a member keeps of another host.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) entry: Option<Entry>,
    pub(crate) epoch: Epoch,
    pub(crate) leaving: bool,
    pub(crate) config: u64,
    pub(crate) last_heartbeat: Option<Instant>,
    pub(crate) withdrawn: BTreeSet<HostId>,
    /// Highest sequence number received.
    pub(crate) received: u64,
    pub(crate) ack: Option<Ack>,
    pub(crate) vote: Vote,
    /// Time at which a heartbeat of the peer was last acknowledged, or may have been.
    pub(crate) last_supported: Instant,
    sequence: u64,
    /// Sending times of the heartbeats to the peer, by sequence number.
    sent: BTreeMap<u64, Instant>,
}

impl Peer {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            incarnation: 0,
            entry: None,
            epoch: 0,
            leaving: false,
            config: 0,
            last_heartbeat: None,
            withdrawn: BTreeSet::new(),
            received: 0,
            ack: None,
            vote: Vote::Support,
            last_supported: now,
            sequence: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Records that a heartbeat is sent to the peer; returns its sequence number.
    pub(crate) fn next_heartbeat(&mut self, now: Instant) -> u64 {
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        while self.sent.len() > MAX_TRACKED_HEARTBEATS {
            self.sent.pop_first();
        }
        self.sequence
    }

    /// Returns the time at which heartbeat `sequence` was sent, and drops the times of earlier
    /// heartbeats.
    ///
    /// Returns `None` if the time is no longer kept.
    pub(crate) fn sent_at(&mut self, sequence: u64) -> Option<Instant> {
        let sent = *self.sent.get(&sequence)?;
        self.sent = self.sent.split_off(&sequence);
        Some(sent)
    }

    /// Starts a new incarnation of the peer and resets the state of the previous one.
    pub(crate) fn reset(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.received = 0;
        self.ack = None;
        self.epoch = 0;
        self.leaving = false;
        self.withdrawn.clear();
    }

    /// Returns whether a heartbeat of the peer has arrived within the last `time`.
    pub(crate) fn heard_within(&self, now: Instant, time: Duration) -> bool {
        self.last_heartbeat.is_some_and(|at| now.saturating_duration_since(at) < time)
    }
}
