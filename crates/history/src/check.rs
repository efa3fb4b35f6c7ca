//! One function for each promise.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::event::{Event, EventKind, Outcome};

/// Time after which a failure domain that is out, or an upstream that leaves, gets no new work.
const MOVE_TIME: Duration = Duration::from_secs(5);

/// Time after which an accepted configuration is in force on every node that still tells.
const CONFIG_TIME: Duration = Duration::from_secs(5);

/// How often each promise was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Work beyond what a cold upstream bears.
    pub cold_overload: u64,
    /// Work beyond the slots of a warm upstream.
    pub limit_overload: u64,
    /// Work that reached a failure domain after it was out.
    pub late_domain_work: u64,
    /// Work that reached an upstream after it was leaving.
    pub late_leaving_work: u64,
    /// Requests cut in flight.
    pub cut_requests: u64,
    /// Answers that mix snapshots.
    pub mixed_snapshots: u64,
    /// Runs of a not repeatable request beyond its first.
    pub duplicate_runs: u64,
    /// Answers "not run" of requests that reached an upstream.
    pub false_not_run: u64,
    /// Answers that misstate the shards they cover.
    pub false_coverage: u64,
    /// Answers to another request, or with another request's results.
    pub wrong_answers: u64,
    /// Nodes that went back to an older configuration, or were late to a new one.
    pub config_reverts: u64,
}

impl Violations {
    /// Returns whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Counts how often each promise was broken in a history, ordered by time.
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

fn count(history: &[Event], broken: impl Fn(&EventKind) -> bool) -> u64 {
    history.iter().filter(|event| broken(&event.kind)).count() as u64
}

fn cold_overload(history: &[Event]) -> u64 {
    count(history, |what| match what {
        EventKind::Arrived(work) => {
            !work.just_turned_cold && work.cold_slots.is_some_and(|slots| work.in_flight > slots)
        }
        _ => false,
    })
}

fn limit_overload(history: &[Event]) -> u64 {
    count(history, |what| matches!(what, EventKind::Arrived(work) if work.in_flight > work.slots))
}

fn late_domain_work(history: &[Event]) -> u64 {
    let mut out: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut late = 0;
    for event in history {
        match &event.kind {
            EventKind::DomainOut(domain) => _ = out.insert(domain, event.at),
            EventKind::DomainIn(domain) => _ = out.remove(&**domain),
            EventKind::Arrived(work) => {
                let since = out.get(&*work.domain);
                late += u64::from(since.is_some_and(|since| event.at > *since + MOVE_TIME));
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
            EventKind::Arrived(work) => {
                let since = leaving.get(&*work.upstream);
                late += u64::from(since.is_some_and(|since| event.at > *since + MOVE_TIME));
            }
            _ => {}
        }
    }
    late
}

fn cut_requests(history: &[Event]) -> u64 {
    count(history, |what| matches!(what, EventKind::Aborted { .. }))
}

fn mixed_snapshots(history: &[Event]) -> u64 {
    count(history, |what| match what {
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
    // Requests that were refused and have not been sent again since.
    let mut refused: BTreeSet<&str> = BTreeSet::new();
    let mut broken = 0;
    for event in history {
        match &event.kind {
            EventKind::Sent(request) => _ = refused.remove(&**request),
            EventKind::Ran { request, .. } => {
                broken += u64::from(refused.contains(&**request));
                ran.insert(request);
            }
            EventKind::Answered { request, outcome: Outcome::NotRun, .. } => {
                broken += u64::from(ran.contains(&**request));
                refused.insert(request);
            }
            _ => {}
        }
    }
    broken
}

fn false_coverage(history: &[Event]) -> u64 {
    count(history, |what| match what {
        EventKind::Answered { outcome, covered, total, missing, results, .. } => {
            let shards: BTreeSet<u32> = results.iter().map(|(_, shard)| *shard).collect();
            let answered = matches!(outcome, Outcome::Complete | Outcome::Partial);
            let named: BTreeSet<u32> = missing.iter().copied().collect();
            let adds_up = shards.len() as u32 == *covered
                && covered + named.len() as u32 == *total
                && shards.is_disjoint(&named);
            let labelled = (*outcome == Outcome::Complete) == named.is_empty();
            answered && !(adds_up && labelled)
        }
        _ => false,
    })
}

fn wrong_answers(history: &[Event]) -> u64 {
    count(history, |what| match what {
        EventKind::Answered { request, response_id, results_match, .. } => {
            request != response_id || !results_match
        }
        _ => false,
    })
}

fn config_reverts(history: &[Event]) -> u64 {
    let mut held: BTreeMap<&str, u64> = BTreeMap::new();
    let mut accepted: Vec<(Duration, u64)> = Vec::new();
    let mut broken = 0;
    for event in history {
        match &event.kind {
            EventKind::ConfigAccepted(revision) => accepted.push((event.at, *revision)),
            EventKind::ConfigInForce { node, revision } => {
                let due = accepted.iter().filter(|(at, _)| event.at > *at + CONFIG_TIME);
                let due = due.map(|(_, revision)| *revision).max().unwrap_or(0);
                let before = held.insert(node, *revision).unwrap_or(0);
                broken += u64::from(*revision < before || *revision < due);
            }
            _ => {}
        }
    }
    broken
}
