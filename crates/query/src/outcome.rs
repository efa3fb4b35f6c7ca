//! Outcomes of a search and of each attempt at a part.

use std::collections::BTreeMap;

use crate::service::{Pin, Shard, Snapshot};

/// Results of one shard as opaque bytes.
pub type Body = Vec<u8>;

/// Reason why a search did not run, or why it is unknown whether it ran.
pub type Reason = Box<str>;

/// The outcome of one attempt at a part, as the owner of the upstream reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The upstream answered.
    Ran {
        /// Snapshot of the index that the upstream answered from.
        snapshot: Snapshot,
        /// Shard that the answer covers.
        shard: Shard,
        /// Number of shards of that snapshot.
        shards: u32,
        /// Results of the shard.
        body: Body,
    },
    /// No upstream has run the part, so it is safe to send again. Its owner has refused it, or the
    /// upstream has shed it.
    NotRun(Reason),
    /// The part may have run, and there is no answer.
    Unknown(Reason),
}

/// The outcome of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every shard of one snapshot answered.
    Complete {
        /// Snapshot and its number of shards.
        pin: Pin,
        /// Results by shard.
        results: BTreeMap<Shard, Body>,
    },
    /// Some shards of one snapshot answered.
    Partial {
        /// Snapshot and its number of shards.
        pin: Pin,
        /// Results by shard.
        results: BTreeMap<Shard, Body>,
        /// Shards without an answer.
        missing: Vec<Shard>,
    },
    /// No upstream has run any part.
    NotRun(Reason),
    /// At least one part may have run, and no shard has answered.
    Unknown(Reason),
}
