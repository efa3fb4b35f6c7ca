//! Which hosts callers should connect to.

use std::collections::BTreeMap;
use std::sync::Arc;

use table::{Host, Target, View};

/// Most addresses in one answer.
const MOST_NAMED: usize = 64;

/// Fewest hosts that are named when there are as many, so that callers have others to turn to.
const LEAST_NAMED: usize = 3;

/// Coverage that a failure domain may fall short of the best one and still be named.
const COVERAGE_SLACK: f64 = 0.2;

/// Fraction of the greatest processor share below which a host is not named: a query's fan-out
/// costs the same processor time everywhere, so a weak host answers late.
const LEAST_POWER: f64 = 0.5;

/// Returns the hosts that callers of `domain` should connect to.
///
/// Queries over many shards go to hosts beside the shards' replicas, so that only the merged answer
/// crosses between failure domains. Strong hosts are named first, and those of the caller's own
/// failure domain only if they are strong: a weak host would be overloaded by a domain's callers.
pub fn advertised_hosts(view: &View, domain: Option<&str>) -> Vec<Arc<Host>> {
    let hosts: Vec<_> =
        view.hosts.values().filter(|host| !view.evacuated.contains(&host.domain)).collect();
    let hosts = if hosts.is_empty() { view.hosts.values().collect() } else { hosts };
    let coverage = coverage(view);
    let of = |domain: &str| coverage.get(domain).copied().unwrap_or(0.0);
    let best = hosts.iter().map(|host| of(&host.domain)).fold(0.0, f64::max);
    let covered = |host: &&&Arc<Host>| of(&host.domain) >= best - COVERAGE_SLACK;
    let able: Vec<_> = hosts.iter().filter(covered).copied().collect();
    let strong = strongest(&able);
    let near = strong.iter().filter(|host| Some(&*host.domain) == domain).copied();
    let mut chosen: Vec<_> = near.collect();
    if chosen.len() < LEAST_NAMED {
        chosen = strong;
    }
    if chosen.len() < LEAST_NAMED {
        chosen = hosts;
    }
    chosen.into_iter().take(MOST_NAMED).cloned().collect()
}

fn strongest<'a>(hosts: &[&'a Arc<Host>]) -> Vec<&'a Arc<Host>> {
    let most = hosts.iter().map(|host| host.cores).fold(0.0, f64::max);
    hosts.iter().filter(|host| host.cores >= most * LEAST_POWER).copied().collect()
}

/// Returns the fraction of the shards of all queries that each failure domain has replicas of.
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
