//! The heartbeat, which is the only datagram of the membership protocol.

use std::collections::BTreeSet;

use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};

/// A heartbeat from one host to another, which also acknowledges the latest heartbeat of the
/// receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub host: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Epoch that the sender has adopted, 0 for none.
    pub epoch: Epoch,
    /// Sequence number of this heartbeat, counted by the sender for each receiver.
    pub sequence: u64,
    /// Sequence number of the latest heartbeat of the receiver, 0 if the sender does not support
    /// the receiver.
    pub ack: u64,
    /// Incarnation of the receiver that `ack` belongs to.
    pub ack_incarnation: Incarnation,
    /// Members from which the sender has withdrawn support in this epoch.
    pub withdrawn: BTreeSet<HostId>,
    /// Revision of the configuration that the sender holds.
    pub config: u64,
    /// Whether the sender wants to leave the roster.
    pub leaving: bool,
    /// Roster entry of the sender, while the sender is not in the roster.
    pub entry: Option<Entry>,
    /// Roster of the sender, if the receiver was last seen with an older one.
    pub roster: Option<Roster>,
}
