//! Groups: the unit of ownership.

use member::{Key, score};

/// Groups of one service in one failure domain.
///
/// The number is fixed, since two hosts that disagree on it would both own an upstream. It has to
/// grow with the fleet by way of the roster, see `docs/design/ownership.md`.
pub const GROUPS: u64 = 4;

/// Returns the group of an upstream.
///
/// It depends on nothing that changes while the upstream lives: a group by shard would move with a
/// repartition, which the lagging list tells different hosts at different times.
pub fn group(service: &str, domain: &str, upstream: &str) -> Key {
    let number = score(upstream, "group") % GROUPS;
    Key { domain: domain.into(), name: format!("{service}/{domain}/{number}").into() }
}
