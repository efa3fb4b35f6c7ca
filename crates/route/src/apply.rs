//! One edit of the configuration, from reading the KV to a truthful word on what came of it.

use crate::config::{Edit, EditId, Revision};

/// Writes that are tried before an edit is given up as unknown.
const MOST_SWAPS: u32 = 20;

/// What an edit wants to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The whole text, refused when someone else has edited since `base`, if that is named.
    Text {
        /// New text of the rule file.
        text: Box<str>,
        /// Revision that the new text was made from.
        base: Option<Revision>,
    },
    /// One failure domain out or in, on whatever text stands.
    Domain {
        /// Name of the failure domain.
        name: Box<str>,
        /// Whether it is taken out.
        out: bool,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the key.
    Read,
    /// Write the value over the revision.
    Swap(Revision, Edit),
    /// Nothing more.
    Done(Outcome),
}

/// What came of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted; other edits may have followed.
    Accepted(Revision),
    /// The text that stands is the one that was wanted.
    Unchanged(Revision),
    /// Another edit was first, and this one has changed nothing.
    Conflict(Revision, Edit),
    /// The text that stands, or the new one, has a fault.
    Invalid(Box<str>),
    /// It may have been accepted; the id lets an operator look later.
    Unknown,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// With the revision of the new value.
    Written(Revision),
    /// Not, since another revision stands.
    Conflict,
    /// Perhaps; the answer was lost.
    Unknown,
}

/// One edit on its way.
#[derive(Clone, Debug)]
pub struct Apply {
    id: EditId,
    by: Box<str>,
    change: Change,
    tried: Option<(Revision, Edit)>,
    /// The edit that stood at the revision that was written over.
    over: EditId,
    perhaps: bool,
    swaps: u32,
}

impl Apply {
    /// Starts an edit under an id that no other edit has.
    pub fn new(id: &str, by: &str, change: Change) -> Self {
        let over = EditId::default();
        Self { id: id.into(), by: by.into(), change, tried: None, over, perhaps: false, swaps: 0 }
    }

    /// Takes what a read has found; `None` stands for a key without a value.
    pub fn on_read(&mut self, revision: Revision, stands: Option<&Edit>) -> Step {
        let empty = Edit::default();
        let stands = stands.unwrap_or(&empty);
        if stands.includes(&self.id) {
            return Step::Done(Outcome::Accepted(revision));
        }
        if let Some((expect, edit)) = self.tried.clone() {
            if revision <= expect {
                // Nothing has followed yet, or the store answers with old data: the same write
                // again cannot be accepted twice.
                return self.swap(expect, edit);
            }
            if self.perhaps && !self.is_settled(stands) {
                return Step::Done(Outcome::Unknown);
            }
        }
        self.attempt(revision, stands)
    }

    /// Takes how a write has ended.
    pub fn on_swap(&mut self, written: WriteResult) -> Step {
        match written {
            WriteResult::Written(revision) => Step::Done(Outcome::Accepted(revision)),
            WriteResult::Conflict => Step::Read,
            WriteResult::Unknown => {
                self.perhaps = true;
                Step::Read
            }
        }
    }

    /// Returns whether what stands shows that another edit followed the one written over.
    fn is_settled(&self, stands: &Edit) -> bool {
        self.over.is_empty() || stands.before.contains(&self.over)
    }

    fn attempt(&mut self, revision: Revision, stands: &Edit) -> Step {
        let text = match &self.change {
            Change::Text { text, base } => {
                let overtaken = self.tried.is_some() || base.is_some_and(|base| base != revision);
                if *text == stands.text {
                    return Step::Done(Outcome::Unchanged(revision));
                }
                if overtaken {
                    return Step::Done(Outcome::Conflict(revision, stands.clone()));
                }
                text.clone()
            }
            Change::Domain { name, out } => {
                match rules::set_domain(&stands.text, name, *out, &self.by) {
                    Ok(text) => text.into(),
                    Err(error) => return Step::Done(Outcome::Invalid(error.to_string().into())),
                }
            }
        };
        self.over = stands.id.clone();
        self.perhaps = false;
        self.swap(revision, stands.next(&self.id, &self.by, &text))
    }

    fn swap(&mut self, expect: Revision, edit: Edit) -> Step {
        self.swaps += 1;
        if self.swaps > MOST_SWAPS {
            return Step::Done(Outcome::Unknown);
        }
        self.tried = Some((expect, edit.clone()));
        Step::Swap(expect, edit)
    }
}
