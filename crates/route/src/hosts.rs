//! The list of live and leaving hosts that the hosting platform keeps. The list may lag.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An egress.
    Entry,
    /// An upstream of a service.
    Upstream,
}

/// Whether a host is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Life {
    /// The host is live.
    Live,
    /// The host will stop soon.
    Leaving,
}

/// The service and shard of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Service that the upstream belongs to.
    pub service: Box<str>,
    /// Shard, counted from 0.
    pub shard: u32,
    /// Number of shards of the index that the upstream serves.
    pub shards: u32,
}

/// One process in the list: an egress or an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the process.
    pub id: Box<str>,
    /// Role of the process.
    pub kind: Kind,
    /// Address at which the process takes requests, or calls in the case of an egress.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Whether the host is live or leaving.
    pub life: Life,
    /// Service and shard of an upstream; `None` for other hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Placement>,
}

/// One version of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Number that grows with each change of the list.
    pub version: u64,
    /// All hosts that the hosting platform knows.
    pub hosts: Vec<Host>,
}
