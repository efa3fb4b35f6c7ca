//! Parser of the rule file, in which operators configure brokers and egresses. Both processes use
//! it, and so does the operators' command line, which checks a file before it is applied.
//!
//! The file has one rule per line. Each rule ends in a comment that names who asked for it. Rules
//! use the grammar of a command line, so that operators need only one syntax and see the same
//! error messages in both places. All rules are described in `docs/operations/rules.md`.
//!
//! ```
//! let text = "\
//! domain perth-1                                        # asked by: night operator
//! service live-faults --shards 20 --replicas 2          # asked by: hazard desk
//! limit live-faults --slots 2 --connections 25          # asked by: hazard desk
//! repeat live-faults --operation dispatch --never       # asked by: hazard desk
//! route look-up --host faults.example --prefix /faults/ --service live-faults # asked by: hazard desk
//! ";
//! let rules = rules::parse("example.rules", text).expect("the file is valid");
//! assert_eq!(rules.services["live-faults"].shards, 20);
//! assert!(!rules.services["live-faults"].is_repeatable("dispatch"));
//! assert_eq!(rules.routes["look-up"].services(), ["live-faults"]);
//! ```

mod edit;
mod error;
mod grammar;
mod model;
mod parse;
mod routes;

pub use crate::edit::set_domain;
pub use crate::error::{Diagnostic, Error, Result};
pub use crate::model::{Domain, DomainId, Limit, RouteId, RouteRule, Rules, Service, ServiceId};
pub use crate::parse::parse;
