//! The life cycle of a process: each stage is a type, so that stages cannot be skipped.

use std::marker::PhantomData;
use std::thread::JoinHandle;

use tokio::sync::watch;

use crate::registry::Registry;

/// Stage in which components are registered and threads are added.
#[derive(Debug)]
pub struct Starting;

/// Stage from the end of the start until the shutdown begins.
#[derive(Debug)]
pub struct Running;

/// Stage in which the shutdown has begun and the threads of the process are to end.
#[derive(Debug)]
pub struct Draining;

/// Signal to every component that the process is shutting down.
#[derive(Clone, Debug)]
pub struct ShutdownSignal(watch::Receiver<bool>);

impl ShutdownSignal {
    /// Returns whether the shutdown has begun, which is also the case once the process is dropped.
    pub fn is_set(&self) -> bool {
        *self.0.borrow() || self.0.has_changed().is_err()
    }

    /// Waits until the shutdown begins.
    pub async fn wait(&mut self) {
        // The error means that the process was dropped, which is a shutdown as well.
        let _ = self.0.wait_for(|is_set| *is_set).await;
    }
}

/// A process in one stage of the life cycle.
pub struct Process<Stage> {
    name: Box<str>,
    registry: Registry,
    shutdown: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
    stage: PhantomData<Stage>,
}

impl Process<Starting> {
    /// Creates a process without components and threads.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            registry: Registry::default(),
            shutdown: watch::channel(false).0,
            threads: Vec::new(),
            stage: PhantomData,
        }
    }

    /// Adds a thread that [`Process::join`] waits for.
    pub fn add_thread(&mut self, thread: JoinHandle<()>) {
        self.threads.push(thread);
    }

    /// Marks the process as running, and logs this.
    pub fn run(self) -> Process<Running> {
        log::info!("{} is running", self.name);
        self.into_stage()
    }
}

impl Process<Running> {
    /// Waits for SIGTERM or SIGINT. Must be called within a Tokio runtime.
    pub async fn wait_for_signal(&self) {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate =
            signal(SignalKind::terminate()).expect("signals are enabled in the runtime");
        let mut interrupt =
            signal(SignalKind::interrupt()).expect("signals are enabled in the runtime");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }

    /// Begins the graceful shutdown: sets the shutdown signal of every component.
    pub fn drain(self) -> Process<Draining> {
        log::info!("{} is draining", self.name);
        self.shutdown.send_replace(true);
        self.into_stage()
    }
}

impl Process<Draining> {
    /// Waits until every thread has ended.
    pub fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of {} panicked", self.name);
            }
        }
        log::info!("{} has stopped", self.name);
    }
}

impl<Stage> Process<Stage> {
    /// Returns the registry of the components of the process.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the signal that is set when the shutdown begins.
    pub fn shutdown_signal(&self) -> ShutdownSignal {
        ShutdownSignal(self.shutdown.subscribe())
    }

    fn into_stage<Next>(self) -> Process<Next> {
        Process {
            name: self.name,
            registry: self.registry,
            shutdown: self.shutdown,
            threads: self.threads,
            stage: PhantomData,
        }
    }
}
