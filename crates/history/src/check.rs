//! The checker, with one function for each guarantee.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::event::{Event, EventKind, Outcome};

/// Time after which no new requests may arrive at an evacuated failure domain or at an upstream
/// that is leaving.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an accepted configuration must be in force on every node that still reports.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of violations of each guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests that exceeded the slots of a cold upstream.
    pub cold_overload: u64,
    /// Requests that exceeded the slots of a warm upstream.
    pub limit_overload: u64,
    /// Requests that reached a failure domain more than 5 s after it was evacuated.
    pub late_domain_work: u64,
    /// Requests that reached an upstream more than 5 s after it was marked as leaving.
    pub late_leaving_work: u64,
    /// Requests whose connection was closed without an answer.
    pub cut_requests: u64,
    /// Answers with results of more than one snapshot, or of another one than they report.
    pub mixed_snapshots: u64,
    /// Runs after the first of a request that must run at most once.
    pub duplicate_runs: u64,
    /// "Not run" answers to requests that ran on an upstream.
    pub false_not_run: u64,
    /// Answers whose reported coverage does not match their results.
    pub false_coverage: u64,
    /// Answers with the id or the results of another request.
    pub wrong_answers: u64,
    /// Reports of a node whose configuration was older than its previous one, or older than one
    /// accepted more than 5 s before.
    pub config_reverts: u64,
}

impl Violations {
    /// Returns whether there was no violation.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Counts the violations of each guarantee in a history, whose events are ordered by time.
pub fn check(history: &[Event]) -> Violations {
    Violations {
        cold_overload: cold_overload(history),
        limit_overload: limit_overload(history),
        late_domain_work: late_domain_work(history),
        late_leaving_work: late_leaving_work(history),
        cut_requests: cut_requests(history),
        mixed_snapshots: mixed_snapshots(history),
        duplicate_runs: duplicate_runs(history),
        false_not_run: false_not_run(history),
        false_coverage: false_coverage(history),
        wrong_answers: wrong_answers(history),
        config_reverts: config_reverts(history),
    }
}

fn count(history: &[Event], violates: impl Fn(&EventKind) -> bool) -> u64 {
    history.iter().filter(|event| violates(&event.kind)).count() as u64
}

fn cold_overload(history: &[Event]) -> u64 {
    count(history, |kind| match kind {
        EventKind::Arrived(arrival) => {
            !arrival.just_turned_cold
                && arrival.cold_slots.is_some_and(|slots| arrival.in_flight > slots)
        }
        _ => false,
    })
}

fn limit_overload(history: &[Event]) -> u64 {
    count(
        history,
        |kind| matches!(kind, EventKind::Arrived(arrival) if arrival.in_flight > arrival.slots),
    )
}

fn late_domain_work(history: &[Event]) -> u64 {
    let mut evacuated: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut late = 0;
    for event in history {
        match &event.kind {
            EventKind::DomainEvacuated(domain) => _ = evacuated.insert(domain, event.at),
            EventKind::DomainRestored(domain) => _ = evacuated.remove(&**domain),
            EventKind::Arrived(arrival) => {
                let since = evacuated.get(&*arrival.domain);
                late += u64::from(since.is_some_and(|since| event.at > *since + DRAIN_TIMEOUT));
            }
            _ => {}
        }
    }
    late
}

fn late_leaving_work(history: &[Event]) -> u64 {
    let mut leaving: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut late = 0;
    for event in history {
        match &event.kind {
            EventKind::Leaving(upstream) => _ = leaving.insert(upstream, event.at),
            EventKind::Live(upstream) => _ = leaving.remove(&**upstream),
            EventKind::Arrived(arrival) => {
                let since = leaving.get(&*arrival.upstream);
                late += u64::from(since.is_some_and(|since| event.at > *since + DRAIN_TIMEOUT));
            }
            _ => {}
        }
    }
    late
}

fn cut_requests(history: &[Event]) -> u64 {
    count(history, |kind| matches!(kind, EventKind::Aborted { .. }))
}

fn mixed_snapshots(history: &[Event]) -> u64 {
    count(history, |kind| match kind {
        EventKind::Answered { snapshot, results, .. } => results.iter().any(|(s, _)| s != snapshot),
        _ => false,
    })
}

fn duplicate_runs(history: &[Event]) -> u64 {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for event in history {
        if let EventKind::Ran { request, repeatable: false } = &event.kind {
            *runs.entry(request).or_default() += 1;
        }
    }
    runs.values().map(|runs| runs - 1).sum()
}

fn false_not_run(history: &[Event]) -> u64 {
    let mut ran: BTreeSet<&str> = BTreeSet::new();
    // Requests that got a "not run" answer and have not been sent again since.
    let mut refused: BTreeSet<&str> = BTreeSet::new();
    let mut violations = 0;
    for event in history {
        match &event.kind {
            EventKind::Sent(request) => _ = refused.remove(&**request),
            EventKind::Ran { request, .. } => {
                violations += u64::from(refused.contains(&**request));
                ran.insert(request);
            }
            EventKind::Answered { request, outcome: Outcome::NotRun, .. } => {
                violations += u64::from(ran.contains(&**request));
                refused.insert(request);
            }
            _ => {}
        }
    }
    violations
}

fn false_coverage(history: &[Event]) -> u64 {
    count(history, |kind| match kind {
        EventKind::Answered { outcome, covered, total, missing, results, .. } => {
            let covered_shards: BTreeSet<u32> = results.iter().map(|(_, shard)| *shard).collect();
            let has_results = matches!(outcome, Outcome::Complete | Outcome::Partial);
            let missing_shards: BTreeSet<u32> = missing.iter().copied().collect();
            let counts_match = covered_shards.len() as u32 == *covered
                && covered + missing_shards.len() as u32 == *total
                && covered_shards.is_disjoint(&missing_shards);
            let outcome_matches = (*outcome == Outcome::Complete) == missing_shards.is_empty();
            has_results && !(counts_match && outcome_matches)
        }
        _ => false,
    })
}

fn wrong_answers(history: &[Event]) -> u64 {
    count(history, |kind| match kind {
        EventKind::Answered { request, response_id, results_match, .. } => {
            request != response_id || !results_match
        }
        _ => false,
    })
}

fn config_reverts(history: &[Event]) -> u64 {
    let mut in_force: BTreeMap<&str, u64> = BTreeMap::new();
    let mut accepted: Vec<(Duration, u64)> = Vec::new();
    let mut violations = 0;
    for event in history {
        match &event.kind {
            EventKind::ConfigAccepted(revision) => accepted.push((event.at, *revision)),
            EventKind::ConfigInForce { node, revision } => {
                let required = accepted.iter().filter(|(at, _)| event.at > *at + CONFIG_TIMEOUT);
                let required = required.map(|(_, revision)| *revision).max().unwrap_or(0);
                let previous = in_force.insert(node, *revision).unwrap_or(0);
                violations += u64::from(*revision < previous || *revision < required);
            }
            _ => {}
        }
    }
    violations
}
