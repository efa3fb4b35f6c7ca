//! What one upstream may bear, and how much work a broker lets in.
//!
//! A [`Limiter`] stands in the owner before each upstream: slots, cold start, and a short queue that
//! refuses at once what cannot finish in time. [`Connections`] counts connections to it. A [`Window`]
//! stands in the broker before each service and finds how many searches the upstreams carry. A
//! [`LoopLag`] tells how far a thread is behind with what it has not read yet.
//! Reasons are in `docs/design/limits.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let limit = limit::Limits { slots: 2, cold_slots: 1, cold_successes: 20 };
//! let mut gate = limit::Limiter::new(limit);
//! let deadline = now + Duration::from_millis(50);
//! assert_eq!(gate.offer(now, 1, deadline), limit::Decision::Start);
//! // One slot in a cold start: the second request waits.
//! assert_eq!(gate.offer(now, 2, deadline), limit::Decision::Wait);
//! ```

mod connections;
mod limiter;
mod loop_lag;
mod window;

pub use crate::connections::Connections;
pub use crate::limiter::{Completion, Decision, Limiter, Limits, Phase, Reason, Step, Ticket};
pub use crate::loop_lag::{LoopLag, TICK_INTERVAL};
pub use crate::window::Window;
