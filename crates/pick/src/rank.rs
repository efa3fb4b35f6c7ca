//! Rendezvous ranking of hosts for one upstream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns whether `host` ranks first for `upstream` among `hosts` and itself.
///
/// Every host that sees the same hosts gives the same answer, and a host that comes or goes changes
/// it only for the upstreams that it ranks first for.
pub fn ranks_first<'a>(
    upstream: &str,
    host: &str,
    hosts: impl IntoIterator<Item = &'a str>,
) -> bool {
    let own = weight(upstream, host);
    hosts.into_iter().all(|other| other == host || weight(upstream, other) < own)
}

fn weight<'a>(upstream: &str, host: &'a str) -> (u64, &'a str) {
    (xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(upstream.as_bytes(), 0)), host)
}
