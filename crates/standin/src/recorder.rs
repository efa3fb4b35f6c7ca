//! Where the history of a run is written.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use history::{Event, EventKind};

/// Writes events with the time since its creation.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    events: Option<Arc<Mutex<Vec<Event>>>>,
}

impl Recorder {
    /// Creates a recorder that keeps every event.
    pub fn new() -> Self {
        Self { start: Instant::now(), events: Some(Arc::default()) }
    }

    /// Creates a recorder that keeps nothing, for stand-ins that run for long.
    pub fn disabled() -> Self {
        Self { start: Instant::now(), events: None }
    }

    /// Writes one event.
    pub fn record(&self, kind: EventKind) {
        if let Some(events) = &self.events {
            let mut events = events.lock().unwrap_or_else(PoisonError::into_inner);
            let at = self.start.elapsed();
            events.push(Event { at, kind });
        }
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        let Some(events) = &self.events else { return Vec::new() };
        events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}
