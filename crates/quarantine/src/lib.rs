//! Requests that crash the upstreams that run them.
//!
//! Such a request may come again, at any host, and would crash one upstream after the other. Its
//! [`Fingerprint`] recognizes the repetitions. See `docs/design/platform.md`.
//!
//! ```
//! let first = quarantine::fingerprint("GET", "towpath.example", "/search/washout", b"");
//! let again = quarantine::fingerprint("GET", "towpath.example", "/search/washout", b"");
//! let other = quarantine::fingerprint("GET", "towpath.example", "/search/bridge", b"");
//! assert_eq!(first, again);
//! assert_ne!(first, other);
//! ```

mod fingerprint;

pub use crate::fingerprint::{Fingerprint, fingerprint};
