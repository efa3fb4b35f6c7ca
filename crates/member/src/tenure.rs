//! Uninterrupted ownership, told apart from ownership that others may have held in between.

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

/// The tenures of one host.
///
/// A short lapse does not end a tenure: within fence and drain nobody else can have gained the
/// group, since votes and gains wait that long (see `docs/design/ownership.md`).
#[derive(Debug)]
pub struct Tenures {
    wait: Duration,
    held: BTreeMap<Key, Tenure>,
}

impl Tenures {
    /// Creates the tenures of a host whose cell waits for `wait`, fence and drain together,
    /// before a group changes its owner without a handover.
    pub fn new(wait: Duration) -> Self {
        Self { wait, held: BTreeMap::new() }
    }

    /// Notes that this host may send for `key` until `until`; returns when the tenure began.
    ///
    /// `carried` tells that the host owned the group when it adopted `epoch`.
    pub fn renew(
        &mut self,
        now: Instant,
        wall: SystemTime,
        key: &Key,
        until: Instant,
        epoch: Epoch,
        carried: bool,
    ) -> SystemTime {
        let old = self.held.get(key).filter(|old| {
            let followed = old.epoch == epoch || (carried && old.epoch + 1 == epoch);
            followed && now < old.until + self.wait
        });
        let since = old.map_or(wall, |old| old.since);
        self.held.insert(key.clone(), Tenure { since, until, epoch });
        since
    }
}
