//! The messages by which brokers and egresses exchange control state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::directory::Presence;
use crate::hosts::Hosts;

/// The state of an upstream, as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the upstream.
    pub upstream: Box<str>,
    /// Service that the upstream belongs to.
    pub service: Box<str>,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Shard that the upstream holds.
    pub shard: u32,
    /// Number of shards of the index that the upstream serves.
    pub shards: u32,
    /// Snapshot that the upstream was last seen to serve.
    pub snapshot: u64,
    /// Name of the warm-up phase.
    pub phase: Box<str>,
}

/// The upstreams that an egress owns and may send to now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number that grows with each change of the report, even across restarts.
    pub version: u64,
    /// Epoch of the roster that determines the ownership.
    pub epoch: u64,
    /// The upstreams.
    pub upstreams: Vec<Status>,
}

/// The control state that is not specific to one egress, as opposed to the [`Report`] of an egress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number that grows with each change of the view, even across restarts.
    pub version: u64,
    /// Epoch of the roster.
    pub epoch: u64,
    /// Names of the egresses and their addresses for calls.
    pub egresses: Vec<(Box<str>, SocketAddr)>,
    /// Brokers that follow this egress.
    pub brokers: Vec<Presence>,
    /// Configuration that each egress holds.
    pub held: Vec<HeldConfig>,
}

/// The configuration that a host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldConfig {
    /// Name of the host.
    pub host: Box<str>,
    /// Revision in force on the host.
    pub revision: u64,
    /// Time at which the reporting host learned of this, in milliseconds of Unix time.
    pub since_ms: u64,
}

/// A request for updates of control state, with the versions that the sender already holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// Version of the view held, 0 for none.
    pub view: u64,
    /// Version of the report held, 0 for none.
    pub report: u64,
    /// Revision of the configuration held.
    pub config: u64,
    /// Version of the list of hosts held, if the sender is an egress that requests the list.
    pub hosts: Option<u64>,
    /// State of the sender, if it is a broker.
    pub presence: Option<Presence>,
}

/// The control state that is newer than the versions in a [`Follow`] request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The view, if newer.
    pub view: Option<View>,
    /// The report, if newer.
    pub report: Option<Report>,
    /// The configuration, if newer.
    pub config: Option<Config>,
    /// The list of hosts, if newer and requested.
    pub hosts: Option<Hosts>,
}
