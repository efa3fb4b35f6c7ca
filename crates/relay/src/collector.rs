//! When a relay returns which parts.

use std::time::Instant;

use bytes::Bytes;

use crate::batch::{Batch, End};

/// Collects parts at the relay until they are worth a message.
///
/// One merged batch costs about as many bytes as one part, so answers are held back until all are
/// in or the flush time has come. A failure is returned at once, since the host of the query can
/// send that part elsewhere meanwhile.
#[derive(Debug)]
pub struct Collector {
    open: usize,
    most: usize,
    flush: Instant,
    answers: Vec<(u16, End)>,
    records: Vec<Bytes>,
    failures: Vec<(u16, End)>,
}

impl Collector {
    /// Starts collecting `parts` parts; batches hold at most `most` records.
    pub fn new(parts: usize, most: usize, flush: Instant) -> Self {
        Self {
            open: parts,
            most,
            flush,
            answers: Vec::new(),
            records: Vec::new(),
            failures: Vec::new(),
        }
    }

    /// Takes an answer and its records.
    pub fn answer(&mut self, part: u16, end: End, records: Bytes) {
        self.open = self.open.saturating_sub(1);
        self.answers.push((part, end));
        self.records.push(records);
    }

    /// Takes the end of a part that brought no answer.
    pub fn fail(&mut self, part: u16, end: End) {
        self.open = self.open.saturating_sub(1);
        self.failures.push((part, end));
    }

    /// Returns what is worth a message at `now`.
    pub fn take(&mut self, now: Instant) -> Option<Batch> {
        let due = self.open == 0 || now >= self.flush;
        let mut batch = Batch { ends: std::mem::take(&mut self.failures), records: Vec::new() };
        if due {
            batch.ends.append(&mut self.answers);
            let records = std::mem::take(&mut self.records);
            batch.records = gather::greatest(records.iter().map(|part| &**part), self.most).into();
        }
        (!batch.ends.is_empty()).then_some(batch)
    }

    /// Returns when answers that are held back become due.
    pub fn due(&self) -> Option<Instant> {
        (!self.answers.is_empty()).then_some(self.flush)
    }

    /// Returns whether every part has ended and been returned.
    pub fn is_done(&self) -> bool {
        self.open == 0 && self.answers.is_empty() && self.failures.is_empty()
    }
}
