//! In-process stand-ins for the systems that Pistachio depends on: upstreams, and the platform with
//! its key-value store and its list of hosts.
//!
//! [`Kv`] and [`Shard`] implement the protocol that `pistachio-node` uses; [`Platform`] and
//! [`Upstream`] implement that of `pistachio-broker` and `pistachio-egress`. All of them listen on
//! loopback and inject faults on request; [`Upstream`] also records the history that the checker
//! reads. They serve demos, experiments and tests and are not part of the product. Their calls are
//! those of `docs/operations/platform.md`.

mod fleet;
mod kv;
mod listener;
mod platform;
mod port;
mod proxy;
mod recorder;
mod shard;
mod state;
mod upstream;

pub use crate::fleet::Fleet;
pub use crate::kv::{Kv, Snapshot, StoreFault};
pub use crate::platform::{Faults, Platform};
pub use crate::port::{free_address, loopback};
pub use crate::proxy::{Impairment, Proxy};
pub use crate::recorder::Recorder;
pub use crate::shard::{Fault, Run, Shard};
pub use crate::state::{Misbehavior, Speed, record_of};
pub use crate::upstream::{Spec, Upstream};
