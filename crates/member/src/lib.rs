//! Membership of a cell of egresses, and ownership of groups of upstreams.
//!
//! The crate is a state machine without I/O: it takes heartbeats, roster reads and the current
//! time, and returns [`Action`]s. One quorum rule covers both ordinary ownership and takeover: a
//! host may send to a group while a majority of the roster has acknowledged heartbeats that the
//! host *sent* within the fence time, and each acknowledgement states that its sender has withdrawn
//! support from every member ranked higher for the group. The design and its proofs are in
//! `docs/design/ownership.md`.
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
pub use crate::rank::{rank, rendezvous_hash};
pub use crate::roster::{Entry, Epoch, HostId, Incarnation, Roster};
pub use crate::state::{Action, Key, Member, Settings};
pub use crate::tenure::Tenures;
