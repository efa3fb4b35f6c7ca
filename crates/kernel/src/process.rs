//! The life cycle of a process, as types.

use std::marker::PhantomData;
use std::thread::JoinHandle;

use tokio::sync::watch;

use crate::registry::Registry;

/// A process whose services are being registered.
#[derive(Debug)]
pub struct Starting;

/// A process that takes work.
#[derive(Debug)]
pub struct Running;

/// A process that ends what it has.
#[derive(Debug)]
pub struct Draining;

/// Tells every service that the process is to stop.
#[derive(Clone, Debug)]
pub struct Stop(watch::Receiver<bool>);

impl Stop {
    /// Returns whether the stop has begun, which a dropped process counts as.
    pub fn is_set(&self) -> bool {
        *self.0.borrow() || self.0.has_changed().is_err()
    }

    /// Waits until the stop begins.
    pub async fn wait(&mut self) {
        // A dropped process stops as well.
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// A process in one stage of its life.
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

    /// Adds a thread that the process waits for at its end.
    pub fn add_thread(&mut self, thread: JoinHandle<()>) {
        self.threads.push(thread);
    }

    /// Takes work from now on.
    pub fn run(self) -> Process<Running> {
        log::info!("{} runs", self.name);
        self.turn()
    }
}

impl Process<Running> {
    /// Waits for SIGTERM or SIGINT.
    pub async fn wait_for_signal(&self) {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate = signal(SignalKind::terminate()).expect("a runtime with signals");
        let mut interrupt = signal(SignalKind::interrupt()).expect("a runtime with signals");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }

    /// Begins the graceful stop.
    pub fn drain(self) -> Process<Draining> {
        log::info!("{} drains", self.name);
        self.stop.send_replace(true);
        self.turn()
    }
}

impl Process<Draining> {
    /// Waits until every thread has ended what it had.
    pub fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of {} broke an invariant", self.name);
            }
        }
        log::info!("{} has stopped", self.name);
    }
}

impl<Stage> Process<Stage> {
    /// Returns the services of the process.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns what tells of the stop.
    pub fn stop(&self) -> Stop {
        Stop(self.stop.subscribe())
    }

    fn turn<Next>(self) -> Process<Next> {
        Process {
            name: self.name,
            registry: self.registry,
            stop: self.stop,
            threads: self.threads,
            stage: PhantomData,
        }
    }
}
