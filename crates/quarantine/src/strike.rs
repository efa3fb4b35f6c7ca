//! Records of crashes that hosts exchange.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Fingerprint;

/// Hash of the id of one attempt of a caller, which is the same at all hosts that take part in it.
pub type AttemptId = u64;

/// Returns the id of the caller's attempt that carries `request_id`.
pub fn attempt_id(request_id: &[u8]) -> AttemptId {
    xxh3_64(request_id)
}

/// One attempt of a caller during which upstreams crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Content of the request.
    pub request: Fingerprint,
    /// The attempt of the caller.
    pub attempt: AttemptId,
    /// Number of upstreams that crashed, at most
    /// [`MAX_CRASHES_PER_ATTEMPT`](crate::MAX_CRASHES_PER_ATTEMPT) in the store. Zero while it is not
    /// certain that one has.
    pub crashes: u32,
}

impl Strike {
    /// Encodes the strike for a datagram to another host.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a strike in memory is always encodable")
    }

    /// Decodes a datagram of another host, or returns `None` if it holds no strike.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
