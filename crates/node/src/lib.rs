//! One process a host: the whole query tier in two threads.
//!
//! The control thread mirrors the store's entries, registers the host and answers the questions of
//! callers, peers and the platform. The traffic thread takes requests, sends them to upstreams and
//! merges the parts of queries, from an immutable [`table::View`] that the control thread publishes.
//! What is decided is in crates without I/O (`pick`, `hedge`, `gather`, `feed`, `table`); this crate
//! connects them to sockets and clocks. See `docs/design/platform.md`.

mod attempt;
mod connection;
mod control;
mod directory;
mod endpoint;
mod exchange;
mod fanout;
mod follow;
mod front;
mod latency;
mod metrics;
mod outcome;
mod peer;
mod pool;
mod registry;
mod relay;
mod relay_call;
mod relays;
mod server;
mod start;

pub use crate::directory::advertised_hosts;
pub use crate::start::{Options, start};
