//! The egress: the host that owns upstreams and sends requests to them on behalf of brokers.
//!
//! The control thread holds membership, roster, configuration and the list of hosts. The traffic
//! thread handles calls from brokers, the limiters of the upstreams, and the connections to them.
//! The control thread publishes an immutable [`Control`], which the traffic thread reads without
//! ever waiting for the control thread. `docs/ARCHITECTURE.md` describes the path of a search and
//! of a rule.

mod admin;
mod connection;
mod control;
mod feed;
mod handover;
mod management;
mod metrics;
mod part;
mod report;
mod server;
mod settings;
mod start;
mod state;
mod traffic;
mod upstream;

pub use crate::metrics::Metrics;
pub use crate::settings::{Builder, Settings};
pub use crate::start::{Handle, start};
pub use crate::state::{Control, Grant, Target};
