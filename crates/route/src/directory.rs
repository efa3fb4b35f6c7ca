//! Service discovery for callers: the directory of the brokers that they should use.

use std::net::SocketAddr;
use std::time::Duration;

use rules::Rules;
use serde::{Deserialize, Serialize};

/// Time for which a caller may cache an answer of the directory, that is, a list of brokers.
pub const DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// Maximum number of brokers in one answer of the directory.
const MAX_BROKERS: usize = 4;

/// Load penalty of a broker in another failure domain than the caller, in searches in flight.
const REMOTE_LOAD_PENALTY: u32 = 16;

/// The state that a broker reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of the broker.
    pub host: Box<str>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain of the broker.
    pub domain: Box<str>,
    /// Searches in flight, in steps of 8, so that small changes do not cause messages.
    pub load: u32,
    /// Whether the broker is about to stop or its failure domain is evacuated.
    pub leaving: bool,
    /// Revision of the configuration that the broker holds.
    pub config: u64,
    /// Time since which the broker has held that configuration, in milliseconds of Unix time.
    pub config_ms: u64,
}

/// Returns the entries of the directory: up to 4 brokers that callers in `domain` should use, the
/// best first.
///
/// Brokers in `domain` with few searches in flight come first. Brokers that are leaving or whose
/// failure domain is evacuated are omitted.
pub fn entries<'a>(rules: &Rules, domain: &str, brokers: &'a [Presence]) -> Vec<&'a Presence> {
    let out = |broker: &Presence| rules.domains.get(&broker.domain).is_some_and(|rule| rule.out);
    let mut available: Vec<_> =
        brokers.iter().filter(|broker| !broker.leaving && !out(broker)).collect();
    available.sort_by_key(|broker| {
        let penalty = if *broker.domain == *domain { 0 } else { REMOTE_LOAD_PENALTY };
        (broker.load + penalty, &broker.host)
    });
    available.truncate(MAX_BROKERS);
    available
}
