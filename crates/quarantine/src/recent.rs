//! Requests that were answered a short time ago.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::Fingerprint;

/// Time for which an answer is remembered at least, and half of the time for which it is at most.
const WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of requests that are remembered from one window.
const MAX_REQUESTS: usize = 4_096;

/// The requests that were answered in the present window and in the one before it.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    started: Option<Instant>,
    present: BTreeSet<Fingerprint>,
    previous: BTreeSet<Fingerprint>,
}

impl Recent {
    /// Remembers an answer. While the present window is full, further requests are not remembered.
    pub fn insert(&mut self, now: Instant, request: Fingerprint) {
        self.rotate(now);
        if self.present.len() < MAX_REQUESTS {
            self.present.insert(request);
        }
    }

    /// Returns whether the request was answered within the last two to four seconds.
    pub fn contains(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.rotate(now);
        self.present.contains(&request) || self.previous.contains(&request)
    }

    fn rotate(&mut self, now: Instant) {
        let age = self.started.map(|started| now.saturating_duration_since(started));
        if age.is_some_and(|age| age < WINDOW) {
            return;
        }
        let ended = std::mem::take(&mut self.present);
        let is_previous = age.is_some_and(|age| age < WINDOW * 2);
        self.previous = if is_previous { ended } else { BTreeSet::new() };
        self.started = Some(now);
    }
}
