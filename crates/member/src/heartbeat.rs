//! The one message of membership.

use std::collections::BTreeSet;

use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};

/// A heartbeat, which also acknowledges the receiver's latest one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub host: HostId,
    /// Sender's process life.
    pub incarnation: Incarnation,
    /// Epoch that the sender has adopted, 0 for none.
    pub epoch: Epoch,
    /// Number of this beat, counted by the sender for this receiver.
    pub sequence: u64,
    /// Latest beat of the receiver that the sender supports, 0 for none.
    pub ack: u64,
    /// Life of the receiver that `ack` belongs to.
    pub ack_incarnation: Incarnation,
    /// Members from which the sender has withdrawn its support in this epoch.
    pub withdrawn: BTreeSet<HostId>,
    /// Revision of the configuration that the sender holds.
    pub config: u64,
    /// Whether the sender wants to leave the roster.
    pub leaving: bool,
    /// The sender's own entry, while the receiver may not know it.
    pub entry: Option<Entry>,
    /// The sender's roster, when the receiver was last seen with an older one.
    pub roster: Option<Roster>,
}
