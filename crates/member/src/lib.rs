//! Who belongs to a cell of egresses, and which of them may send to a group of upstreams.
//!
//! Everything here is a plain state machine: beats, roster reads and the present time go in,
//! [`Action`]s come out. One quorum rule covers ordinary ownership and takeover alike: a host may
//! send for a group while a majority of the roster has acknowledged beats that the host *sent*
//! within the fence time, each acknowledgement saying that its author has withdrawn from every
//! member ranked higher for the group. Reasons and proofs are in `docs/design/ownership.md`.
//!
//! ```
//! use std::time::Instant;
//!
//! let settings = member::Settings::new("egress-1", 1, "perth-1", "127.0.0.1:7001".parse().unwrap());
//! let mut state = member::Member::new(settings, Instant::now());
//! let actions = state.tick(Instant::now());
//! assert!(actions.contains(&member::Action::ReadRoster));
//! ```

mod epoch;
mod heartbeat;
mod peer;
mod propose;
mod rank;
mod roster;
mod state;
mod tenure;
mod vote;

pub use crate::heartbeat::Heartbeat;
pub use crate::rank::{rank, score};
pub use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};
pub use crate::state::{Action, Key, Member, Settings};
pub use crate::tenure::Tenures;
