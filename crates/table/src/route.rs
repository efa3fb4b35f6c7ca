//! Where the requests of one host name and path prefix go.

use std::time::Duration;

use crate::ServiceName;

/// Timeout of a route that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// One service of a split, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A query that goes to one upstream of each shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// One service per shard.
    pub shards: Vec<ServiceName>,
    /// Number of records in the merged answer.
    pub top_k: usize,
    /// Fraction of the shards below which an answer is no success.
    pub min_shard_ratio: f64,
}

impl Gather {
    /// Returns how many shards an answer must cover at least, and never fewer than one.
    pub fn min_shards(&self) -> usize {
        // The tolerance keeps 0.95 of 20 at 19 in binary floating point.
        let least = (self.min_shard_ratio * self.shards.len() as f64 - 1e-9).ceil();
        (least as usize).clamp(1, self.shards.len().max(1))
    }
}

/// What serves a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One service.
    Service(ServiceName),
    /// Several services by weight.
    Split(Vec<Share>),
    /// All shards at once.
    Gather(Gather),
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that operators use.
    pub name: Box<str>,
    /// Host name of the requests.
    pub host: Box<str>,
    /// Path prefix of the requests.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Most upstreams that one request, or one part of a gather, may be sent to.
    pub attempts: u32,
    /// Time after which the caller gets a final answer in any case.
    pub timeout: Duration,
    /// Time within which an answer is fully useful to the caller.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// What serves it.
    pub target: Target,
}

impl Route {
    /// Starts a route for a host name and a path prefix.
    pub fn builder(name: &str, host: &str, prefix: &str) -> RouteBuilder {
        RouteBuilder(Self {
            name: name.into(),
            host: host.into(),
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

/// Builds a [`Route`]; without settings it is not idempotent and has one attempt.
#[derive(Debug)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Sets whether a request may run more than once.
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.0.idempotent = idempotent;
        self
    }

    /// Sets the most upstreams per request or part; 0 counts as 1.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.0.attempts = attempts.max(1);
        self
    }

    /// Sets the time after which the caller gets a final answer.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.0.timeout = timeout;
        self.0.objective = self.0.objective.min(timeout);
        self
    }

    /// Sets the time within which an answer is fully useful.
    pub fn objective(mut self, objective: Duration) -> Self {
        self.0.objective = objective;
        self
    }

    /// Sets the rank; 0 is the most urgent.
    pub fn priority(mut self, priority: u32) -> Self {
        self.0.priority = priority;
        self
    }

    /// Sets what serves the route.
    pub fn target(mut self, target: Target) -> Self {
        self.0.target = target;
        self
    }

    /// Finishes the route.
    pub fn build(self) -> Route {
        self.0
    }
}
