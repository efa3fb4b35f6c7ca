//! Recording of the history of a run.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use history::{Event, EventKind};

/// Collects events, each with the time since the creation of the recorder.
///
/// Clones share the same events.
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

    /// Creates a recorder that discards all events, so that long runs do not fill the memory.
    pub fn disabled() -> Self {
        Self { start: Instant::now(), events: None }
    }

    /// Appends one event, unless the recorder is disabled.
    pub fn record(&self, kind: EventKind) {
        if let Some(events) = &self.events {
            let mut events = events.lock().unwrap_or_else(PoisonError::into_inner);
            let at = self.start.elapsed();
            events.push(Event { at, kind });
        }
    }

    /// Returns all events recorded so far, in the order of their times.
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
