//! Services and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{Domain, ServiceName, UpstreamId};

/// Limits on the load that all hosts together put on each upstream of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that an upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Time after its start for which an upstream is cold and bears fewer requests.
    pub warmup: Duration,
    /// Requests per second that a cold upstream bears from all hosts together.
    pub cold_per_second: f64,
    /// Path of the health check of an upstream, which states for how long it stays cold. Empty if
    /// there is none.
    pub health_path: Box<str>,
}

/// One upstream, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Id of the upstream, which it may keep when its process restarts.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: Domain,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is shutting down and takes no new requests.
    pub draining: bool,
    /// Remaining warm-up time when the entry was written.
    pub warmup_left: Duration,
    /// Start of the process in Unix milliseconds. Together with the id, it identifies one
    /// incarnation of the upstream.
    pub started_ms: u64,
    /// Number of the entry among those that this incarnation has written.
    pub sequence: u64,
}
