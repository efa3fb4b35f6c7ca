//! Events of a run.

use std::time::Duration;

/// Outcome that an answer reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The answer covers all shards of one snapshot.
    Complete,
    /// The answer covers some shards of one snapshot.
    Partial,
    /// No part of the request has run at an upstream.
    NotRun,
    /// Some part of the request may have run at an upstream.
    Unknown,
}

/// The arrival of a request for a part at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Upstream at which the request arrived.
    pub upstream: Box<str>,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Id of the caller's request.
    pub request: Box<str>,
    /// Whether the operation may run more than once.
    pub repeatable: bool,
    /// Requests in flight at the upstream, including this one.
    pub in_flight: u32,
    /// Requests that the upstream can run at once when it is warm.
    pub slots: u32,
    /// Requests that the upstream can run at once while it is cold, or `None` if it is warm.
    pub cold_slots: Option<u32>,
    /// Whether the upstream became cold so recently, and without announcing it, that no sender can
    /// have noticed.
    pub just_turned_cold: bool,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the start of the run.
    pub at: Duration,
    /// What happened.
    pub kind: EventKind,
}

/// Kind of an event, with the details of that kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A request for a part arrived at an upstream.
    Arrived(Arrival),
    /// An upstream ran a request.
    Ran {
        /// Id of the caller's request.
        request: Box<str>,
        /// Whether the operation may run more than once.
        repeatable: bool,
    },
    /// A caller sent the request with this id, for the first time or again.
    Sent(Box<str>),
    /// A caller received an answer.
    Answered {
        /// Id of the request that the caller sent.
        request: Box<str>,
        /// Request id in the answer.
        response_id: Box<str>,
        /// Outcome that the answer reports.
        outcome: Outcome,
        /// Snapshot that the answer reports.
        snapshot: u64,
        /// Number of covered shards that the answer reports.
        covered: u32,
        /// Total number of shards that the answer reports.
        total: u32,
        /// Missing shards that the answer lists.
        missing: Vec<u32>,
        /// Snapshot and shard of each result.
        results: Vec<(u64, u32)>,
        /// Whether every result belongs to the query of this request.
        results_match: bool,
    },
    /// A caller's connection was closed without an answer although no upstream had failed.
    Aborted {
        /// Id of the request that got no answer.
        request: Box<str>,
    },
    /// Operators evacuated a failure domain and got the confirmation.
    DomainEvacuated(Box<str>),
    /// Operators ended the evacuation of a failure domain.
    DomainRestored(Box<str>),
    /// The list of hosts marked an upstream as leaving.
    Leaving(Box<str>),
    /// The list of hosts no longer marks an upstream as leaving.
    Live(Box<str>),
    /// The configuration with this revision was accepted.
    ConfigAccepted(u64),
    /// A configuration was in force on a node.
    ConfigInForce {
        /// Name of the node.
        node: Box<str>,
        /// Revision in force on the node.
        revision: u64,
    },
}
