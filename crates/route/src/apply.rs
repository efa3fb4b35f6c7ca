//! The state machine that applies one edit to the configuration in the key-value store and finds
//! its outcome.

use crate::config::{Document, EditId, Revision};

/// Maximum number of writes for one edit; after that the outcome is unknown.
const MAX_WRITES: u32 = 20;

/// The change that an edit makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Replaces the whole text; conflicts with any other edit since `base`, if that is given.
    Text {
        /// New text of the rule file.
        text: Box<str>,
        /// Revision that the new text is based on.
        base: Option<Revision>,
    },
    /// Evacuates one failure domain (takes it out) or puts it back in, whatever the current text
    /// is.
    Domain {
        /// Name of the failure domain.
        name: Box<str>,
        /// Whether the domain is taken out.
        out: bool,
    },
}

/// The next step that the driver of an [`Apply`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the configuration key, then call [`Apply::on_read`].
    Read,
    /// Write the document if the key still has the given revision, then call [`Apply::on_swap`].
    Swap(Revision, Document),
    /// The edit has ended.
    Done(Outcome),
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edit was accepted; other edits may have followed.
    Accepted(Revision),
    /// The current text is already the new one, so nothing was written.
    Unchanged(Revision),
    /// Another edit was accepted first, and this one was not written. Holds the current revision
    /// and document.
    Conflict(Revision, Document),
    /// The current text or the new one is invalid. Holds the error message.
    Invalid(Box<str>),
    /// The edit may have been accepted; an operator can look for its id later.
    Unknown,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The value was written and has this revision.
    Written(Revision),
    /// The value was not written, because the key has another revision.
    Conflict,
    /// The value may have been written; the answer was lost.
    Unknown,
}

/// One edit in progress.
#[derive(Clone, Debug)]
pub struct Apply {
    id: EditId,
    by: Box<str>,
    change: Change,
    /// The latest write: expected revision and new document.
    tried: Option<(Revision, Document)>,
    /// Id of the edit that the latest write replaces.
    base_edit: EditId,
    last_write_unknown: bool,
    writes: u32,
}

impl Apply {
    /// Starts an edit by the operator `by`; `id` must be unique among all edits.
    pub fn new(id: &str, by: &str, change: Change) -> Self {
        let base_edit = EditId::default();
        Self {
            id: id.into(),
            by: by.into(),
            change,
            tried: None,
            base_edit,
            last_write_unknown: false,
            writes: 0,
        }
    }

    /// Handles the result of a read; `None` stands for a key without a value.
    pub fn on_read(&mut self, revision: Revision, current: Option<&Document>) -> Step {
        let empty = Document::default();
        let current = current.unwrap_or(&empty);
        if current.includes(&self.id) {
            return Step::Done(Outcome::Accepted(revision));
        }
        if let Some((expect, document)) = self.tried.clone() {
            if revision <= expect {
                // Either there is no newer value, or the store returned a stale one. Repeating the
                // same write is safe: it can be accepted at most once.
                return self.swap(expect, document);
            }
            if self.last_write_unknown && !self.history_covers_base(current) {
                return Step::Done(Outcome::Unknown);
            }
        }
        self.write_change(revision, current)
    }

    /// Handles the result of a write.
    pub fn on_swap(&mut self, result: WriteResult) -> Step {
        match result {
            WriteResult::Written(revision) => Step::Done(Outcome::Accepted(revision)),
            WriteResult::Conflict => Step::Read,
            WriteResult::Unknown => {
                self.last_write_unknown = true;
                Step::Read
            }
        }
    }

    /// Returns whether the history of `current` reaches back to the edit that the latest write was
    /// to replace, or whether that edit has no id.
    ///
    /// If so, the history shows whether the latest write was accepted.
    fn history_covers_base(&self, current: &Document) -> bool {
        self.base_edit.is_empty() || current.previous_edits.contains(&self.base_edit)
    }

    /// Returns the write that makes the change to `current`, or the outcome if there is nothing to
    /// write.
    fn write_change(&mut self, revision: Revision, current: &Document) -> Step {
        let text = match &self.change {
            Change::Text { text, base } => {
                let conflict = self.tried.is_some() || base.is_some_and(|base| base != revision);
                if *text == current.text {
                    return Step::Done(Outcome::Unchanged(revision));
                }
                if conflict {
                    return Step::Done(Outcome::Conflict(revision, current.clone()));
                }
                text.clone()
            }
            Change::Domain { name, out } => {
                match rules::set_domain(&current.text, name, *out, &self.by) {
                    Ok(text) => text.into(),
                    Err(error) => return Step::Done(Outcome::Invalid(error.to_string().into())),
                }
            }
        };
        self.base_edit = current.id.clone();
        self.last_write_unknown = false;
        self.swap(revision, current.next(&self.id, &self.by, &text))
    }

    fn swap(&mut self, expect: Revision, document: Document) -> Step {
        self.writes += 1;
        if self.writes > MAX_WRITES {
            return Step::Done(Outcome::Unknown);
        }
        self.tried = Some((expect, document.clone()));
        Step::Swap(expect, document)
    }
}
