//! The roster of a cell: the one small value that its hosts agree on through the platform's KV.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Name of one of our hosts.
pub type HostId = Box<str>;

/// Number of a host's process life; a later life has a greater number.
pub type Incarnation = u64;

/// Number of a roster; each accepted write adds one.
pub type Epoch = u64;

/// One member of a roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Process life that was admitted.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Address of the host's beats and of its calls.
    pub address: SocketAddr,
}

/// Members of a cell in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Number of this roster.
    pub epoch: Epoch,
    /// Members by host.
    pub members: BTreeMap<HostId, Entry>,
    /// Incarnations of the roster before this one, which must let go before gains take effect.
    pub prior: BTreeMap<HostId, Incarnation>,
}

impl Roster {
    /// Returns the smallest number of members that is a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of the prior members that is a majority, 0 without any.
    pub fn prior_majority(&self) -> usize {
        if self.prior.is_empty() { 0 } else { self.prior.len() / 2 + 1 }
    }

    /// Returns whether `host` is a member in the life `incarnation`.
    pub fn holds(&self, host: &str, incarnation: Incarnation) -> bool {
        self.members.get(host).is_some_and(|entry| entry.incarnation == incarnation)
    }

    /// Returns the roster that follows this one with other members.
    pub fn next(&self, members: BTreeMap<HostId, Entry>) -> Self {
        let prior = self.members.iter().map(|(host, entry)| (host.clone(), entry.incarnation));
        Self { epoch: self.epoch + 1, members, prior: prior.collect() }
    }
}
