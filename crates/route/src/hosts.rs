//! The platform's list of live and leaving hosts, which lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a host is to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// One of our own hosts.
    Entry,
    /// An upstream.
    Upstream,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Life {
    /// The host stays.
    Live,
    /// The host will stop soon.
    Leaving,
}

/// Which shard an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Service that the upstream answers for.
    pub service: Box<str>,
    /// Shard, counted from 0.
    pub shard: u32,
    /// Number of shards in the upstream's map.
    pub shards: u32,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub id: Box<str>,
    /// What it is to us.
    pub kind: Kind,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Whether it stays.
    pub life: Life,
    /// Its shard, for an upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Placement>,
}

/// The list as of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Number that grows with each change of the list.
    pub version: u64,
    /// All hosts that the platform believes in.
    pub hosts: Vec<Host>,
}
