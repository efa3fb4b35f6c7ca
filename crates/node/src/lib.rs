//! `pistachio-node`, the process on each host that serves the HTTP requests of callers. It has two
//! threads.
//!
//! The control thread copies the entries of the key-value store, registers the host, and answers
//! address lookups of callers, requests of followers and readiness checks. The traffic thread
//! accepts callers' requests, sends them to upstreams and merges the parts of queries; it works on
//! an immutable [`table::View`] that the control thread publishes. The decisions are made in crates
//! without I/O (`pick`, `hedge`, `gather`, `feed`, `table`); this crate connects them to sockets
//! and clocks. See `docs/design/platform.md`.

mod alerts;
mod attempt;
mod buffers;
mod connection;
mod control;
mod crashes;
mod directory;
mod endpoint;
mod exchange;
mod fanout;
mod follow;
mod forward;
mod front;
mod latency;
mod metrics;
mod notices;
mod outcome;
mod peer;
mod pool;
mod probes;
mod registry;
mod relay;
mod relay_call;
mod relays;
mod reporter;
mod restart;
mod server;
mod start;
mod suspect;
mod suspension;

pub use crate::directory::advertised_hosts;
pub use crate::start::{Options, start};
