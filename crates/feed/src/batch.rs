//! Changes of the store's entries, as hosts exchange them.

use serde::{Deserialize, Serialize};

use crate::{Era, Revision};

/// A written entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the entry.
    pub key: Box<str>,
    /// Value of the entry; empty if the store's bytes are not text.
    pub value: Box<str>,
    /// Revision of the last change to the entry.
    pub revision: Revision,
}

/// A removed entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Key of the entry.
    pub key: Box<str>,
    /// Revision of the removal.
    pub revision: Revision,
}

/// The changes up to a revision, or all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Whether the batch contains all entries, so that entries missing from it are removed.
    pub full: bool,
    /// Era of the store in which all revisions of the batch count; 0 if the sender does not state it,
    /// as hosts of earlier versions.
    #[serde(default)]
    pub era: Era,
    /// Revision up to which the batch is complete.
    pub revision: Revision,
    /// Written entries.
    pub puts: Vec<Item>,
    /// Removed entries.
    pub removes: Vec<Removal>,
}
