//! The life cycle of a process: each stage is a type, so that stages cannot be skipped.

use std::marker::PhantomData;
use std::thread::JoinHandle;

use tokio::sync::watch;

use crate::registry::Registry;

/// Stage in which services are registered.
#[derive(Debug)]
pub struct Starting;

/// Stage in which the process accepts work.
#[derive(Debug)]
pub struct Running;

/// Stage in which the process accepts no new work and finishes what is in flight.
#[derive(Debug)]
pub struct Draining;

/// Signal to every service that the process is shutting down.
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
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// A process in one stage of the life cycle.
pub struct Process<Stage> {
    name: Box<str>,
    registry: Registry,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
    stage: PhantomData<Stage>,
}

impl Process<Starting> {
    /// Creates a process without services.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            registry: Registry::default(),
            stop: watch::channel(false).0,
            threads: Vec::new(),
            stage: PhantomData,
        }
    }

    /// Adds a thread that [`Process::join`] waits for.
    pub fn add_thread(&mut self, thread: JoinHandle<()>) {
        self.threads.push(thread);
    }

    /// Starts accepting work.
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

    /// Begins the graceful shutdown.
    pub fn drain(self) -> Process<Draining> {
        log::info!("{} is draining", self.name);
        self.stop.send_replace(true);
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
    /// Returns the registry of the services of the process.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns a new handle to the shutdown signal.
    pub fn shutdown_signal(&self) -> ShutdownSignal {
        ShutdownSignal(self.stop.subscribe())
    }

    fn into_stage<Next>(self) -> Process<Next> {
        Process {
            name: self.name,
            registry: self.registry,
            stop: self.stop,
            threads: self.threads,
            stage: PhantomData,
        }
    }
}
