//! Requests that crash the upstreams that run them.
//!
//! Such a request may come again, at any host, and would crash one upstream after the other. A
//! [`Quarantine`] counts the crashes under each [`Fingerprint`], its own and those that other hosts
//! report as a [`Strike`]. A request with crashes that was never answered is a suspect, and is
//! refused after some more. Hosts tell each other of a suspect before a crash is certain, so that one
//! of them alone sends it on. This crate does no I/O; see `docs/design/platform.md`.
//!
//! ```
//! use std::time::Instant;
//! use quarantine::{Quarantine, attempt_id, fingerprint};
//!
//! let now = Instant::now();
//! let request = fingerprint("GET", "towpath.example", "/search/washout", b"");
//! let mut quarantine = Quarantine::default();
//! for id in ["a", "b", "c"] {
//!     assert!(quarantine.refused_until(now, request).is_none());
//!     quarantine.record_crash(now, request, attempt_id(id.as_bytes()));
//! }
//! assert!(quarantine.refused_until(now, request).is_some());
//! ```

mod fingerprint;
mod quarantine;
mod recent;
mod strike;
mod suspects;

pub use crate::fingerprint::{Fingerprint, fingerprint};
pub use crate::quarantine::{MAX_CRASHES_PER_ATTEMPT, MIN_CRASHES, Quarantine, STRIKE_TTL};
pub use crate::strike::{AttemptId, Strike, attempt_id};
