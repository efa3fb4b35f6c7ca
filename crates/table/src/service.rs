//! Services and their upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{Domain, ServiceName, UpstreamId};

/// Limits that all hosts together keep towards each upstream of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that an upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Time for which an upstream is cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold upstream bears, from all hosts together.
    pub cold_per_second: f64,
}

/// One upstream, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Identity of this incarnation.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it stays cold, counted from when the entry was written.
    pub warmup_left: Duration,
    /// Start of the process in Unix milliseconds; an identity may come back with a new start.
    pub started_ms: u64,
}
