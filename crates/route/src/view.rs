//! What brokers and egresses tell each other about control state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::directory::Presence;
use crate::hosts::Hosts;

/// One upstream, as its owner knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the upstream.
    pub upstream: Box<str>,
    /// Service that it answers for.
    pub service: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Shard that it holds.
    pub shard: u32,
    /// Number of shards in its map.
    pub shards: u32,
    /// Snapshot that it was last seen to serve.
    pub snapshot: u64,
    /// Name of its phase.
    pub phase: Box<str>,
}

/// All upstreams that one egress owns and may send to now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number that grows with each change of the report, also over restarts.
    pub version: u64,
    /// Epoch of the roster that ownership comes from.
    pub epoch: u64,
    /// The upstreams.
    pub upstreams: Vec<Status>,
}

/// The control state that is the same for all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number that grows with each change of the view, also over restarts.
    pub version: u64,
    /// Epoch of the roster.
    pub epoch: u64,
    /// Egresses by name, with the address of their calls.
    pub egresses: Vec<(Box<str>, SocketAddr)>,
    /// Brokers that follow this egress.
    pub brokers: Vec<Presence>,
    /// Configuration that each egress holds.
    pub held: Vec<HeldConfig>,
}

/// Which configuration a host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldConfig {
    /// Name of the host.
    pub host: Box<str>,
    /// Revision in force there.
    pub revision: u64,
    /// When the teller first knew so, in milliseconds of Unix time.
    pub since_ms: u64,
}

/// What a broker knows already when it asks for more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// Version of the view held, 0 for none.
    pub view: u64,
    /// Version of the report held, 0 for none.
    pub report: u64,
    /// Revision of the configuration held.
    pub config: u64,
    /// Version of the list of hosts held, if an egress asks for it.
    pub hosts: Option<u64>,
    /// Who asks, if a broker does.
    pub presence: Option<Presence>,
}

/// What is newer than the asker's knowledge.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The view, if newer.
    pub view: Option<View>,
    /// The report, if newer.
    pub report: Option<Report>,
    /// The configuration, if newer.
    pub config: Option<Config>,
    /// The list of hosts, if newer and asked for.
    pub hosts: Option<Hosts>,
}
