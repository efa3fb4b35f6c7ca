//! Rendezvous hashing of hosts for one upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns whether `host` has the highest rendezvous hash for `upstream` among `hosts` and itself.
///
/// All hosts that see the same list of hosts agree on the result. When a host is added or removed,
/// the result changes only for the upstreams for which that host ranks first.
pub fn ranks_first<'a>(
    upstream: &str,
    host: &str,
    hosts: impl IntoIterator<Item = &'a str>,
) -> bool {
    rank(upstream, host, hosts) == 0
}

/// Returns the number of `hosts` that rank before `host` for `upstream`.
pub fn rank<'a>(upstream: &str, host: &str, hosts: impl IntoIterator<Item = &'a str>) -> usize {
    let own = weight(upstream, host);
    hosts.into_iter().filter(|other| *other != host && weight(upstream, other) > own).count()
}

/// Returns `hosts` in descending order of their rendezvous hashes for `key`, each once.
pub fn ranked<'a>(key: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut hosts: Vec<_> = hosts.into_iter().map(|host| weight(key, host)).collect();
    hosts.sort_unstable_by(|a, b| b.cmp(a));
    hosts.dedup();
    hosts.into_iter().map(|(_, host)| host).collect()
}

/// Returns the rendezvous hash of a host for an upstream, with the name to break ties.
pub fn weight<'a>(upstream: &str, host: &'a str) -> (u64, &'a str) {
    (xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(upstream.as_bytes(), 0)), host)
}
