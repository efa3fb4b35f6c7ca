//! Limits on the load of one upstream, and on the work that a process admits.
//!
//! An egress sends requests to an upstream that it owns through a [`Limiter`], which limits the
//! requests in flight, raises that limit step by step after a cold start, and keeps a short queue
//! that refuses at once what cannot finish before its deadline. An egress also limits the
//! connections to the upstream, with [`Connections`]. A [`Window`] limits the searches in flight
//! for one service of a broker, or the queries in flight for one route of `pistachio-node`, and
//! adapts to what the upstreams can serve. [`LoopLag`] tells `pistachio-node` how long requests may
//! have waited before a busy thread read them, and [`Shutdown`] which requests it can still serve
//! while it stops.
//! Reasons are in `docs/design/limits.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let limits = limit::Limits { slots: 2, cold_slots: 1, cold_successes: 20 };
//! let mut limiter = limit::Limiter::new(limits);
//! let deadline = now + Duration::from_millis(50);
//! assert_eq!(limiter.offer(now, 1, deadline), limit::Decision::Start);
//! // One slot in a cold start: the second request waits.
//! assert_eq!(limiter.offer(now, 2, deadline), limit::Decision::Wait);
//! ```

mod connections;
mod limiter;
mod loop_lag;
mod shutdown;
mod window;

pub use crate::connections::Connections;
pub use crate::limiter::{Completion, Decision, Limiter, Limits, Phase, Reason, Step, Ticket};
pub use crate::loop_lag::{LoopLag, TICK_INTERVAL};
pub use crate::shutdown::Shutdown;
pub use crate::window::Window;
