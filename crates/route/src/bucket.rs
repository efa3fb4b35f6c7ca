//! Buckets of the at-most-once ledgers. A bucket is a fixed subset of the request ids, with one
//! ledger. It has an owner, as a group of upstreams has.

use member::{Key, rendezvous_hash};

/// Number of buckets.
const BUCKETS: u64 = 16;

fn key(number: u64) -> Key {
    Key { domain: "".into(), name: format!("once/{number}").into() }
}

/// Returns the bucket whose ledger holds the request id `id`.
pub fn bucket(id: &str) -> Key {
    key(rendezvous_hash(id, "bucket") % BUCKETS)
}

/// Returns all buckets.
pub fn buckets() -> impl Iterator<Item = Key> {
    (0..BUCKETS).map(key)
}

/// Returns whether `key` is a bucket, which has no failure domain, unlike a group of upstreams.
pub fn is_bucket(key: &Key) -> bool {
    key.domain.is_empty()
}
