//! Groups of upstreams, which are the unit of ownership.

use member::{Key, rendezvous_hash};

/// Number of groups of one service in one failure domain.
///
/// The number is fixed, because two hosts with different numbers could both own an upstream. A
/// larger fleet needs more groups, which have to be introduced through the roster; see
/// `docs/design/ownership.md`.
pub const GROUPS: u64 = 4;

/// Returns the group of an upstream.
///
/// The group depends only on values that are constant for an upstream. A group chosen by shard
/// would change with a repartition, which hosts learn at different times from the lagging list.
pub fn group(service: &str, domain: &str, upstream: &str) -> Key {
    let number = rendezvous_hash(upstream, "group") % GROUPS;
    Key { domain: domain.into(), name: format!("{service}/{domain}/{number}").into() }
}
