//! Ranking of the hosts for a group by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

use crate::roster::{HostId, Roster};

/// Returns the rendezvous hash of `host` for `key`.
///
/// Hosts with a greater hash rank first. [`rank`] also takes the failure domain into account.
pub fn rendezvous_hash(key: &str, host: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + host.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(host.as_bytes());
    xxh3_64(&bytes)
}

/// Returns the members of `roster` ranked for `key`, the owner first.
///
/// Members in `domain` rank before all others, so that the loss of one failure domain moves no
/// group of another failure domain. Members on the same side of this division rank by their
/// rendezvous hash, the greatest first.
pub fn rank<'a>(roster: &'a Roster, domain: &str, key: &str) -> Vec<&'a HostId> {
    let mut hosts: Vec<_> = roster
        .members
        .iter()
        .map(|(host, entry)| (&*entry.domain == domain, rendezvous_hash(key, host), host))
        .collect();
    hosts.sort_by(|a, b| b.cmp(a));
    hosts.into_iter().map(|(_, _, host)| host).collect()
}
