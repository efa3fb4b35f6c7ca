//! Merging the parts of a query, and deciding when to answer without the missing ones.
//!
//! `pistachio-node` uses this crate for the requests of gather routes.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use gather::{Gather, Part, Step};
//!
//! let now = Instant::now();
//! let mut gather = Gather::new(2, 1, now + Duration::from_millis(70), now + Duration::from_secs(1));
//! gather.add(0, Part { stamp: "a".into(), records: vec![7; 16].into() });
//! assert_eq!(gather.step(now), Step::Wait(now + Duration::from_millis(70)));
//! assert_eq!(gather.step(now + Duration::from_millis(70)), Step::Answer);
//! assert_eq!(gather.missing(), 1);
//! ```

mod availability;
mod deadline;
mod merge;
mod state;

pub use crate::availability::Availability;
pub use crate::deadline::{Connection, soft_deadline};
pub use crate::merge::{RECORD_BYTES, greatest};
pub use crate::state::{Gather, Part, Step};
