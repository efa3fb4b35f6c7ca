//! Changes of the store's entries, as they travel.

use serde::{Deserialize, Serialize};

use crate::Revision;

/// One entry as it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its key.
    pub key: Box<str>,
    /// Its value; empty if the store's bytes are no text.
    pub value: Box<str>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// One entry that was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Its key.
    pub key: Box<str>,
    /// Revision of the removal.
    pub revision: Revision,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Whether the batch holds all entries; those that it does not name are gone.
    pub full: bool,
    /// Revision up to which the batch is complete.
    pub revision: Revision,
    /// Entries that were written.
    pub puts: Vec<Item>,
    /// Entries that were removed.
    pub removes: Vec<Removal>,
}
