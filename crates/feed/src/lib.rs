//! A host's copy of the store's entries, and the selection of the source to read them from.
//!
//! The store is the key-value store of the hosting platform, and the hosts are those that run
//! `pistachio-node`. Every host keeps a [`Mirror`]. One host of each failure domain watches the
//! store and the others follow that host through the same kind of [`Batch`]; each host selects its
//! own source with [`Sources`]. The number of calls to the store thus grows with the failure
//! domains instead of the hosts. [`Freshness`] tells how old the copy is, and [`Registration`]
//! keeps the host's own entry in the store, where a [`Registrar`] writes it for the followers of its
//! host. This crate does no I/O; see `docs/design/platform.md`.
//!
//! ```
//! use std::time::Instant;
//! use feed::{Batch, Item, Mirror, Position};
//! use table::Resource;
//!
//! let now = Instant::now();
//! let mut mirror = Mirror::new(|_key, _value| Resource::Unusable);
//! let item = Item { key: "a".into(), value: "1".into(), revision: 5 };
//! mirror.apply(now, Batch { full: true, revision: 5, puts: vec![item], ..Batch::default() });
//! assert_eq!(mirror.position().revision, 5);
//! assert_eq!(mirror.since(Position { era: 0, revision: 4 }).puts.len(), 1);
//! ```

mod batch;
mod departure;
mod error;
mod freshness;
mod mirror;
mod position;
mod registrar;
mod registration;
mod source;
mod store;

pub use crate::batch::{Batch, Item, Removal};
pub use crate::departure::Departure;
pub use crate::error::{Error, Result};
pub use crate::freshness::Freshness;
pub use crate::mirror::Mirror;
pub use crate::position::Position;
pub use crate::registrar::{Change, LEASE_TTL, MAX_VOUCHED_SILENCE, Registrar};
pub use crate::registration::{Action, Registration};
pub use crate::source::{Peer, Source, Sources};
pub use crate::store::Store;

/// Revision of the store, which grows with each change within an era.
pub type Revision = u64;

/// Number of times that the store has come back from an older copy of itself, counted by the store.
/// Revisions go back in a new era and are used again.
pub type Era = u64;

/// Identifier of a lease in the store.
pub type LeaseId = u64;
