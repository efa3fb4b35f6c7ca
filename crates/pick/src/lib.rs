//! Which upstream gets the next request.
//!
//! A [`Replica`] keeps what this host has seen of one upstream: requests in flight, how its answers
//! compare with the usual ones, failures, refusals, and whether it is cold. [`choose`] takes the
//! replica with the least expected time to an answer. Answers count; health endpoints, which may
//! lag or mislead, do not. Reasons are in `docs/design/platform.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use pick::{Candidate, Outcome, Replica};
//!
//! let now = Instant::now();
//! let typical = Duration::from_millis(8);
//! let (mut slow, fast) = (Replica::new(2), Replica::new(2));
//! let token = slow.begin(now);
//! slow.end(now, token, Outcome::Answered { time: typical * 9, typical });
//! let near = |replica| Candidate { replica, added_latency: Duration::ZERO };
//! assert_eq!(pick::choose(now, typical, &[near(&slow), near(&fast)], 0), Some(1));
//! ```

mod choice;
mod cold_start;
mod decay;
mod rank;
mod replica;

pub use crate::choice::{Candidate, choose};
pub use crate::cold_start::ColdStart;
pub use crate::rank::ranks_first;
pub use crate::replica::{Outcome, Replica, Token};
