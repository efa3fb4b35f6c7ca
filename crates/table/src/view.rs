//! Immutable view of the routing state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quarantine::Strike;

use crate::resource::{Host, Resource};
use crate::service::Upstream;
use crate::table::Table;
use crate::{Domain, ServiceName, UpstreamId};

/// Everything that `pistachio-node` knows about routes, upstreams and its hosts at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration, if one has been received.
    pub table: Option<Arc<Table>>,
    /// Upstreams that may get requests, by service.
    pub upstreams: BTreeMap<ServiceName, Vec<Arc<Upstream>>>,
    /// Upstreams that are leaving and get no more requests, with the start of their process in Unix
    /// milliseconds.
    pub leaving: BTreeMap<UpstreamId, u64>,
    /// Failure domains that operators have evacuated.
    pub evacuated: BTreeSet<Domain>,
    /// The hosts that run `pistachio-node`, by name.
    pub hosts: BTreeMap<Box<str>, Arc<Host>>,
    /// Crashes of upstreams during requests, as the hosts have reported them.
    pub strikes: Vec<Strike>,
}

impl View {
    /// Builds a view from resources. Upstreams that are leaving, as `is_leaving` tells, or whose
    /// failure domain is evacuated get no requests.
    pub fn new<'a>(
        resources: impl Iterator<Item = &'a Resource>,
        is_leaving: impl Fn(&Upstream) -> bool,
    ) -> Self {
        let mut view = Self::default();
        let mut upstreams = Vec::new();
        for resource in resources {
            match resource {
                Resource::Config(table) => view.table = Some(Arc::clone(table)),
                Resource::Upstream(upstream) => upstreams.push(upstream),
                Resource::DomainEvacuated(domain) => {
                    view.evacuated.insert(domain.clone());
                }
                Resource::Host(host) => {
                    view.hosts.insert(host.name.clone(), Arc::clone(host));
                }
                Resource::Strike(strike) => view.strikes.push(*strike),
                Resource::Unusable => {}
            }
        }
        for upstream in upstreams {
            if is_leaving(upstream) {
                view.leaving.insert(upstream.id.clone(), upstream.started_ms);
            } else if !view.evacuated.contains(&upstream.domain) {
                let service = view.upstreams.entry(upstream.service.clone()).or_default();
                service.push(Arc::clone(upstream));
            }
        }
        view
    }

    /// Returns the upstreams of a service that may get requests; empty for an unknown service.
    pub fn upstreams_of(&self, service: &str) -> &[Arc<Upstream>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }
}
