//! Detection that this host cannot reach any upstream.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of upstreams that must owe an answer. Fewer may all be busy.
const MIN_SILENT_UPSTREAMS: usize = 3;

/// Time without an answer of any upstream after which connections are tried. It covers the pauses
/// of upstreams, and leaves callers time to move to other hosts within seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks of an isolated host, each of which opens a few connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Whether this host is isolated: cut off from all upstreams, unlike other hosts perhaps.
///
/// Silence alone proves nothing, since the upstreams in use may have failed. It only makes a check
/// due, which tries connections to upstreams of all kinds. Any answer or connection ends the
/// isolation.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// Upstreams that were sent a request since the last answer, up to the number that counts.
    silent: BTreeSet<Box<str>>,
    /// Time of the first request since the last answer.
    silent_since: Option<Instant>,
    last_answer: Option<Instant>,
    last_check: Option<Instant>,
    isolated: bool,
}

impl Isolation {
    /// Records that a request is sent to an upstream.
    pub fn sent(&mut self, now: Instant, upstream: &str) {
        self.silent_since.get_or_insert(now);
        if self.silent.len() < MIN_SILENT_UPSTREAMS && !self.silent.contains(upstream) {
            self.silent.insert(upstream.into());
        }
    }

    /// Records an answer of an upstream. Returns whether it ends the isolation.
    pub fn answered(&mut self, now: Instant) -> bool {
        self.last_answer = Some(now);
        self.silent.clear();
        self.silent_since = None;
        std::mem::take(&mut self.isolated)
    }

    /// Returns whether connections should be tried, and records that they are. `upstreams` is the
    /// number of known upstreams.
    pub fn start_check(&mut self, now: Instant, upstreams: usize) -> bool {
        let since = |time: Option<Instant>| time.map(|time| now.saturating_duration_since(time));
        let recent = since(self.last_check).is_some_and(|time| time < CHECK_INTERVAL);
        let silent = since(self.silent_since).is_some_and(|time| time >= SILENCE_TIMEOUT);
        let enough = self.silent.len() >= MIN_SILENT_UPSTREAMS.min(upstreams);
        let due = upstreams > 0 && !recent && (self.isolated || silent && enough);
        if due {
            self.last_check = Some(now);
        }
        due
    }

    /// Records the result of a check that began at `started`. Returns whether the host became
    /// isolated or ceased to be.
    pub fn end_check(&mut self, now: Instant, started: Instant, connected: bool) -> bool {
        if connected {
            return self.answered(now);
        }
        if self.last_answer.is_some_and(|answer| answer >= started) {
            return false;
        }
        !std::mem::replace(&mut self.isolated, true)
    }

    /// Returns whether the host is isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }
}
