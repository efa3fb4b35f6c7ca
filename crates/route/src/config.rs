//! Versions of the configuration, ordered by revision; a host never goes back to an older one.

use std::collections::VecDeque;
use std::sync::Arc;

use rules::Rules;
use serde::{Deserialize, Serialize};

/// Revision that the key-value store of the hosting platform assigned to a value.
pub type Revision = u64;

/// Unique id that the operator's tool gives to an edit.
pub type EditId = Box<str>;

/// Maximum number of earlier edits whose ids a document keeps. They show an operator whose answer
/// was lost whether the edit was accepted, even after other edits have followed.
const MAX_REMEMBERED_EDITS: usize = 64;

/// The value under the configuration key in the key-value store: the whole rule file, with the ids
/// of the edits that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Id of the edit that wrote this document.
    pub id: EditId,
    /// Name of the operator who made the edit.
    pub by: Box<str>,
    /// Text of the rule file.
    pub text: Box<str>,
    /// Ids of the edits accepted before this one, the newest first.
    #[serde(rename = "before")]
    pub previous_edits: VecDeque<EditId>,
}

impl Document {
    /// Returns the document that the edit `id` writes over `self`.
    pub fn next(&self, id: &str, by: &str, text: &str) -> Self {
        let mut previous_edits = self.previous_edits.clone();
        if !self.id.is_empty() {
            previous_edits.push_front(self.id.clone());
        }
        previous_edits.truncate(MAX_REMEMBERED_EDITS);
        Self { id: id.into(), by: by.into(), text: text.into(), previous_edits }
    }

    /// Returns whether this document was written by the edit `id` or by a later one.
    ///
    /// Only the kept ids are checked.
    pub fn includes(&self, id: &str) -> bool {
        &*self.id == id || self.previous_edits.iter().any(|other| &**other == id)
    }
}

/// A configuration and its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision in the key-value store; 0 stands for no configuration.
    pub revision: Revision,
    /// The document with the rule file.
    #[serde(rename = "edit")]
    pub document: Document,
}

/// The newest valid configuration known to this host. Its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct Latest {
    config: Arc<Config>,
    rules: Arc<Rules>,
    rejected: Option<Revision>,
}

impl Latest {
    /// Handles a configuration read from the key-value store or received from a peer; returns
    /// whether it is newer and now in force.
    ///
    /// # Errors
    ///
    /// Fails when a newer configuration is invalid, which `pistachioctl apply` would have
    /// rejected. The configuration in force stays, and further calls with the invalid revision
    /// return `false`.
    pub fn advance(&mut self, config: Config) -> rules::Result<bool> {
        let is_newer = config.revision > self.config.revision;
        if !is_newer || self.rejected == Some(config.revision) {
            return Ok(false);
        }
        match rules::parse("configuration", &config.document.text) {
            Ok(rules) => {
                self.rules = Arc::new(rules);
                self.config = Arc::new(config);
                Ok(true)
            }
            Err(error) => {
                self.rejected = Some(config.revision);
                Err(error)
            }
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }
}
