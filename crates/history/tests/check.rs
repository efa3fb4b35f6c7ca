//! Every promise's checker sees a broken history, and passes a kept one.

use std::time::Duration;

use history::{Event, EventKind, Outcome, Violations, Work, check};

fn at(seconds: u64, kind: EventKind) -> Event {
    Event { at: Duration::from_secs(seconds), kind }
}

fn work() -> Work {
    Work {
        upstream: "u1".into(),
        domain: "d1".into(),
        request: "1-a".into(),
        repeatable: true,
        in_flight: 1,
        slots: 2,
        cold_slots: None,
        just_turned_cold: false,
    }
}

fn answered(outcome: Outcome, covered: u32, missing: &[u32], results: &[(u64, u32)]) -> EventKind {
    EventKind::Answered {
        request: "1-a".into(),
        response_id: "1-a".into(),
        outcome,
        snapshot: 7,
        covered,
        total: 2,
        missing: missing.into(),
        results: results.into(),
        results_match: true,
    }
}

fn ran(repeatable: bool) -> EventKind {
    EventKind::Ran { request: "1-a".into(), repeatable }
}

#[test]
fn kept_promises_count_nothing() {
    let history = [
        at(0, EventKind::Arrived(work())),
        at(0, ran(false)),
        at(1, answered(Outcome::Complete, 2, &[], &[(7, 0), (7, 1)])),
        at(1, answered(Outcome::Partial, 1, &[1], &[(7, 0)])),
        at(2, EventKind::DomainOut("d1".into())),
        at(6, EventKind::Arrived(work())),
        at(7, EventKind::DomainIn("d1".into())),
        at(30, EventKind::Arrived(work())),
        at(31, EventKind::ConfigAccepted(3)),
        at(32, EventKind::ConfigInForce { node: "n".into(), revision: 2 }),
        at(37, EventKind::ConfigInForce { node: "n".into(), revision: 3 }),
    ];
    assert!(check(&history).is_clean(), "{:?}", check(&history));
}

#[test]
fn overload_is_seen() {
    let cold = Work { in_flight: 2, cold_slots: Some(1), ..work() };
    let unknowable = Work { just_turned_cold: true, ..cold.clone() };
    let full = Work { in_flight: 3, ..work() };
    let counts = check(&[cold, unknowable, full].map(|work| at(0, EventKind::Arrived(work))));
    assert_eq!(counts, Violations { cold_overload: 1, limit_overload: 1, ..Violations::default() });
}

#[test]
fn late_work_is_seen() {
    let history = [
        at(0, EventKind::DomainOut("d1".into())),
        at(0, EventKind::Leaving("u1".into())),
        at(6, EventKind::Arrived(work())),
    ];
    let counts = check(&history);
    assert_eq!((counts.late_domain_work, counts.late_leaving_work), (1, 1));
}

#[test]
fn cut_and_wrong_answers_are_seen() {
    let mut wrong = answered(Outcome::Complete, 2, &[], &[(7, 0), (7, 1)]);
    if let EventKind::Answered { response_id, .. } = &mut wrong {
        *response_id = "1-b".into();
    }
    let counts = check(&[at(0, EventKind::Aborted { request: "1-a".into() }), at(0, wrong)]);
    assert_eq!((counts.cut_requests, counts.wrong_answers), (1, 1));
}

#[test]
fn mixed_snapshots_are_seen() {
    let counts = check(&[at(0, answered(Outcome::Complete, 2, &[], &[(7, 0), (8, 1)]))]);
    assert_eq!(counts.mixed_snapshots, 1);
}

#[test]
fn second_run_and_false_not_run_are_seen() {
    let refused = EventKind::Answered {
        request: "1-a".into(),
        response_id: "1-a".into(),
        outcome: Outcome::NotRun,
        snapshot: 0,
        covered: 0,
        total: 0,
        missing: Vec::new(),
        results: Vec::new(),
        results_match: true,
    };
    let counts = check(&[at(0, ran(false)), at(0, ran(false)), at(1, refused.clone())]);
    assert_eq!((counts.duplicate_runs, counts.false_not_run), (1, 1));
    // It runs after the refusal, although nobody asked again.
    let late = [at(0, EventKind::Sent("1-a".into())), at(1, refused.clone()), at(2, ran(false))];
    assert_eq!(check(&late).false_not_run, 1);
    // A refused request that is sent again may run.
    let again = [at(1, refused), at(2, EventKind::Sent("1-a".into())), at(3, ran(false))];
    assert!(check(&again).is_clean());
    assert_eq!(check(&[at(0, ran(true)), at(0, ran(true))]), Violations::default());
}

#[test]
fn false_coverage_is_seen() {
    for broken in [
        answered(Outcome::Complete, 2, &[], &[(7, 0)]),
        answered(Outcome::Complete, 1, &[1], &[(7, 0)]),
        answered(Outcome::Partial, 2, &[], &[(7, 0), (7, 1)]),
        answered(Outcome::Partial, 1, &[0], &[(7, 0)]),
    ] {
        assert_eq!(check(&[at(0, broken)]).false_coverage, 1);
    }
}

#[test]
fn reverted_and_late_configurations_are_seen() {
    let force =
        |second, revision| at(second, EventKind::ConfigInForce { node: "n".into(), revision });
    assert_eq!(check(&[force(0, 3), force(1, 2)]).config_reverts, 1);
    assert_eq!(check(&[at(0, EventKind::ConfigAccepted(4)), force(6, 3)]).config_reverts, 1);
}
