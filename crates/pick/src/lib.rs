//! Choice of the upstream, or of the relay, that gets the next request of `pistachio-node`.
//!
//! A [`Replica`] holds what this host has observed of one upstream or relay: requests in flight,
//! the ratio of its response times to the typical ones, failures, refusals, whether it is cold, and
//! the rate limit that it states. [`choose`] takes the replica with the lowest cost, which is the expected response time with
//! penalties for failures, stalls and the distance to the replica. Only the outcomes of requests
//! count; health endpoints, which may lag or be wrong, do not. [`Isolation`] tells when the host
//! cannot reach any upstream. Reasons are in
//! `docs/design/platform.md`.
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
//! let local = |replica| Candidate { replica, penalty: Duration::ZERO, has_room: true };
//! assert_eq!(pick::choose(now, typical, &[local(&slow), local(&fast)], 0), Some(1));
//! ```

mod average;
mod choice;
mod cold_start;
mod election;
mod hosts;
mod isolation;
mod rank;
mod rate_limit;
mod replica;

pub use crate::choice::{Candidate, choose};
pub use crate::cold_start::ColdStart;
pub use crate::election::{Election, HANDOVER_TIME};
pub use crate::hosts::{Hosts, connection_share};
pub use crate::isolation::Isolation;
pub use crate::rank::{ranked, ranks_first};
pub use crate::rate_limit::{RateLimit, queue_time};
pub use crate::replica::{Check, Outcome, Replica, Token};
