//! The egress: owner of upstreams.
//!
//! One thread holds control state: membership, roster, configuration and the list of hosts. One
//! thread carries traffic: calls from brokers, gates before upstreams, and the connections to
//! them. Control publishes an immutable [`Control`] that traffic reads; traffic never waits for
//! control. See `docs/ARCHITECTURE.md` for the way of one search and of one rule.

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
