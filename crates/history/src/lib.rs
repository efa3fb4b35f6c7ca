//! The history of a run, and the one checker of the promises that must always hold.
//!
//! Stand-ins and callers write [`Event`]s; [`check`] counts how often each promise was broken,
//! with one function for each. Tests and experiments use the same checker. The allowances are in
//! `docs/design/history.md`.
//!
//! ```
//! let history = [history::Event {
//!     at: std::time::Duration::ZERO,
//!     kind: history::EventKind::Aborted { request: "1-a".into() },
//! }];
//! assert_eq!(history::check(&history).cut_requests, 1);
//! ```

mod check;
mod event;

pub use crate::check::{Violations, check};
pub use crate::event::{Event, EventKind, Outcome, Work};
