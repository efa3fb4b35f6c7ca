//! Collection of ended parts into the batches that a relay returns.

use std::time::Instant;

use bytes::Bytes;

use crate::batch::{Batch, End};

/// Collects ended parts at the relay and merges them into batches.
///
/// One merged batch takes about as many bytes as the answer of one part, so answers are buffered
/// until every part has ended or the flush deadline has passed. A failure is returned at once, so
/// that the requesting host can retry the part at another upstream.
#[derive(Debug)]
pub struct Collector {
    pending: usize,
    max_records: usize,
    flush_at: Instant,
    answers: Vec<(u16, End)>,
    records: Vec<Bytes>,
    failures: Vec<(u16, End)>,
}

impl Collector {
    /// Creates a collector for `parts` parts. Batches hold at most `max_records` records; answers
    /// are buffered until `flush_at` at the latest.
    pub fn new(parts: usize, max_records: usize, flush_at: Instant) -> Self {
        Self {
            pending: parts,
            max_records,
            flush_at,
            answers: Vec::new(),
            records: Vec::new(),
            failures: Vec::new(),
        }
    }

    /// Adds an answer and its records.
    pub fn answer(&mut self, part: u16, end: End, records: Bytes) {
        self.pending = self.pending.saturating_sub(1);
        self.answers.push((part, end));
        self.records.push(records);
    }

    /// Adds the end of a part that has no answer.
    pub fn fail(&mut self, part: u16, end: End) {
        self.pending = self.pending.saturating_sub(1);
        self.failures.push((part, end));
    }

    /// Removes the failures and, if they are due at `now`, the answers. Returns `None` if there are
    /// none.
    pub fn take(&mut self, now: Instant) -> Option<Batch> {
        let due = self.pending == 0 || now >= self.flush_at;
        let mut batch = Batch { ends: std::mem::take(&mut self.failures), records: Vec::new() };
        if due {
            batch.ends.append(&mut self.answers);
            let records = std::mem::take(&mut self.records);
            batch.records =
                gather::greatest(records.iter().map(|part| &**part), self.max_records).into();
        }
        (!batch.ends.is_empty()).then_some(batch)
    }

    /// Returns when the buffered answers become due, or `None` if there are none.
    pub fn due(&self) -> Option<Instant> {
        (!self.answers.is_empty()).then_some(self.flush_at)
    }

    /// Returns whether every part has ended and was returned in a batch.
    pub fn is_done(&self) -> bool {
        self.pending == 0 && self.answers.is_empty() && self.failures.is_empty()
    }
}
