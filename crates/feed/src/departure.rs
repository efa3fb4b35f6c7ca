//! Upstreams that leave without an entry in the store that says so.

use table::UpstreamId;

/// An incarnation of an upstream that has stated in an answer that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start of its process in Unix milliseconds.
    pub started_ms: u64,
}
