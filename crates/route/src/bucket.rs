//! Buckets of the at-most-once ledgers, each owned like a group of upstreams.

use member::{Key, score};

/// Number of buckets.
const BUCKETS: u64 = 16;

fn key(number: u64) -> Key {
    Key { domain: "".into(), name: format!("once/{number}").into() }
}

/// Returns the bucket whose ledger holds a request's id.
pub fn bucket(id: &str) -> Key {
    key(score(id, "bucket") % BUCKETS)
}

/// Returns all buckets.
pub fn buckets() -> impl Iterator<Item = Key> {
    (0..BUCKETS).map(key)
}

/// Returns whether a group is a bucket; groups of upstreams have a failure domain.
pub fn is_bucket(key: &Key) -> bool {
    key.domain.is_empty()
}
