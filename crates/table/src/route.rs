//! Routes, which map a host name and a path prefix to services.

use std::time::Duration;

use crate::ServiceName;

/// Timeout of a route that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// One service of a traffic split, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service; its fraction of the requests is relative to the sum of all weights.
    pub weight: f64,
}

/// A query that is sent to one upstream of each shard and whose answers are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Services, one for each shard.
    pub shards: Vec<ServiceName>,
    /// Number of records in the merged answer.
    pub top_k: usize,
    /// Fraction of the shards, 0 to 1, that an answer must cover to be successful.
    pub min_shard_ratio: f64,
}

impl Gather {
    /// Returns the minimum number of shards that a successful answer covers, which is at least 1.
    pub fn min_shards(&self) -> usize {
        // The tolerance keeps 0.95 of 20 at 19 despite rounding in binary floating point.
        let min = (self.min_shard_ratio * self.shards.len() as f64 - 1e-9).ceil();
        (min as usize).clamp(1, self.shards.len().max(1))
    }
}

/// The services that answer the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One service.
    Service(ServiceName),
    /// Several services, chosen by weight.
    Split(Vec<Share>),
    /// One upstream of every shard.
    Gather(Gather),
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route for operators.
    pub name: Box<str>,
    /// Host name in the requests.
    pub host_name: Box<str>,
    /// Path prefix of the requests.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum number of upstreams that may run one request, or one part of a query. Upstreams that
    /// refused it do not count.
    pub attempts: u32,
    /// Deadline of a request: time after which the caller has a final answer in any case.
    pub timeout: Duration,
    /// Latency objective: time within which an answer is fully useful to the caller.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that answer the requests.
    pub target: Target,
}

impl Route {
    /// Starts building a route for a host name and a path prefix.
    pub fn builder(name: &str, host_name: &str, prefix: &str) -> RouteBuilder {
        RouteBuilder(Self {
            name: name.into(),
            host_name: host_name.into(),
            prefix: prefix.into(),
            idempotent: false,
            attempts: 1,
            timeout: DEFAULT_TIMEOUT,
            objective: DEFAULT_TIMEOUT,
            priority: 0,
            target: Target::Split(Vec::new()),
        })
    }
}

/// Builds a [`Route`]. By default its requests are not idempotent, have one attempt, a timeout of
/// 10 s and priority 0.
#[derive(Debug)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Sets whether a request may run more than once.
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.0.idempotent = idempotent;
        self
    }

    /// Sets the maximum number of upstreams that may run each request or part; 0 counts as 1.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.0.attempts = attempts.max(1);
        self
    }

    /// Sets the time after which the caller has a final answer; also caps the latency objective.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.0.timeout = timeout;
        self.0.objective = self.0.objective.min(timeout);
        self
    }

    /// Sets the latency objective.
    pub fn objective(mut self, objective: Duration) -> Self {
        self.0.objective = objective;
        self
    }

    /// Sets the priority; 0 is the most urgent.
    pub fn priority(mut self, priority: u32) -> Self {
        self.0.priority = priority;
        self
    }

    /// Sets the services that answer the requests.
    pub fn target(mut self, target: Target) -> Self {
        self.0.target = target;
        self
    }

    /// Returns the route.
    pub fn build(self) -> Route {
        self.0
    }
}
