//! State of one query over many shards.

use std::time::Instant;

use bytes::Bytes;

use crate::merge::greatest;

/// Answer of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Stamp with which the upstream signed the answer.
    pub stamp: Box<str>,
    /// Records of the answer, in any order.
    pub records: Bytes,
}

/// What to do next with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for parts until the given time.
    Wait(Instant),
    /// Answer with the parts received so far.
    Answer,
    /// Fail: too few parts were received, and no more can come in time.
    Fail,
}

#[derive(Clone, Debug)]
enum Shard {
    Pending,
    Received(Part),
    Lost,
}

/// One query over many shards.
#[derive(Clone, Debug)]
pub struct Gather {
    shards: Vec<Shard>,
    /// Records that relays have merged, for all parts that were added without records.
    merged: Vec<Bytes>,
    min_parts: usize,
    received: usize,
    pending: usize,
    soft_deadline: Instant,
    deadline: Instant,
}

impl Gather {
    /// Starts a query over `shards` shards that fails with fewer than `min_parts` parts.
    ///
    /// Before `soft_deadline` the query waits for missing parts. From then on it answers as soon as
    /// it has `min_parts` parts, since an earlier answer is worth more than the missing parts. A
    /// query that has not answered by `deadline` fails.
    pub fn new(shards: usize, min_parts: usize, soft_deadline: Instant, deadline: Instant) -> Self {
        Self {
            shards: vec![Shard::Pending; shards],
            merged: Vec::new(),
            min_parts,
            received: 0,
            pending: shards,
            soft_deadline,
            deadline,
        }
    }

    /// Adds a part. It is ignored if the shard's part was received before.
    pub fn add(&mut self, shard: usize, part: Part) {
        if !matches!(self.shards[shard], Shard::Received(_)) {
            self.put(shard, part);
        }
    }

    /// Adds parts, as pairs of shard and stamp, whose records are already merged.
    ///
    /// The merged records cannot be separated by shard. So these parts replace parts of the same
    /// shards that were received before. A shard may occur in only one call of this method, or its
    /// records would count twice.
    pub fn add_merged(
        &mut self,
        parts: impl IntoIterator<Item = (usize, Box<str>)>,
        records: Bytes,
    ) {
        for (shard, stamp) in parts {
            self.put(shard, Part { stamp, records: Bytes::new() });
        }
        self.merged.push(records);
    }

    fn put(&mut self, shard: usize, part: Part) {
        let before = std::mem::replace(&mut self.shards[shard], Shard::Received(part));
        self.pending -= usize::from(matches!(before, Shard::Pending));
        self.received += usize::from(!matches!(before, Shard::Received(_)));
    }

    /// Records that no part of a shard is expected any more.
    pub fn mark_lost(&mut self, shard: usize) {
        if matches!(self.shards[shard], Shard::Pending) {
            self.shards[shard] = Shard::Lost;
            self.pending -= 1;
        }
    }

    /// Returns what to do at `now`.
    pub fn step(&self, now: Instant) -> Step {
        let enough = self.received >= self.min_parts;
        if enough && (self.pending == 0 || now >= self.soft_deadline) {
            Step::Answer
        } else if self.received + self.pending < self.min_parts || now >= self.deadline {
            Step::Fail
        } else {
            Step::Wait(if enough { self.soft_deadline.min(self.deadline) } else { self.deadline })
        }
    }

    /// Returns the number of shards whose part has not been received.
    pub fn missing(&self) -> usize {
        self.shards.len() - self.received
    }

    /// Returns the stamps of the parts received, in the order of the shards.
    pub fn stamps(&self) -> impl Iterator<Item = &str> {
        self.parts().map(|part| &*part.stamp)
    }

    /// Returns the body of the answer: the `limit` greatest records of the parts received.
    pub fn merge(&self, limit: usize) -> Bytes {
        let merged = self.merged.iter().map(|records| &**records);
        greatest(self.parts().map(|part| &*part.records).chain(merged), limit)
    }

    fn parts(&self) -> impl Iterator<Item = &Part> {
        self.shards.iter().filter_map(|shard| match shard {
            Shard::Received(part) => Some(part),
            Shard::Pending | Shard::Lost => None,
        })
    }
}
