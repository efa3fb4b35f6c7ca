//! What a member knows of one other host, and its vote on that host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::roster::{Entry, Epoch, HostId, Incarnation};

/// Beats whose sending times are remembered; older ones are past the fence anyway.
const REMEMBERED_BEATS: usize = 32;

/// This member's vote on one other member of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// Beats are acknowledged.
    Support,
    /// No beat is acknowledged, and every acknowledgement to others says so.
    Withdrawn,
    /// Neither; support starts again at the instant.
    Returning(Instant),
}

/// The latest acknowledgement that a peer gave.
#[derive(Clone, Debug)]
pub(crate) struct Ack {
    /// When the acknowledged beat was sent.
    pub(crate) sent: Instant,
    /// Epoch that the peer had adopted.
    pub(crate) epoch: Epoch,
    /// Members that the peer had withdrawn from.
    pub(crate) withdrawn: BTreeSet<HostId>,
}

/// Another host, as seen from here.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) entry: Option<Entry>,
    pub(crate) epoch: Epoch,
    pub(crate) leaving: bool,
    pub(crate) config: u64,
    pub(crate) heard: Option<Instant>,
    pub(crate) withdrawn: BTreeSet<HostId>,
    pub(crate) received: u64,
    pub(crate) ack: Option<Ack>,
    pub(crate) vote: Vote,
    /// When a beat of this host was last acknowledged, or could have been.
    pub(crate) supported: Instant,
    sequence: u64,
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
            heard: None,
            withdrawn: BTreeSet::new(),
            received: 0,
            ack: None,
            vote: Vote::Support,
            supported: now,
            sequence: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Numbers the next beat to this host and remembers when it was sent.
    pub(crate) fn next_beat(&mut self, now: Instant) -> u64 {
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        while self.sent.len() > REMEMBERED_BEATS {
            self.sent.pop_first();
        }
        self.sequence
    }

    /// Returns when the beat `sequence` was sent, and forgets the ones before it.
    pub(crate) fn sent_at(&mut self, sequence: u64) -> Option<Instant> {
        let sent = *self.sent.get(&sequence)?;
        self.sent = self.sent.split_off(&sequence);
        Some(sent)
    }

    /// Forgets all that belongs to this host's earlier life.
    pub(crate) fn renew(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.received = 0;
        self.ack = None;
        self.epoch = 0;
        self.leaving = false;
        self.withdrawn.clear();
    }

    pub(crate) fn heard_within(&self, now: Instant, time: Duration) -> bool {
        self.heard.is_some_and(|heard| now.saturating_duration_since(heard) < time)
    }
}
