//! What a search, and one part of it, can come to.

use std::collections::BTreeMap;

use crate::service::{Pin, Shard, Snapshot};

/// Bytes of one shard's results, passed on as they came.
pub type Body = Vec<u8>;

/// Why a search did not run, or why it is unknown whether it did.
pub type Reason = Box<str>;

/// What became of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The upstream answered.
    Ran {
        /// Snapshot that the answer comes from.
        snapshot: Snapshot,
        /// Shard that the answer covers.
        shard: Shard,
        /// Number of shards in the map of that snapshot.
        shards: u32,
        /// Results.
        body: Body,
    },
    /// The part has provably not reached an upstream.
    NotRun(Reason),
    /// The part may have run.
    Unknown(Reason),
}

/// What a search came to.
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
    /// No part can have reached an upstream.
    NotRun(Reason),
    /// Some part may have run, and there is no answer.
    Unknown(Reason),
}
