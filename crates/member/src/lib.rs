//! Membership of a cell of egresses, and ownership of groups of upstreams.
//!
//! The crate is a state machine without I/O: it takes heartbeats, roster reads and the current
//! time, and returns [`Action`]s. One quorum rule covers both ordinary ownership and takeover: a
//! host may send to a group while a majority of the roster has acknowledged heartbeats that the
//! host *sent* within the fence time, and each acknowledgement states that its sender has withdrawn
//! support from every member ranked higher for the group. The design and its proofs are in
//! `docs/design/ownership.md`.
//!
//! - A *cell* is a set of egresses that agree on one [`Roster`], whose version number is the
//!   [`Epoch`]. An [`Incarnation`] is one run of the process of a host.
//! - The *fence* is the age at which the acknowledgement of a heartbeat no longer counts, measured
//!   from the transmission of the heartbeat.
//! - The *vote* of a host on another member states whether the host *supports* the member, that is,
//!   acknowledges its heartbeats.
//! - An epoch is *established* once a majority of the members of the previous roster has adopted
//!   it or is dead.
//! - A *handover* passes a group from its former owner to its new owner in an epoch, with the state
//!   that the former owner knows.
//! - The *takeover delay* is the time for which a new owner waits if there is no handover: the
//!   fence time plus the maximum duration of a request.
//! - A *tenure* is a period of ownership of a group during which no other host can have owned the
//!   group. A gap in ownership does not end it if the gap is shorter than the takeover delay and
//!   lies within one epoch, or between two consecutive epochs with the group retained into the
//!   later one.
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
