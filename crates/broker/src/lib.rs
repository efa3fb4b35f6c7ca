//! The broker: the host that receives requests of callers and sends their parts to egresses.
//!
//! The control thread follows the egresses and publishes an immutable [`ControlState`]. The HTTP
//! server passes requests to the traffic threads, which run searches according to that state, each
//! with its own connections. `docs/ARCHITECTURE.md` describes the path of a search.

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
