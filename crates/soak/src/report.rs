//! What the soak found.

use std::collections::BTreeMap;
use std::fmt;

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Broken {
    /// An answer was not the upstream's whole answer to this request.
    Mixed,
    /// An answer did not cover the shards that it claimed to.
    Coverage,
    /// A request that must not run twice ran twice.
    Twice,
    /// A request ran that was said not to have run.
    FalseRefusal,
    /// An upstream got a request that nobody sent, or a changed one.
    Unasked,
    /// A configuration came back after a newer one had been in force.
    Reverted,
    /// A configuration was not in force in time.
    Overdue,
    /// A leaving upstream or a failure domain that is out got work.
    Unwanted,
    /// A stopping host cut a request.
    Cut,
    /// After all faults had ended, requests were not served.
    NotRecovered,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Answers by status; 0 stands for none.
    pub answers: BTreeMap<u16, u64>,
    /// Faults that were played, in their order.
    pub faults: Vec<String>,
    /// Broken promises, with what was seen.
    pub broken: Vec<(Broken, String)>,
}

impl Report {
    /// Notes a broken promise.
    pub fn breaks(&mut self, broken: Broken, detail: impl Into<String>) {
        self.broken.push((broken, detail.into()));
    }

    /// Counts an answer.
    pub fn answer(&mut self, status: u16) {
        *self.answers.entry(status).or_default() += 1;
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "answers by status: {:?}", self.answers)?;
        for fault in &self.faults {
            writeln!(f, "fault: {fault}")?;
        }
        for (broken, detail) in &self.broken {
            writeln!(f, "broken: {broken:?}: {detail}")?;
        }
        write!(f, "{} faults, {} broken promises", self.faults.len(), self.broken.len())
    }
}
