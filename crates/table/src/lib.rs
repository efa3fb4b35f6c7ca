//! Routes, services and upstreams: the state that `pistachio-node` needs to serve a request.
//!
//! A [`View`] is an immutable copy of this state. The control thread builds a new view for each
//! change, and every request keeps the view it began with, so that an answer never mixes two
//! versions of the configuration. See `docs/design/platform.md`.
//!
//! ```
//! use std::time::Duration;
//! use table::{Route, Table, Target};
//!
//! let route = Route::builder("search", "towpath.example", "/search/")
//!     .target(Target::Service("faults".into()))
//!     .timeout(Duration::from_millis(600))
//!     .build();
//! let table = Table::builder(7).route(route).build();
//! assert!(table.find("towpath.example", "/search/washout").is_some());
//! assert!(table.find("towpath.example", "/other/").is_none());
//! ```

mod resource;
mod route;
mod service;
mod split;
mod table;
mod view;

pub use crate::resource::{Host, Resource};
pub use crate::route::{Gather, Route, RouteBuilder, Share, Target};
pub use crate::service::{Service, Upstream};
pub use crate::split::Split;
pub use crate::table::{Limits, Table, TableBuilder};
pub use crate::view::View;

/// Name of a service. In a gather route, each shard is configured as its own service.
pub type ServiceName = Box<str>;

/// Id of an upstream. A process that restarts may keep it, and [`Upstream::started_ms`] then
/// differs.
pub type UpstreamId = Box<str>;

/// Name of a failure domain.
pub type Domain = Box<str>;
