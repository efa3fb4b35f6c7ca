//! Positions in the history of the store.

use crate::{Era, Revision};

/// A revision together with the era in which it counts. Positions are ordered by era first, since
/// revisions are used again after the store has come back from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store; 0 if it is not known.
    pub era: Era,
    /// Revision of the store in this era.
    pub revision: Revision,
}

impl Position {
    /// Returns whether this position is later than `other`. An unknown era counts as that of the
    /// other position.
    ///
    /// ```
    /// use feed::Position;
    ///
    /// let restored = Position { era: 2, revision: 60 };
    /// assert!(restored.is_after(Position { era: 1, revision: 61 }));
    /// assert!(!restored.is_after(Position { era: 0, revision: 61 }));
    /// ```
    pub fn is_after(self, other: Self) -> bool {
        if self.era == 0 || other.era == 0 { self.revision > other.revision } else { self > other }
    }
}
