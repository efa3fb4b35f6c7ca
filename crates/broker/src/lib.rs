//! The broker: callers' entry to the tier.
//!
//! One thread follows the egresses and publishes an immutable [`ControlState`]; traffic threads run
//! searches over it, each with its own connections; the HTTP server passes requests to them. See
//! `docs/ARCHITECTURE.md` for the way of one search.

mod answer;
mod claim;
mod connections;
mod control;
mod engine;
mod http;
mod metrics;
mod request;
mod search;
mod settings;
mod start;
mod state;

pub use crate::metrics::Metrics;
pub use crate::settings::{Builder, Settings};
pub use crate::start::{Handle, start};
pub use crate::state::ControlState;
