//! Tenures: periods of ownership of a group during which no other host can have owned the group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use crate::roster::Epoch;
use crate::state::Key;

#[derive(Clone, Copy, Debug)]
struct Tenure {
    since: SystemTime,
    until: Instant,
    epoch: Epoch,
}

/// The tenures of one host, by group.
///
/// A renewal continues the tenure, even after a gap in ownership, if the gap is shorter than the
/// takeover delay and the previous renewal was in the same epoch, or in the epoch before with the
/// group retained into the present one. Otherwise a new tenure begins. No other host can have taken
/// over the group in such a gap, because both the withdrawal of votes and new assignments wait that
/// long (see `docs/design/ownership.md`).
#[derive(Debug)]
pub struct Tenures {
    takeover_delay: Duration,
    held: BTreeMap<Key, Tenure>,
}

impl Tenures {
    /// Creates the tenures of a host.
    ///
    /// `takeover_delay` is the time for which the cell waits before a group changes owner without a
    /// handover; see [`Member::takeover_delay`](crate::Member::takeover_delay).
    pub fn new(takeover_delay: Duration) -> Self {
        Self { takeover_delay, held: BTreeMap::new() }
    }

    /// Records that this host may send to the group `key` until `until`; returns the wall-clock
    /// time at which the tenure began.
    ///
    /// `retained` states whether the host already owned the group when it adopted `epoch`, and
    /// ranks first for the group in the roster of `epoch`.
    pub fn renew(
        &mut self,
        now: Instant,
        wall: SystemTime,
        key: &Key,
        until: Instant,
        epoch: Epoch,
        retained: bool,
    ) -> SystemTime {
        let old = self.held.get(key).filter(|old| {
            let uninterrupted = old.epoch == epoch || (retained && old.epoch + 1 == epoch);
            uninterrupted && now < old.until + self.takeover_delay
        });
        let since = old.map_or(wall, |old| old.since);
        self.held.insert(key.clone(), Tenure { since, until, epoch });
        since
    }
}
