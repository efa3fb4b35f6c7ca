//! What one entry of the store says, in the product's own terms.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Domain;
use crate::service::Upstream;
use crate::table::Table;

/// One of our own hosts, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Domain,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for its peers.
    pub peer: SocketAddr,
    /// Address where other hosts order parts; a host of an earlier version has none.
    pub relay: Option<SocketAddr>,
    /// Processor share in cores, which weighs how much work it can take.
    pub cores: f64,
}

/// What one entry of the store says.
#[derive(Clone, Debug)]
pub enum Resource {
    /// The configuration.
    Config(Arc<Table>),
    /// An upstream.
    Upstream(Arc<Upstream>),
    /// A failure domain that operators have taken out.
    DomainEvacuated(Domain),
    /// One of our own hosts.
    Host(Arc<Host>),
    /// Nothing that can be used.
    Unusable,
}
