//! What can happen in a run.

use std::time::Duration;

/// How an answer labelled itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// All shards of one snapshot.
    Complete,
    /// Some shards of one snapshot.
    Partial,
    /// No part has reached an upstream.
    NotRun,
    /// Some part may have.
    Unknown,
}

/// One piece of work that arrived at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Upstream that it arrived at.
    pub upstream: Box<str>,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Request that it belongs to.
    pub request: Box<str>,
    /// Whether the operation may run more than once.
    pub repeatable: bool,
    /// Requests at the upstream, this one included.
    pub in_flight: u32,
    /// Requests that it bears when warm.
    pub slots: u32,
    /// Requests that it bears now, if it is cold.
    pub cold_slots: Option<u32>,
    /// Whether the upstream turned cold so lately, and without a sign, that nobody can know.
    pub just_turned_cold: bool,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When it happened, since the start of the run.
    pub at: Duration,
    /// What happened.
    pub kind: EventKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Work arrived at an upstream.
    Arrived(Work),
    /// Work ran to its end at an upstream.
    Ran {
        /// Request that it belonged to.
        request: Box<str>,
        /// Whether the operation may run more than once.
        repeatable: bool,
    },
    /// A caller sent a request, for the first time or once more.
    Sent(Box<str>),
    /// A caller had its answer.
    Answered {
        /// Request that it answers.
        request: Box<str>,
        /// Request that the answer names.
        response_id: Box<str>,
        /// How it labels itself.
        outcome: Outcome,
        /// Snapshot that it names.
        snapshot: u64,
        /// Shards that it says it covers.
        covered: u32,
        /// Shards that it says there are.
        total: u32,
        /// Shards that it names as missing.
        missing: Vec<u32>,
        /// Snapshot and shard of each result.
        results: Vec<(u64, u32)>,
        /// Whether every result belongs to the request's own query.
        results_match: bool,
    },
    /// A caller's connection ended without an answer although no upstream was at fault.
    Aborted {
        /// Request that was cut.
        request: Box<str>,
    },
    /// Operators took a failure domain out, and were told so.
    DomainOut(Box<str>),
    /// Operators put a failure domain back.
    DomainIn(Box<str>),
    /// The list of hosts said that an upstream is leaving.
    Leaving(Box<str>),
    /// The list of hosts said that an upstream stays.
    Live(Box<str>),
    /// An edit of the configuration was accepted.
    ConfigAccepted(u64),
    /// A node had the configuration in force.
    ConfigInForce {
        /// The node.
        node: Box<str>,
        /// Revision in force there.
        revision: u64,
    },
}
