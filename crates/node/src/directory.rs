//! Service discovery for callers: selection of the advertised hosts, which callers are told to
//! connect to.

use std::collections::BTreeMap;
use std::sync::Arc;

use table::{Host, Target, View};

/// Maximum number of addresses in a lookup.
const MAX_ADVERTISED: usize = 64;

/// Minimum number of hosts in a lookup, if as many exist, so that callers can fail over.
const MIN_ADVERTISED: usize = 3;

/// Difference to the best coverage of any failure domain up to which the hosts of a domain are
/// still advertised.
const COVERAGE_TOLERANCE: f64 = 0.2;

/// Fraction of the largest processor share below which a host is not advertised. The fan-out of a
/// query costs the same processor time on every host, so a host with a small share responds late.
const MIN_CORES_RATIO: f64 = 0.5;

/// Returns the advertised hosts, which callers of the failure domain `domain` should connect to.
///
/// Hosts of failure domains that have replicas of the shards are preferred, so that only the merged
/// response of a query crosses between domains. Among them, hosts with a small processor share are
/// left out, even in the caller's own domain, where all callers of the domain would overload them.
/// If fewer than three of the remaining hosts are in the caller's domain, the remaining hosts of
/// all domains are returned, and if these are too few as well, all hosts. Hosts of evacuated
/// domains, and after them isolated hosts, are returned only if there are no others.
pub fn advertised_hosts(view: &View, domain: Option<&str>) -> Vec<Arc<Host>> {
    let all = view.hosts.values();
    let hosts = retain_if_any(all.collect(), |host| !host.isolated);
    let hosts = retain_if_any(hosts, |host| !view.evacuated.contains(&host.domain));
    let coverage = coverage(view);
    let coverage_of = |domain: &str| coverage.get(domain).copied().unwrap_or(0.0);
    let best = hosts.iter().map(|host| coverage_of(&host.domain)).fold(0.0, f64::max);
    let is_covered = |host: &&&Arc<Host>| coverage_of(&host.domain) >= best - COVERAGE_TOLERANCE;
    let covered: Vec<_> = hosts.iter().filter(is_covered).copied().collect();
    let strong = strongest(&covered);
    let local = strong.iter().filter(|host| Some(&*host.domain) == domain).copied();
    let mut chosen: Vec<_> = local.collect();
    if chosen.len() < MIN_ADVERTISED {
        chosen = strong;
    }
    if chosen.len() < MIN_ADVERTISED {
        chosen = hosts;
    }
    chosen.into_iter().take(MAX_ADVERTISED).cloned().collect()
}

/// Returns whether a host with the given processor share is not advertised because other hosts of the
/// view have a much larger one.
pub fn is_weak(view: &View, cores: f64) -> bool {
    let max = view.hosts.values().map(|host| host.cores).fold(0.0, f64::max);
    cores < max * MIN_CORES_RATIO
}

/// Returns the hosts that match `condition`, or all if none does.
fn retain_if_any(hosts: Vec<&Arc<Host>>, condition: impl Fn(&Host) -> bool) -> Vec<&Arc<Host>> {
    let matching: Vec<_> = hosts.iter().copied().filter(|host| condition(host)).collect();
    if matching.is_empty() { hosts } else { matching }
}

/// Returns the hosts whose processor share is at least [`MIN_CORES_RATIO`] of the largest.
fn strongest<'a>(hosts: &[&'a Arc<Host>]) -> Vec<&'a Arc<Host>> {
    let max = hosts.iter().map(|host| host.cores).fold(0.0, f64::max);
    hosts.iter().filter(|host| host.cores >= max * MIN_CORES_RATIO).copied().collect()
}

/// Returns for each failure domain the fraction of the shards of all gather routes that it has a
/// replica of.
fn coverage(view: &View) -> BTreeMap<&str, f64> {
    let mut found: BTreeMap<&str, f64> = BTreeMap::new();
    let Some(table) = &view.table else { return found };
    let mut total = 0.0_f64;
    for route in table.routes() {
        let Target::Gather(gather) = &route.target else { continue };
        for shard in &gather.shards {
            total += 1.0;
            let mut domains: Vec<&str> =
                view.upstreams_of(shard).iter().map(|upstream| &*upstream.domain).collect();
            domains.sort_unstable();
            domains.dedup();
            for domain in domains {
                *found.entry(domain).or_default() += 1.0;
            }
        }
    }
    for count in found.values_mut() {
        *count /= total.max(1.0);
    }
    found
}
