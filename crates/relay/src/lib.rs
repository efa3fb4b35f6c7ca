//! Relaying the parts of a query through a host in the failure domain of the replicas, between
//! processes of `pistachio-node`.
//!
//! If the shards of a query have no replica in the failure domain of its host, every part would
//! cross failure domains. Instead, a relay in the replicas' domain requests these parts and returns
//! the greatest records of all of them with the signatures of the answers. Every decision stays
//! with the host of the query: it selects the upstreams, sends hedges and retries itself, and may
//! stop waiting for the relay. See `docs/design/platform.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use relay::{Collector, End, Request};
//!
//! let request = Request {
//!     flush: Duration::from_millis(20),
//!     max_records: 1,
//!     upstreams: ["a".into(), "b".into()].into(),
//! };
//! let request: Request = request.to_string().parse().expect("a request parses its own text");
//! let now = Instant::now();
//! let parts = request.upstreams.len();
//! let mut collector = Collector::new(parts, request.max_records, now + request.flush);
//! let answered =
//!     |stamp: &str| End::Answered { stamp: stamp.into(), load: None, time: Duration::ZERO };
//! collector.answer(0, answered("x"), vec![1; 16].into());
//! assert!(collector.take(now).is_none());
//! collector.answer(1, answered("y"), vec![2; 16].into());
//! let batch = collector.take(now).expect("all parts have ended");
//! assert_eq!(batch.records, [2; 16]);
//! assert_eq!(batch.ends.len(), 2);
//! ```

mod batch;
mod collector;
mod error;
mod notices;
mod plan;
mod request;

pub use crate::batch::{Batch, Decoder, End};
pub use crate::collector::Collector;
pub use crate::error::{Error, Result};
pub use crate::notices::{LEAVING_HEADER, LIMITS_HEADER, Notices, PAUSES_HEADER, Value};
pub use crate::plan::plan;
pub use crate::request::{REQUEST_HEADER, Request};
