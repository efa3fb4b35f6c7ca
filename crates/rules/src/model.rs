//! The rules of a valid rule file.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use table::{Route, Target};

/// Name of a service, as used by operators and callers.
pub type ServiceId = Box<str>;

/// Name of a failure domain.
pub type DomainId = Box<str>;

/// Name of a route.
pub type RouteId = Box<str>;

/// All rules of one file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Failure domains by name.
    pub domains: BTreeMap<DomainId, Domain>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Routes by name.
    pub routes: BTreeMap<RouteId, RouteRule>,
}

impl Rules {
    /// Returns whether the rules contain `domain` and operators have not evacuated it.
    pub fn accepts_requests(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|rule| !rule.out)
    }
}

/// The rules of one route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The route.
    pub route: Route,
    /// Who asked for each rule, by the line of the rule.
    pub asked_by: BTreeMap<u32, Box<str>>,
}

impl RouteRule {
    /// Returns the services that requests on the route may go to.
    pub fn services(&self) -> Vec<&str> {
        match &self.route.target {
            Target::Service(service) => vec![service],
            Target::Split(shares) => shares.iter().map(|share| &*share.service).collect(),
            Target::Gather(gather) => gather.shards.iter().map(|shard| &**shard).collect(),
        }
    }
}

/// The rule of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// Whether operators have evacuated the domain, that is, taken it out.
    pub out: bool,
    /// Who asked for the rule.
    pub asked_by: Box<str>,
    /// Line of the rule, counted from 1.
    pub line: u32,
}

/// The rules of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Number of shards that operators expect. The number that upstreams report takes precedence.
    pub shards: u32,
    /// Number of upstreams that hold each shard.
    pub replicas: u32,
    /// Limits of each upstream.
    pub limit: Limit,
    /// Operations that must run at most once.
    pub never_repeat: BTreeSet<Box<str>>,
    /// Deadline of a request without one.
    pub default_deadline: Duration,
    /// Maximum deadline of a request.
    pub max_deadline: Duration,
    /// Who asked for each rule, by the line of the rule. Printed by `pistachioctl explain`.
    pub asked_by: BTreeMap<u32, Box<str>>,
}

impl Service {
    /// Returns whether `operation` may be sent more than once.
    pub fn is_repeatable(&self, operation: &str) -> bool {
        !self.never_repeat.contains(operation)
    }
}

/// The limits of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Maximum number of concurrent requests when the upstream is warm.
    pub slots: u32,
    /// Maximum number of open connections from all hosts of this system together.
    pub connections: u32,
    /// Time that the upstream spends on accepting a connection.
    pub connect_cost: Duration,
    /// Maximum number of concurrent requests at the beginning of a cold start.
    pub cold_slots: u32,
    /// Number of successful requests in a cold start that allow one more concurrent request.
    pub cold_successes: u32,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            slots: 1,
            connections: 4,
            connect_cost: Duration::from_millis(1),
            cold_slots: 1,
            cold_successes: 20,
        }
    }
}
