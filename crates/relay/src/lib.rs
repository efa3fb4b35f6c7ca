//! Parts of a query that another host asks for and merges.
//!
//! A query whose shards have no replica beside its host would carry every part across failure
//! domains. Instead, a relay in the replicas' domain asks for these parts and returns the greatest
//! records of all of them with their signatures. The host that has the query keeps every decision:
//! it names the upstreams, sends hedges and retries itself, and may run out of patience with the
//! relay. See `docs/design/platform.md`.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use relay::{Collector, End, Request};
//!
//! let order = Request { flush: Duration::from_millis(20), max_records: 1, upstreams: ["a".into(), "b".into()].into() };
//! let order: Request = order.to_string().parse().expect("an order reads its own text");
//! let now = Instant::now();
//! let mut collector = Collector::new(order.upstreams.len(), order.max_records, now + order.flush);
//! let answered = |stamp: &str| End::Answered { stamp: stamp.into(), load: None, time: Duration::ZERO };
//! collector.answer(0, answered("x"), vec![1; 16].into());
//! assert!(collector.take(now).is_none());
//! collector.answer(1, answered("y"), vec![2; 16].into());
//! let batch = collector.take(now).expect("all parts are in");
//! assert_eq!(batch.records, [2; 16]);
//! assert_eq!(batch.ends.len(), 2);
//! ```

mod batch;
mod collector;
mod error;
mod plan;
mod request;

pub use crate::batch::{Batch, Decoder, End};
pub use crate::collector::Collector;
pub use crate::error::{Error, Result};
pub use crate::plan::plan;
pub use crate::request::{REQUEST_HEADER, Request};
