//! Assignment of parts to relay requests.

use std::collections::BTreeMap;

/// Minimum number of parts for which a relay is worth its own message, which is as large as two
/// answers. Fewer parts are requested directly.
const MIN_PARTS_PER_REQUEST: usize = 3;

/// Maximum number of parts in one relay request, so that one relay does not become the straggler of
/// a large query.
const MAX_PARTS_PER_REQUEST: usize = 24;

/// Splits parts into those that are requested directly and those that go to relays.
///
/// Each part comes with the failure domain whose relays can request it, or `None` if it must be
/// requested directly. Returns the direct parts, and for each relay request its failure domain and
/// parts. The requests to one domain are of about equal size.
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
    let mut requests = Vec::new();
    for (domain, parts) in domains {
        if parts.len() < MIN_PARTS_PER_REQUEST {
            direct.extend(parts);
            continue;
        }
        let count = parts.len().div_ceil(MAX_PARTS_PER_REQUEST);
        let size = parts.len().div_ceil(count);
        requests.extend(parts.chunks(size).map(|chunk| (domain, chunk.to_vec())));
    }
    (direct, requests)
}
