//! The roster of a cell: the value that the hosts of the cell agree on through the key-value store
//! of the hosting platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Name of a host.
pub type HostId = Box<str>;

/// Number of one run of the process on a host; a later run has a greater number.
pub type Incarnation = u64;

/// Version number of a roster; each accepted write increases it by one.
pub type Epoch = u64;

/// One member of a roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Incarnation of the host that was admitted.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Address of the host for heartbeats and for calls.
    pub address: SocketAddr,
}

/// The members of a cell in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version number of this roster.
    pub epoch: Epoch,
    /// Members by name of the host.
    pub members: BTreeMap<HostId, Entry>,
    /// Incarnations of the members of the previous roster. A majority of them must adopt this epoch
    /// or be dead before new assignments of groups take effect.
    pub prior: BTreeMap<HostId, Incarnation>,
}

impl Roster {
    /// Returns the smallest number of members that is a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of prior members that is a majority, 0 if there are none.
    pub fn prior_majority(&self) -> usize {
        if self.prior.is_empty() { 0 } else { self.prior.len() / 2 + 1 }
    }

    /// Returns whether `incarnation` of `host` is a member.
    pub fn holds(&self, host: &str, incarnation: Incarnation) -> bool {
        self.members.get(host).is_some_and(|entry| entry.incarnation == incarnation)
    }

    /// Returns the roster of the next epoch with the given members.
    pub fn next(&self, members: BTreeMap<HostId, Entry>) -> Self {
        let prior = self.members.iter().map(|(host, entry)| (host.clone(), entry.incarnation));
        Self { epoch: self.epoch + 1, members, prior: prior.collect() }
    }
}
