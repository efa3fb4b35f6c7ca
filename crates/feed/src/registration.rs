//! The host's own entry in the store.

use std::time::{Duration, Instant};

use crate::LeaseId;

/// Time after a write at which the entry must be visible, or is written again.
const VISIBLE_AFTER: Duration = Duration::from_millis(1_500);

/// Shortest time between two tries after a failure.
const RETRY: Duration = Duration::from_millis(900);

/// Renewals within the time of a lease, so that one may fail.
const RENEWALS: u32 = 5;

/// What to do about the host's own entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a lease.
    Grant,
    /// Write the entry under the lease.
    Put(LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// Do nothing until the given time.
    Wait(Instant),
}

/// Keeps the entry alive, and writes it again when it is gone although the host lives.
#[derive(Debug)]
pub struct Registration {
    time: Duration,
    lease: Option<LeaseId>,
    written: Option<Instant>,
    renew_at: Option<Instant>,
    retry_at: Option<Instant>,
}

impl Registration {
    /// Creates the state of an entry whose leases run for `time`.
    pub fn new(time: Duration) -> Self {
        Self { time, lease: None, written: None, renew_at: None, retry_at: None }
    }

    /// Decides what to do, given whether the mirror shows the entry.
    pub fn next_action(&self, now: Instant, visible: bool) -> Action {
        if let Some(at) = self.retry_at.filter(|at| *at > now) {
            return Action::Wait(at);
        }
        let Some(lease) = self.lease else { return Action::Grant };
        let Some(written) = self.written else { return Action::Put(lease) };
        let expected = written + VISIBLE_AFTER;
        if !visible && now >= expected {
            return Action::Put(lease);
        }
        match self.renew_at {
            Some(at) if now < at => Action::Wait(if visible { at } else { at.min(expected) }),
            _ => Action::Renew(lease),
        }
    }

    /// Notes a new lease.
    pub fn granted(&mut self, now: Instant, lease: LeaseId) {
        self.lease = Some(lease);
        self.written = None;
        self.renew_at = Some(now + self.time / RENEWALS * 2);
    }

    /// Notes that the entry was written.
    pub fn written(&mut self, now: Instant) {
        self.written = Some(now);
    }

    /// Notes that the lease was renewed.
    pub fn renewed(&mut self, now: Instant) {
        self.renew_at = Some(now + self.time / RENEWALS * 2);
    }

    /// Notes that the lease has ended.
    pub fn lost(&mut self) {
        self.lease = None;
        self.written = None;
    }

    /// Notes that a call failed.
    pub fn failed(&mut self, now: Instant) {
        self.retry_at = Some(now + RETRY);
    }

    /// Returns the lease, if there is one.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease
    }
}
