//! The control state that brokers and egresses share: list of hosts, groups of upstreams,
//! configuration and directory of brokers.
//!
//! The crate also has the state machine by which the operator's tool edits the configuration.
//! Routes of requests, in the sense of a host name and a path prefix, are defined in the crate
//! `table`.
//!
//! The crate does no I/O. `docs/ARCHITECTURE.md` describes how the state is distributed.
//!
//! ```
//! let key = route::group("live-faults", "perth-1", "live-faults-13-0");
//! assert!(key.name.starts_with("live-faults/perth-1/"));
//! ```

mod apply;
mod bucket;
mod config;
mod directory;
mod drain;
mod group;
mod hosts;
mod tree;
mod view;

pub use crate::apply::{Apply, Change, Outcome, Step, WriteResult};
pub use crate::bucket::{bucket, buckets, is_bucket};
pub use crate::config::{Config, Document, EditId, Latest, Revision};
pub use crate::directory::{DIRECTORY_TTL, Presence, entries};
pub use crate::drain::{Drain, Stage};
pub use crate::group::{GROUPS, group};
pub use crate::hosts::{Host, Hosts, Kind, Life, Placement};
pub use crate::tree::{TreePosition, tree_position};
pub use crate::view::{Follow, HeldConfig, Report, Status, Update, View};
