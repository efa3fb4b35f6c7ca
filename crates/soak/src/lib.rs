//! A randomized soak test of the `pistachio-node` binary.
//!
//! Hosts run as separate processes; the store and the upstreams are stand-ins behind loopback
//! proxies. A seed determines a series of overlapping faults, all injected from outside the host
//! processes: signals, connections that are delayed, reset, cut in one direction or stalled,
//! failures of upstreams and of the store, and edits by operators. Clients check every answer while
//! faults are injected, and the whole history is checked at the end. See `docs/design/soak.md`.

mod answers;
mod calm;
mod check;
mod client;
mod cold;
mod environment;
mod faults;
mod host;
mod lost;
mod report;
mod run;
mod scenario;
mod shutdown;
mod source;

pub use crate::report::{Report, Violation};
pub use crate::run::{Plan, run};
pub use crate::scenario::Scenario;
