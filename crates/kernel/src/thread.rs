//! Threads that run tasks on a single-threaded runtime.

use std::future::Future;
use std::thread::JoinHandle;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::error::{Code, Result};

/// Starts a thread that runs the future returned by `make`, and all tasks that the future spawns
/// locally, until the future ends.
///
/// Control and traffic run on separate threads, so that neither waits for the other.
///
/// # Errors
///
/// Fails if the runtime or the thread cannot be created.
pub fn spawn_local<F>(
    name: &str,
    make: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Code::Thread(name.into(), error))?;
    let thread = std::thread::Builder::new().name(name.into());
    let run = move || LocalSet::new().block_on(&runtime, make());
    Ok(thread.spawn(run).map_err(|error| Code::Thread(name.into(), error))?)
}
