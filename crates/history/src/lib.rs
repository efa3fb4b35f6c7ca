//! The history of a run, and the checker of the guarantees that must hold in every run.
//!
//! Stand-ins and callers record [`Event`]s; [`check`] counts the violations of each guarantee, with
//! one function per guarantee. Tests and experiments use the same checker. The tolerances are in
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
pub use crate::event::{Arrival, Event, EventKind, Outcome};
