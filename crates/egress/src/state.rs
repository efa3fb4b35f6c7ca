//! The state that the control thread publishes, and the messages between the two threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use member::{Epoch, Key};
use once::Ledger;
use route::{Config, Hosts};
use rules::Rules;

/// Permission to send to the upstreams of one group, or to answer claims from the ledger of one
/// bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Time at which the grant expires unless it is renewed. The traffic thread checks the time
    /// immediately before it writes a request.
    pub until: Instant,
    /// Wall-clock time at which the current tenure began. A short gap between two grants does not
    /// end a tenure (see [`member::Tenures`]).
    pub since: SystemTime,
}

/// One upstream in the list of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that the upstream belongs to.
    pub service: Box<str>,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Shard of the upstream according to the list.
    pub shard: u32,
    /// Number of shards of its index according to the list.
    pub shards: u32,
    /// Whether the upstream takes no new requests, because the list of hosts marks the upstream as
    /// leaving or its failure domain is evacuated.
    pub draining: bool,
    /// Group of upstreams that the upstream belongs to.
    pub key: Key,
}

/// The control state at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Rules of that configuration.
    pub rules: Arc<Rules>,
    /// Epoch of the adopted roster.
    pub epoch: Epoch,
    /// Names and addresses of the members of the roster.
    pub egresses: Vec<(Box<str>, SocketAddr)>,
    /// Configuration that each egress holds, as reported by heartbeats.
    pub held: Vec<route::HeldConfig>,
    /// Grants of this host, by group of upstreams or ledger bucket.
    pub grants: BTreeMap<Key, Grant>,
    /// Upstreams by name.
    pub targets: Arc<BTreeMap<Box<str>, Target>>,
    /// The list of hosts that the targets were computed from.
    pub hosts: Arc<Hosts>,
}

impl Control {
    /// Returns whether targets, rules, epoch, egresses, held configurations or tenures differ from
    /// those of `other`. A renewal of grants is no difference.
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

    /// Returns the grant for a group of upstreams or a ledger bucket, or `None` if there is no
    /// grant or the grant has expired at `now`.
    pub fn grant(&self, now: Instant, key: &Key) -> Option<Grant> {
        self.grants.get(key).copied().filter(|grant| now < grant.until)
    }
}

/// The state of an upstream that its owner hands over to the next owner.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct UpstreamState {
    /// Name of the upstream.
    pub upstream: Box<str>,
    /// Whether the upstream was warm.
    pub warm: bool,
    /// Number of requests that may still be running at the upstream.
    pub busy: u32,
    /// Time in milliseconds until the last of these requests must have ended.
    pub busy_ms: u64,
    /// Snapshot that the upstream was last seen to serve.
    pub snapshot: u64,
}

/// Handover of groups of upstreams and of ledger buckets to their next owner.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Handover {
    /// Epoch that assigns the groups and buckets to the next owner.
    pub epoch: Epoch,
    /// Failure domain and name of each group and bucket.
    pub keys: Vec<(Box<str>, Box<str>)>,
    /// State of the upstreams of the groups.
    pub upstreams: Vec<UpstreamState>,
    /// Names and ledgers of the buckets.
    pub ledgers: Vec<(Box<str>, Ledger)>,
}

/// Instruction of the control thread to the traffic thread to hand groups of upstreams and ledger
/// buckets over.
#[derive(Debug)]
pub(crate) struct Command {
    /// Address of the next owner.
    pub to: SocketAddr,
    /// Epoch that assigns the groups and buckets to the next owner.
    pub epoch: Epoch,
    /// Groups and buckets to hand over.
    pub keys: Vec<Key>,
}

/// An event that the control thread handles.
#[derive(Debug)]
pub(crate) enum Event {
    /// The roster was read from the platform.
    Roster(store::Versioned),
    /// A configuration was read from the platform or received from another host.
    Config(Config),
    /// A list of hosts was read from the platform or received from another host.
    Hosts(Hosts),
    /// A write of the roster has ended, successfully or not.
    RosterWritten,
    /// A former owner has handed groups of upstreams or ledger buckets over to this host.
    HandoverReceived(Epoch, Vec<Key>),
}
