//! The egress: owner of upstreams.
//!
//! One thread holds control state: membership, roster, configuration and the list of hosts. One
//! thread carries traffic: calls from brokers, gates before upstreams, and the connections to
//! them. Control publishes an immutable [`Control`] that traffic reads; traffic never waits for
//! control. See `docs/ARCHITECTURE.md` for the way of one search and of one rule.

mod admin;
mod calls;
mod connection;
mod control;
mod feed;
mod handover;
mod metrics;
mod owned;
mod part;
mod report;
mod settings;
mod side;
mod start;
mod state;
mod traffic;

pub use crate::metrics::Metrics;
pub use crate::settings::{Builder, Settings};
pub use crate::start::{Handle, start};
pub use crate::state::{Control, Grant, Target};
