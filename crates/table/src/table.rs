//! One version of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ServiceName;
use crate::route::Route;
use crate::service::Service;

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which a head or a body must arrive.
    pub read_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns common web server defaults, for use before any configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    hosts: BTreeMap<Box<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    limits: Limits,
}

impl Table {
    /// Starts a table of the given version.
    pub fn builder(version: u64) -> TableBuilder {
        TableBuilder(Self { version, ..Self::default() })
    }

    /// Returns the version; a later configuration has a greater one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in `host` is ignored, and its letter case as well.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes, by host and falling length of prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the bounds on what a caller may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}

/// Builds a [`Table`].
#[derive(Debug)]
pub struct TableBuilder(Table);

impl TableBuilder {
    /// Adds a route.
    pub fn route(mut self, route: Route) -> Self {
        let host = route.host.to_ascii_lowercase().into_boxed_str();
        self.0.hosts.entry(host).or_default().push(Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: Service) -> Self {
        self.0.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Sets the bounds on what a caller may send.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Finishes the table.
    pub fn build(mut self) -> Table {
        for routes in self.0.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.0
    }
}
