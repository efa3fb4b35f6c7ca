//! Which parts travel together.

use std::collections::BTreeMap;

/// Fewest parts for which a relay is worth its own message, which is as large as two answers.
const LEAST: usize = 3;

/// Most parts in one order, so that one relay does not become the slowest part of a large query.
const MOST: usize = 24;

/// Splits parts into those that are asked for directly and orders for relays.
///
/// Each part comes with the failure domain whose relays can ask for it, or `None` if it must be
/// asked for directly. Orders to one domain are of about equal size.
pub fn plan<'a>(
    parts: impl IntoIterator<Item = (usize, Option<&'a str>)>,
) -> (Vec<usize>, Vec<(&'a str, Vec<usize>)>) {
    let mut direct = Vec::new();
    let mut domains: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (part, domain) in parts {
        match domain {
            Some(domain) => domains.entry(domain).or_default().push(part),
            None => direct.push(part),
        }
    }
    let mut orders = Vec::new();
    for (domain, parts) in domains {
        if parts.len() < LEAST {
            direct.extend(parts);
            continue;
        }
        let count = parts.len().div_ceil(MOST);
        let size = parts.len().div_ceil(count);
        orders.extend(parts.chunks(size).map(|chunk| (domain, chunk.to_vec())));
    }
    (direct, orders)
}
