//! When to send a second copy of a straggling part, and how much extra load that may cost.
//!
//! [`Delay`] follows the recent latencies of a service; [`TokenBudget`] holds hedges, retries and
//! warm-up copies together under a fraction of the ordinary load, and [`WindowBudget`] does so for a
//! limit that all hosts share and that holds in any span of time. Reasons are in
//! `docs/design/hedging.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut delay = hedge::Delay::default();
//! for ms in 1..=100 {
//!     delay.record(now, Duration::from_millis(ms));
//! }
//! assert!(delay.get() >= Duration::from_millis(90));
//! ```

mod attempts;
mod delay;
mod token_budget;
mod window_budget;

pub use crate::attempts::{Attempts, Failure};
pub use crate::delay::{Delay, DelayBuilder};
pub use crate::token_budget::TokenBudget;
pub use crate::window_budget::{Purpose, WindowBudget};
