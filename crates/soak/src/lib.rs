//! A randomized soak of the real programs.
//!
//! Hosts run as separate processes; the store and the upstreams are stand-ins behind loopback
//! proxies. A seed draws overlapping series of faults, all from outside the processes: signals,
//! proxies that delay, reset, cut one way or fall silent, upstreams and a store that misbehave, and
//! operators' edits. Clients check every answer while the faults go on, and the whole history at
//! the end. See `docs/design/soak.md`.

mod client;
mod environment;
mod faults;
mod host;
mod proxy;
mod report;
mod run;

pub use crate::report::{Broken, Report};
pub use crate::run::{Plan, run};
