//! Which brokers callers should use.

use std::net::SocketAddr;
use std::time::Duration;

use rules::Rules;
use serde::{Deserialize, Serialize};

/// Time for which a caller may keep an answer of the directory.
pub const ENTRY_TTL: Duration = Duration::from_secs(2);

/// Brokers named in one answer.
const MOST_ENTRIES: usize = 4;

/// Searches in flight that weigh as much as standing in another failure domain.
const FAR_LOAD: u32 = 16;

/// One broker, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of the host.
    pub host: Box<str>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Searches in flight, in steps of 8 so that small changes need no message.
    pub load: u32,
    /// Whether it will stop or its failure domain is out.
    pub leaving: bool,
    /// Revision of the configuration that it holds.
    pub config: u64,
    /// Since when it does, in milliseconds of Unix time.
    pub config_ms: u64,
}

/// Returns the brokers that callers of `domain` should use, the best first.
///
/// Brokers that leave or whose failure domain is out are left out, as long as there is another.
pub fn entries<'a>(rules: &Rules, domain: &str, brokers: &'a [Presence]) -> Vec<&'a Presence> {
    let out = |broker: &Presence| rules.domains.get(&broker.domain).is_some_and(|rule| rule.out);
    let mut open: Vec<_> =
        brokers.iter().filter(|broker| !broker.leaving && !out(broker)).collect();
    open.sort_by_key(|broker| {
        let far = if *broker.domain == *domain { 0 } else { FAR_LOAD };
        (broker.load + far, &broker.host)
    });
    open.truncate(MOST_ENTRIES);
    open
}
