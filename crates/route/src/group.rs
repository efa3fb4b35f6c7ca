//! Groups: the unit of ownership.

use member::Key;

/// Consecutive shards of one service in one failure domain that have one owner, so that a search
/// over 520 shards needs about 52 messages between our hosts.
pub const GROUP_SHARDS: u32 = 10;

/// Returns the group of a shard's upstreams in one failure domain.
pub fn group(service: &str, domain: &str, shard: u32) -> Key {
    let name = format!("{service}/{domain}/{}", shard / GROUP_SHARDS);
    Key { domain: domain.into(), name: name.into() }
}
