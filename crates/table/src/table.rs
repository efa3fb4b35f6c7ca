//! Lookup table of one version of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ServiceName;
use crate::route::Route;
use crate::service::Service;

/// Limits on the HTTP requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's head or body.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns common web server defaults, which apply until a configuration is received.
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
    routes_by_host_name: BTreeMap<Box<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    limits: Limits,
}

impl Table {
    /// Starts building a table of the given version.
    pub fn builder(version: u64) -> TableBuilder {
        TableBuilder(Self { version, ..Self::default() })
    }

    /// Returns the version; a later configuration has a greater one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest prefix of `path` among those of the host name `host`.
    ///
    /// The port and the letter case of `host` are ignored. Returns `None` if no route matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes_by_host_name.get(name) {
            Some(routes) => routes,
            None => self.routes_by_host_name.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes, ordered by host name and then by descending length of the prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host_name.values().flatten()
    }

    /// Returns the limits of a service by its name, or `None` if the configuration has none.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the limits on the HTTP requests and connections of callers.
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
        let host_name = route.host_name.to_ascii_lowercase().into_boxed_str();
        self.0.routes_by_host_name.entry(host_name).or_default().push(Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: Service) -> Self {
        self.0.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Sets the limits on the HTTP requests and connections of callers.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Sorts the routes of each host name by descending length of the prefix and returns the table.
    pub fn build(mut self) -> Table {
        for routes in self.0.routes_by_host_name.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.0
    }
}
