//! The order of configurations: by the KV's revision, and only forward.

use std::collections::VecDeque;
use std::sync::Arc;

use rules::Rules;
use serde::{Deserialize, Serialize};

/// Revision that the platform's KV gave to a value.
pub type Revision = u64;

/// Name that an operator's tool gives to one edit.
pub type EditId = Box<str>;

/// Edits whose ids a value remembers, so that an operator whose answer was lost can still learn
/// whether the edit was accepted after others have followed it.
const REMEMBERED_EDITS: usize = 64;

/// The value that the platform's KV holds for a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Name of the edit that wrote this value.
    pub id: EditId,
    /// Who made the edit.
    pub by: Box<str>,
    /// Text of the rule file.
    pub text: Box<str>,
    /// Edits accepted before this one, the newest first.
    pub before: VecDeque<EditId>,
}

impl Edit {
    /// Returns the edit that follows `self` with other text.
    pub fn next(&self, id: &str, by: &str, text: &str) -> Self {
        let mut before = self.before.clone();
        if !self.id.is_empty() {
            before.push_front(self.id.clone());
        }
        before.truncate(REMEMBERED_EDITS);
        Self { id: id.into(), by: by.into(), text: text.into(), before }
    }

    /// Returns whether this value is `id`'s or follows it.
    pub fn includes(&self, id: &str) -> bool {
        &*self.id == id || self.before.iter().any(|other| &**other == id)
    }
}

/// A configuration with its place in the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Place in the order; 0 stands for no configuration.
    pub revision: Revision,
    /// The value itself.
    pub edit: Edit,
}

/// The newest configuration known here; it only moves forward.
#[derive(Clone, Debug, Default)]
pub struct Latest {
    config: Arc<Config>,
    rules: Arc<Rules>,
    refused: Option<Revision>,
}

impl Latest {
    /// Takes a configuration read from the KV or told by a peer; returns whether it is in force
    /// now and was not before.
    ///
    /// # Errors
    ///
    /// Fails when a newer configuration has a fault, which `pistachioctl apply` would have
    /// refused; the one in force stays.
    pub fn advance(&mut self, config: Config) -> rules::Result<bool> {
        let is_newer = config.revision > self.config.revision;
        if !is_newer || self.refused == Some(config.revision) {
            return Ok(false);
        }
        match rules::parse("configuration", &config.edit.text) {
            Ok(rules) => {
                self.rules = Arc::new(rules);
                self.config = Arc::new(config);
                Ok(true)
            }
            Err(error) => {
                self.refused = Some(config.revision);
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
