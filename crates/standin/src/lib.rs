//! Small stand-ins for what surrounds the tier: upstreams, and the platform with its KV and its
//! list of hosts.
//!
//! They serve demos, experiments and tests on loopback, fail on demand, and write the history
//! that the checker reads. They are no part of the product; their calls are those of
//! `docs/operations/platform.md`.

mod fleet;
mod platform;
mod recorder;
mod upstream;
mod work;

pub use crate::fleet::Fleet;
pub use crate::platform::{Faults, Platform};
pub use crate::recorder::Recorder;
pub use crate::upstream::{Spec, Upstream};
pub use crate::work::{Break, Speed, record_of};
