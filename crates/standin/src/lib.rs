//! Small stand-ins for what surrounds the tier: upstreams, and the platform with its KV and its
//! list of hosts.
//!
//! [`Kv`] and [`Shard`] speak the users' platform's protocol, for `pistachio-node`; the others speak
//! that of the first version. They serve demos, experiments and tests on loopback, fail on demand, and write the history
//! that the checker reads. They are no part of the product; their calls are those of
//! `docs/operations/platform.md`.

mod fleet;
mod kv;
mod platform;
mod port;
mod recorder;
mod shard;
mod state;
mod upstream;

pub use crate::fleet::Fleet;
pub use crate::kv::{Kv, Outage};
pub use crate::platform::{Faults, Platform};
pub use crate::port::free_address;
pub use crate::recorder::Recorder;
pub use crate::shard::{Fault, Run, Shard};
pub use crate::state::{Speed, Violation, record_of};
pub use crate::upstream::{Spec, Upstream};
