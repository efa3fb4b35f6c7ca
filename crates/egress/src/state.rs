//! What control publishes to traffic.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use member::{Epoch, Key};
use once::Ledger;
use route::{Config, Hosts};
use rules::Rules;

/// Permission to send for one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// When the permission lapses unless it is renewed; traffic checks right before it writes.
    pub until: Instant,
    /// When this uninterrupted tenure began, by the wall clock.
    pub since: SystemTime,
}

/// One upstream of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that it answers for.
    pub service: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Shard that the list names.
    pub shard: u32,
    /// Number of shards that the list names.
    pub shards: u32,
    /// Whether it takes no new work: it leaves, or operators took its domain out.
    pub closed: bool,
    /// Group that it belongs to.
    pub key: Key,
}

/// Control state as of one instant.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Rules of that configuration.
    pub rules: Arc<Rules>,
    /// Epoch of the adopted roster.
    pub epoch: Epoch,
    /// Members of the roster.
    pub egresses: Vec<(Box<str>, SocketAddr)>,
    /// Configuration that each egress holds, as its beats tell.
    pub held: Vec<route::HeldConfig>,
    /// Groups that this host may send for.
    pub grants: BTreeMap<Key, Grant>,
    /// Upstreams by name.
    pub targets: Arc<BTreeMap<Box<str>, Target>>,
    /// The list of hosts that the targets come from.
    pub hosts: Arc<Hosts>,
}

impl Control {
    /// Returns whether more than the renewal of grants has changed since `other`.
    pub(crate) fn differs(&self, other: &Self) -> bool {
        let tenures = |control: &Self| {
            control.grants.iter().map(|(key, grant)| (key.clone(), grant.since)).collect::<Vec<_>>()
        };
        !Arc::ptr_eq(&self.targets, &other.targets)
            || !Arc::ptr_eq(&self.rules, &other.rules)
            || self.epoch != other.epoch
            || self.egresses != other.egresses
            || self.held != other.held
            || tenures(self) != tenures(other)
    }

    /// Returns the permission for a group, if it stands at `now`.
    pub fn grant(&self, now: Instant, key: &Key) -> Option<Grant> {
        self.grants.get(key).copied().filter(|grant| now < grant.until)
    }
}

/// What is handed over with an upstream.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Handover {
    /// Upstream.
    pub upstream: Box<str>,
    /// Whether it was warm.
    pub warm: bool,
    /// Requests that may still run there.
    pub busy: u32,
    /// Time until the last of them must have ended.
    pub busy_ms: u64,
    /// Snapshot last seen.
    pub snapshot: u64,
}

/// Groups handed over to their next owner.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Release {
    /// Epoch that gives the groups to the next owner.
    pub epoch: Epoch,
    /// Failure domain and name of each group.
    pub keys: Vec<(Box<str>, Box<str>)>,
    /// What is known of their upstreams.
    pub upstreams: Vec<Handover>,
    /// Ledgers of the buckets among the groups.
    pub ledgers: Vec<(Box<str>, Ledger)>,
}

/// What control asks of traffic.
#[derive(Debug)]
pub(crate) struct Command {
    /// Next owner.
    pub to: SocketAddr,
    /// Epoch that makes it so.
    pub epoch: Epoch,
    /// Groups to hand over.
    pub keys: Vec<Key>,
}

/// What happens to control.
#[derive(Debug)]
pub(crate) enum Event {
    /// The roster was read.
    Roster(store::Versioned),
    /// A configuration was read or told.
    Config(Config),
    /// A list of hosts was read or told.
    Hosts(Hosts),
    /// A roster write has ended, one way or another.
    Written,
    /// Groups were handed over to this host.
    Released(Epoch, Vec<Key>),
}
