//! Shared infrastructure of every process: a registry of components by name, threads for control
//! and traffic, logging, command-line flags, and a life cycle that ends in a graceful shutdown.
//!
//! ```
//! let process = kernel::Process::new("example");
//! process.registry().register("greeting", "hello".to_string());
//! let greeting = process.registry().find::<String>("greeting").expect("is registered");
//! assert_eq!(*greeting, "hello");
//! ```

mod error;
mod flags;
mod log;
mod process;
mod registry;
mod thread;

pub use crate::error::{Error, Result};
pub use crate::flags::{address_flag, flag, name_flag, number_flag};
pub use crate::log::{start_json_log, start_log};
pub use crate::process::{Draining, Process, Running, ShutdownSignal, Starting};
pub use crate::registry::Registry;
pub use crate::thread::spawn_local;
