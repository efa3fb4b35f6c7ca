//! The state of one query over many shards.

use std::time::Instant;

use bytes::Bytes;

use crate::merge::greatest;

/// One shard's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The upstream's signature of its answer.
    pub stamp: Box<str>,
    /// Its records, in no order.
    pub records: Bytes,
}

/// What to do next with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for parts until the given time.
    Wait(Instant),
    /// Answer with the parts that are in.
    Answer,
    /// Give up: too few parts are in, and no more can come in time.
    Fail,
}

#[derive(Clone, Debug)]
enum Shard {
    Open,
    In(Part),
    Lost,
}

/// One query over many shards.
#[derive(Clone, Debug)]
pub struct Gather {
    shards: Vec<Shard>,
    merged: Vec<Bytes>,
    least: usize,
    covered: usize,
    open: usize,
    soft: Instant,
    end: Instant,
}

impl Gather {
    /// Starts a query over `shards` shards that is no success with fewer than `least` parts.
    ///
    /// Up to `soft` a missing part is worth waiting for; from then on an answer that still counts
    /// is worth more than the parts that it misses. At `end` the caller gets a final answer.
    pub fn new(shards: usize, least: usize, soft: Instant, end: Instant) -> Self {
        Self {
            shards: vec![Shard::Open; shards],
            merged: Vec::new(),
            least,
            covered: 0,
            open: shards,
            soft,
            end,
        }
    }

    /// Takes a part; one for a shard that is in already is ignored.
    pub fn add(&mut self, shard: usize, part: Part) {
        if !matches!(self.shards[shard], Shard::In(_)) {
            self.put(shard, part);
        }
    }

    /// Takes parts whose records are merged already.
    ///
    /// The records of one of them cannot be told from the others', so these parts replace any that
    /// came in by themselves. A shard may be named in one such call only.
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
        let before = std::mem::replace(&mut self.shards[shard], Shard::In(part));
        self.open -= usize::from(matches!(before, Shard::Open));
        self.covered += usize::from(!matches!(before, Shard::In(_)));
    }

    /// Notes that no part of a shard can come any more.
    pub fn mark_lost(&mut self, shard: usize) {
        if matches!(self.shards[shard], Shard::Open) {
            self.shards[shard] = Shard::Lost;
            self.open -= 1;
        }
    }

    /// Decides what to do at `now`.
    pub fn step(&self, now: Instant) -> Step {
        let enough = self.covered >= self.least;
        if enough && (self.open == 0 || now >= self.soft) {
            Step::Answer
        } else if self.covered + self.open < self.least || now >= self.end {
            Step::Fail
        } else {
            Step::Wait(if enough { self.soft.min(self.end) } else { self.end })
        }
    }

    /// Returns the number of shards that the answer leaves out.
    pub fn missing(&self) -> usize {
        self.shards.len() - self.covered
    }

    /// Returns the signatures of the parts that are in, in the order of the shards.
    pub fn stamps(&self) -> impl Iterator<Item = &str> {
        self.parts().map(|part| &*part.stamp)
    }

    /// Returns the body of the answer: the `most` greatest records of the parts that are in.
    pub fn merge(&self, most: usize) -> Bytes {
        let merged = self.merged.iter().map(|records| &**records);
        greatest(self.parts().map(|part| &*part.records).chain(merged), most)
    }

    fn parts(&self) -> impl Iterator<Item = &Part> {
        self.shards.iter().filter_map(|shard| match shard {
            Shard::In(part) => Some(part),
            Shard::Open | Shard::Lost => None,
        })
    }
}
