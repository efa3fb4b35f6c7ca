//! Report of a run: answers, injected faults and violated guarantees.

use std::collections::BTreeMap;
use std::fmt;

/// A violated guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The body or the request id of an answer did not belong to its request.
    WrongAnswer,
    /// An answer did not cover the shards that it claimed to cover, or fewer than half of them.
    FalseCoverage,
    /// A non-idempotent request ran more than once.
    DuplicateRun,
    /// A request ran although its answer said that it had not run.
    FalseRefusal,
    /// An upstream ran a request with a body or a method other than GET; clients send neither.
    UnexpectedRequest,
    /// A configuration was in force again after a newer one had been.
    ConfigReverted,
    /// A configuration was not in force in time.
    ConfigLate,
    /// An upstream that was draining or in an evacuated failure domain still got requests.
    LateWork,
    /// An upstream got more requests than the rate limit that it stated allows.
    RateLimitExceeded,
    /// A request that had crashed upstreams was sent to more of them.
    CrashRepeated,
    /// A host that was shutting down gracefully cut an answer off.
    CutAnswer,
    /// A request that a host had taken during its graceful shutdown ended without an answer.
    LostRequest,
    /// A cold upstream got more requests than it bears.
    ColdFlood,
    /// The directory named a host too long after its loss.
    LostHostNamed,
    /// A host did not serve requests again after all faults had ended.
    NotRecovered,
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of answers by status; status 0 counts requests without an answer.
    pub answers: BTreeMap<u16, u64>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Violated guarantees, each with a description of what was observed.
    pub violations: Vec<(Violation, String)>,
}

impl Report {
    /// Records a violated guarantee.
    pub fn add_violation(&mut self, violation: Violation, detail: impl Into<String>) {
        self.violations.push((violation, detail.into()));
    }

    /// Counts an answer with this status, or a request without an answer if `status` is 0.
    pub fn count_answer(&mut self, status: u16) {
        *self.answers.entry(status).or_default() += 1;
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "answers by status: {:?}", self.answers)?;
        for fault in &self.faults {
            writeln!(f, "fault: {fault}")?;
        }
        for (violation, detail) in &self.violations {
            writeln!(f, "violation: {violation:?}: {detail}")?;
        }
        write!(f, "{} faults, {} violations", self.faults.len(), self.violations.len())
    }
}
