//! A host's copy of the store's entries, and the choice of where to read them.
//!
//! Every host keeps a [`Mirror`]. One host of a failure domain watches the store, the others
//! follow it through the same kind of [`Batch`], and [`Sources`] decides which host does which, so
//! that calls to the store grow with failure domains instead of hosts. [`Registration`] keeps the
//! host's own entry in the store. Nothing here does I/O; see `docs/design/platform.md`.
//!
//! ```
//! use std::time::Instant;
//! use feed::{Batch, Item, Mirror};
//! use table::Resource;
//!
//! let now = Instant::now();
//! let mut mirror = Mirror::new(|_key, _value| Resource::Unusable);
//! let item = Item { key: "a".into(), value: "1".into(), revision: 5 };
//! mirror.apply(now, Batch { full: true, revision: 5, puts: vec![item], removes: vec![] });
//! assert_eq!(mirror.revision(), 5);
//! assert_eq!(mirror.since(4).puts.len(), 1);
//! ```

mod batch;
mod error;
mod freshness;
mod mirror;
mod registration;
mod source;
mod store;

pub use crate::batch::{Batch, Item, Removal};
pub use crate::error::{Error, Result};
pub use crate::freshness::Freshness;
pub use crate::mirror::Mirror;
pub use crate::registration::{Action, Registration};
pub use crate::source::{Peer, Source, Sources};
pub use crate::store::Store;

/// Revision of the store; it grows with each change.
pub type Revision = u64;

/// Id of a lease in the store.
pub type LeaseId = u64;
