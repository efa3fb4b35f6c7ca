//! One search, from the choice of replicas to its outcome.
//!
//! A [`Service`] holds what a broker knows of one service: which upstream holds which shard of
//! which snapshot, how fast each has been, and the budget for extra load. A [`Plan`] is one search
//! over it: events go in, [`Action`]s come out, and the last one is [`Action::Finish`]. Reasons
//! are in `docs/design/queries.md`.
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
pub use crate::plan::{Action, Mode, PartId, Plan, Request, Send};
pub use crate::service::{Candidate, Phase, Pin, Policy, Service, Shard, Snapshot, UpstreamId};
