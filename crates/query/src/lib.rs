//! The state machine of one search in a broker: choice of replicas, retries, hedges and outcome.
//!
//! A search has one part for each shard, and an attempt is one part sent to one upstream. An
//! attempt is an extra one if it is a hedge, a warm-up copy or a retry of a part that may have run;
//! the attempt budget limits extra attempts.
//!
//! A [`Service`] holds what a broker knows about one service: which upstream holds which shard of
//! which snapshot, the latency of each upstream, and the attempt budget. A [`Plan`] is one search
//! on a service. It takes events and returns [`Action`]s, the last of which is
//! [`Action::Finish`]. Egresses, which carry out the attempts, use only [`PartOutcome`]. The design
//! is described in `docs/design/queries.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use query::{Action, Candidate, Mode, Plan, Policy, Request, Service, Phase};
//!
//! let now = Instant::now();
//! let mut service = Service::new(Policy::default());
//! service.set_candidates(vec![Candidate {
//!     upstream: "pay-0-0".into(),
//!     owner: "egress-1".into(),
//!     shard: 0,
//!     shards: 1,
//!     snapshot: 7,
//!     phase: Phase::Warm,
//!     local: true,
//! }]);
//! let request = Request { deadline: now + Duration::from_millis(100), mode: Mode::Search, seed: 1 };
//! let (mut plan, actions) = Plan::start(&mut service, request, now);
//! assert!(matches!(actions[0], Action::Send(_)));
//! # let _ = &mut plan;
//! ```

mod dispatch;
mod outcome;
mod plan;
mod service;

pub use crate::outcome::{Body, Outcome, PartOutcome, Reason};
pub use crate::plan::{Action, AttemptId, Mode, Plan, Request, SendAttempt};
pub use crate::service::{Candidate, Phase, Pin, Policy, Service, Shard, Snapshot, UpstreamId};
