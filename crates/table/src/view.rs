//! An immutable picture of all that is known.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::resource::{Host, Resource};
use crate::service::Upstream;
use crate::table::Table;
use crate::{Domain, ServiceName};

/// All that a host knows at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration, if any is known yet.
    pub table: Option<Arc<Table>>,
    /// Upstreams that may get work, by service.
    pub upstreams: BTreeMap<ServiceName, Vec<Arc<Upstream>>>,
    /// Failure domains that operators have taken out.
    pub evacuated: BTreeSet<Domain>,
    /// Our own hosts by name.
    pub hosts: BTreeMap<Box<str>, Arc<Host>>,
}

impl View {
    /// Builds a view from facts; upstreams that leave or whose failure domain is out are left out.
    pub fn new<'a>(facts: impl Iterator<Item = &'a Resource>) -> Self {
        let mut view = Self::default();
        let mut upstreams = Vec::new();
        for fact in facts {
            match fact {
                Resource::Config(table) => view.table = Some(Arc::clone(table)),
                Resource::Upstream(upstream) => upstreams.push(upstream),
                Resource::DomainEvacuated(domain) => {
                    view.evacuated.insert(domain.clone());
                }
                Resource::Host(host) => {
                    view.hosts.insert(host.name.clone(), Arc::clone(host));
                }
                Resource::Unusable => {}
            }
        }
        for upstream in upstreams {
            if !upstream.draining && !view.evacuated.contains(&upstream.domain) {
                let service = view.upstreams.entry(upstream.service.clone()).or_default();
                service.push(Arc::clone(upstream));
            }
        }
        view
    }

    /// Returns the upstreams of a service that may get work.
    pub fn upstreams_of(&self, service: &str) -> &[Arc<Upstream>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }
}
