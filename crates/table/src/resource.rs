//! Decoded entries of the key-value store.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use quarantine::Strike;

use crate::Domain;
use crate::service::Upstream;
use crate::table::Table;

/// One of the hosts that run `pistachio-node`, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Domain,
    /// Address that accepts requests of callers.
    pub front: SocketAddr,
    /// Address that its peers follow for updates of the store.
    pub peer: SocketAddr,
    /// Address that accepts relay requests; `None` for a host of a version without relays.
    pub relay: Option<SocketAddr>,
    /// Processor limit in cores, a measure of how much work the host can take.
    pub cores: f64,
    /// Whether the host cannot reach any upstream. Callers should use others then.
    pub isolated: bool,
    /// Name of the host that has written the entry, if it is another one.
    pub registrar: Option<Box<str>>,
}

/// A decoded entry of the store.
#[derive(Clone, Debug)]
pub enum Resource {
    /// The configuration.
    Config(Arc<Table>),
    /// An upstream.
    Upstream(Arc<Upstream>),
    /// A failure domain that operators have evacuated.
    DomainEvacuated(Domain),
    /// One of the hosts that run `pistachio-node`.
    Host(Arc<Host>),
    /// A report that upstreams crashed during a request.
    Strike(Strike),
    /// An entry of another kind, or one that cannot be decoded.
    Unusable,
}

impl Resource {
    /// Compares two entries of one key by the order in which their writer made them. Returns `None`
    /// if their contents do not tell.
    ///
    /// Configurations are ordered by their versions, and entries of upstreams by the start of the
    /// process and their numbers. This order holds also where the store's revisions have gone back.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Config(own), Self::Config(other)) => Some(own.version().cmp(&other.version())),
            (Self::Upstream(own), Self::Upstream(other)) => {
                let order = |upstream: &Upstream| (upstream.started_ms, upstream.sequence);
                Some(order(own).cmp(&order(other)))
            }
            _ => None,
        }
    }
}
