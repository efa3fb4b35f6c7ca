//! When to hedge a straggling part, and how many extra attempts that may cost.
//!
//! [`Delay`] is a quantile of recent latencies, used by brokers and by `pistachio-node`.
//!
//! Extra attempts are hedges, warm-up copies and most retries. In a broker, a retry is not extra if
//! the failed attempt has not run at its upstream; in `pistachio-node`, a retry is not extra if
//! nothing was written in any earlier attempt for the part. Each process limits extra attempts by
//! an attempt budget. [`TokenBudget`], that of a broker, keeps them under a fraction of the first
//! attempts. [`WindowBudget`], that of `pistachio-node`, keeps them under a limit that all hosts
//! share and that holds in any window of time.
//!
//! [`Attempts`] decides which attempts one request of `pistachio-node` may still make, and
//! [`Confidence`] whether a query may be spread further before a part of it is answered. Reasons are
//! in `docs/design/hedging.md`.
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
mod confidence;
mod delay;
mod token_budget;
mod window_budget;

pub use crate::attempts::{Attempts, Failure};
pub use crate::confidence::Confidence;
pub use crate::delay::{Delay, DelayBuilder};
pub use crate::token_budget::TokenBudget;
pub use crate::window_budget::{Purpose, WindowBudget};
