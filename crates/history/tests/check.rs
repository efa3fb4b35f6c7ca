//! Each check counts the violations in a bad history and none in a good one.

use std::time::Duration;

use history::{Arrival, Event, EventKind, Outcome, Violations, check};

fn at(seconds: u64, kind: EventKind) -> Event {
    Event { at: Duration::from_secs(seconds), kind }
}

fn arrival() -> Arrival {
    Arrival {
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
fn clean_history_has_no_violations() {
    let history = [
        at(0, EventKind::Arrived(arrival())),
        at(0, ran(false)),
        at(1, answered(Outcome::Complete, 2, &[], &[(7, 0), (7, 1)])),
        at(1, answered(Outcome::Partial, 1, &[1], &[(7, 0)])),
        at(2, EventKind::DomainEvacuated("d1".into())),
        at(6, EventKind::Arrived(arrival())),
        at(7, EventKind::DomainRestored("d1".into())),
        at(30, EventKind::Arrived(arrival())),
        at(31, EventKind::ConfigAccepted(3)),
        at(32, EventKind::ConfigInForce { node: "n".into(), revision: 2 }),
        at(37, EventKind::ConfigInForce { node: "n".into(), revision: 3 }),
    ];
    assert!(check(&history).is_clean(), "{:?}", check(&history));
}

#[test]
fn overload_is_counted() {
    let cold = Arrival { in_flight: 2, cold_slots: Some(1), ..arrival() };
    let unnoticed = Arrival { just_turned_cold: true, ..cold.clone() };
    let full = Arrival { in_flight: 3, ..arrival() };
    let violations =
        check(&[cold, unnoticed, full].map(|arrival| at(0, EventKind::Arrived(arrival))));
    assert_eq!(
        violations,
        Violations { cold_overload: 1, limit_overload: 1, ..Violations::default() }
    );
}

#[test]
fn late_work_is_counted() {
    let history = [
        at(0, EventKind::DomainEvacuated("d1".into())),
        at(0, EventKind::Leaving("u1".into())),
        at(6, EventKind::Arrived(arrival())),
    ];
    let violations = check(&history);
    assert_eq!((violations.late_domain_work, violations.late_leaving_work), (1, 1));
}

#[test]
fn aborted_requests_and_wrong_answers_are_counted() {
    let mut wrong = answered(Outcome::Complete, 2, &[], &[(7, 0), (7, 1)]);
    if let EventKind::Answered { response_id, .. } = &mut wrong {
        *response_id = "1-b".into();
    }
    let violations = check(&[at(0, EventKind::Aborted { request: "1-a".into() }), at(0, wrong)]);
    assert_eq!((violations.cut_requests, violations.wrong_answers), (1, 1));
}

#[test]
fn mixed_snapshots_are_counted() {
    let violations = check(&[at(0, answered(Outcome::Complete, 2, &[], &[(7, 0), (8, 1)]))]);
    assert_eq!(violations.mixed_snapshots, 1);
}

#[test]
fn duplicate_runs_and_false_not_run_answers_are_counted() {
    let not_run = EventKind::Answered {
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
    let violations = check(&[at(0, ran(false)), at(0, ran(false)), at(1, not_run.clone())]);
    assert_eq!((violations.duplicate_runs, violations.false_not_run), (1, 1));
    // The request runs after the "not run" answer although it was not sent again.
    let late = [at(0, EventKind::Sent("1-a".into())), at(1, not_run.clone()), at(2, ran(false))];
    assert_eq!(check(&late).false_not_run, 1);
    // A request that got a "not run" answer and is sent again may run.
    let again = [at(1, not_run), at(2, EventKind::Sent("1-a".into())), at(3, ran(false))];
    assert!(check(&again).is_clean());
    assert_eq!(check(&[at(0, ran(true)), at(0, ran(true))]), Violations::default());
}

#[test]
fn false_coverage_is_counted() {
    for false_answer in [
        answered(Outcome::Complete, 2, &[], &[(7, 0)]),
        answered(Outcome::Complete, 1, &[1], &[(7, 0)]),
        answered(Outcome::Partial, 2, &[], &[(7, 0), (7, 1)]),
        answered(Outcome::Partial, 1, &[0], &[(7, 0)]),
    ] {
        assert_eq!(check(&[at(0, false_answer)]).false_coverage, 1);
    }
}

#[test]
fn reverted_and_late_configurations_are_counted() {
    let in_force =
        |second, revision| at(second, EventKind::ConfigInForce { node: "n".into(), revision });
    assert_eq!(check(&[in_force(0, 3), in_force(1, 2)]).config_reverts, 1);
    assert_eq!(check(&[at(0, EventKind::ConfigAccepted(4)), in_force(6, 3)]).config_reverts, 1);
}
