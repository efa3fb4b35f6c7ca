//! Searches with lost answers, snapshot changes, refusals and stragglers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use query::{
    Action, Candidate, Mode, Outcome, PartOutcome, Phase, Plan, Policy, Request, SendAttempt,
    Service,
};

const MS: Duration = Duration::from_millis(1);

fn candidate(shard: u32, shards: u32, replica: u32, snapshot: u64) -> Candidate {
    Candidate {
        upstream: format!("u{shard}-{replica}").into(),
        owner: format!("e{replica}").into(),
        shard,
        shards,
        snapshot,
        phase: Phase::Warm,
        local: replica == 0,
    }
}

fn service(shards: u32, snapshot: u64) -> Service {
    let mut service = Service::new(Policy::default());
    let all = (0..shards).flat_map(|s| (0..2).map(move |r| candidate(s, shards, r, snapshot)));
    service.set_candidates(all.collect());
    service
}

fn search(now: Instant) -> Request {
    Request { deadline: now + MS * 100, mode: Mode::Search, seed: 1 }
}

fn sends(actions: &[Action]) -> Vec<SendAttempt> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send(send) => Some(send.clone()),
        _ => None,
    });
    sends.collect()
}

fn finish(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    })
}

fn ran(send: &SendAttempt, snapshot: u64, shards: u32) -> PartOutcome {
    let body = format!("{snapshot}:{}", send.shard).into_bytes();
    PartOutcome::Ran { snapshot, shard: send.shard, shards, body }
}

#[test]
fn search_is_complete_when_all_shards_answer() {
    let now = Instant::now();
    let mut service = service(3, 7);
    let (mut plan, actions) = Plan::start(&mut service, search(now), now);
    let mut last = Vec::new();
    for send in sends(&actions) {
        last = plan.on_attempt_end(&mut service, now, send.id, ran(&send, 7, 3));
    }
    assert_matches!(finish(&last), Some(Outcome::Complete { pin, results }) => {
        assert_eq!((pin.snapshot, results.len()), (7, 3));
    });
}

#[test]
fn shard_without_an_answer_is_listed_as_missing() {
    let now = Instant::now();
    let mut service = service(2, 7);
    let (mut plan, actions) = Plan::start(&mut service, search(now), now);
    let first = sends(&actions);
    assert_eq!(plan.on_attempt_end(&mut service, now, first[0].id, ran(&first[0], 7, 2)), []);
    let retry =
        plan.on_attempt_end(&mut service, now, first[1].id, PartOutcome::NotRun("gone".into()));
    let retry = sends(&retry);
    assert_ne!(retry[0].upstream, first[1].upstream);
    let last =
        plan.on_attempt_end(&mut service, now, retry[0].id, PartOutcome::NotRun("gone".into()));
    assert_matches!(finish(&last), Some(Outcome::Partial { missing, .. }) if missing == [1]);
}

#[test]
fn answer_of_another_snapshot_is_never_merged() {
    let now = Instant::now();
    let mut service = service(2, 7);
    let (mut plan, actions) = Plan::start(&mut service, search(now), now);
    let first = sends(&actions);
    plan.on_attempt_end(&mut service, now, first[0].id, ran(&first[0], 7, 2));
    let mut in_flight = vec![first[1].clone()];
    let mut outcome = None;
    // All further answers come from the newer snapshot.
    while let Some(send) = in_flight.pop() {
        let actions = plan.on_attempt_end(&mut service, now, send.id, ran(&send, 8, 2));
        in_flight.extend(sends(&actions));
        outcome = outcome.or(finish(&actions));
    }
    assert_matches!(outcome, Some(Outcome::Complete { pin, results }) => {
        assert_eq!(pin.snapshot, 8);
        assert!(results.values().all(|body| body.starts_with(b"8:")));
    });
}

#[test]
fn straggler_is_hedged_and_its_late_answer_dropped() {
    let now = Instant::now();
    let mut service = service(1, 7);
    let (mut plan, actions) = Plan::start(&mut service, search(now), now);
    let first = sends(&actions);
    let due = plan.next_tick(&service);
    let hedge = sends(&plan.tick(&mut service, due));
    assert_eq!(hedge.len(), 1);
    let last = plan.on_attempt_end(&mut service, due, hedge[0].id, ran(&hedge[0], 7, 1));
    assert!(last.contains(&Action::Cancel(first[0].id)));
    assert_matches!(finish(&last), Some(Outcome::Complete { .. }));
    assert_eq!(plan.on_attempt_end(&mut service, due, first[0].id, ran(&first[0], 7, 1)), []);
    assert_eq!(plan.dropped_answers(), 1);
}

#[test]
fn straggler_beside_a_cold_replica_is_hedged_on_the_same_upstream() {
    let now = Instant::now();
    let mut service = Service::new(Policy::default());
    let mut cold = candidate(0, 1, 1, 7);
    cold.phase = Phase::Cold;
    service.set_candidates(vec![candidate(0, 1, 0, 7), cold]);
    let (mut plan, actions) = Plan::start(&mut service, search(now), now);
    assert_eq!(&*sends(&actions)[0].upstream, "u0-0");
    let due = plan.next_tick(&service);
    let hedge = sends(&plan.tick(&mut service, due));
    assert_eq!(hedge.iter().map(|send| &*send.upstream).collect::<Vec<_>>(), ["u0-0"]);
}

#[test]
fn cold_upstream_gets_only_warmup_copies() {
    let now = Instant::now();
    let mut service = Service::new(Policy::default());
    let mut cold = candidate(0, 1, 1, 7);
    cold.phase = Phase::Cold;
    service.set_candidates(vec![candidate(0, 1, 0, 7), cold]);
    let mut copies = 0;
    for _ in 0..1_000 {
        let (mut plan, actions) = Plan::start(&mut service, search(now), now);
        let first = sends(&actions);
        assert_eq!(&*first[0].upstream, "u0-0");
        copies += first.len() - 1;
        plan.on_attempt_end(&mut service, now, first[0].id, ran(&first[0], 7, 1));
    }
    assert!((1..=60).contains(&copies), "{copies}");
}

#[test]
fn at_most_once_request_is_not_retried_after_it_may_have_run() {
    let now = Instant::now();
    let mut service = service(4, 7);
    let request = Request { deadline: now + MS * 100, mode: Mode::Once(6), seed: 1 };
    let (mut plan, actions) = Plan::start(&mut service, request, now);
    let first = sends(&actions);
    assert_eq!((first.len(), first[0].shard), (1, 2));
    let again =
        plan.on_attempt_end(&mut service, now, first[0].id, PartOutcome::NotRun("busy".into()));
    let again = sends(&again);
    assert_eq!(again.len(), 1);
    let last =
        plan.on_attempt_end(&mut service, now, again[0].id, PartOutcome::Unknown("cut".into()));
    assert_matches!(finish(&last), Some(Outcome::Unknown(_)));
    assert_eq!(sends(&last), []);
}

#[test]
fn search_without_answers_has_not_run_before_its_first_send_and_is_unknown_after() {
    let now = Instant::now();
    let mut empty = Service::new(Policy::default());
    let (_, actions) = Plan::start(&mut empty, search(now), now);
    assert_matches!(finish(&actions), Some(Outcome::NotRun(_)));
    let mut service = service(1, 7);
    let (mut plan, _) = Plan::start(&mut service, search(now), now);
    assert_matches!(finish(&plan.tick(&mut service, now + MS * 100)), Some(Outcome::Unknown(_)));
}

#[test]
fn pinned_snapshot_is_the_one_with_most_shards_available() {
    let now = Instant::now();
    let mut service = service(3, 7);
    let mut all: Vec<_> = service.candidates().cloned().collect();
    all[0].snapshot = 8;
    service.set_candidates(all);
    let (_, actions) = Plan::start(&mut service, search(now), now);
    assert!(sends(&actions).iter().all(|send| send.pin.snapshot == 7));
}

/// An event for the nth attempt in flight, or for the nth ended attempt (`Duplicate`).
#[derive(Clone, Debug)]
enum Event {
    Answer(usize),
    NewSnapshot(usize),
    Refused(usize),
    Lost(usize),
    Duplicate(usize),
    Elapse(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => any::<usize>().prop_map(Event::Answer),
        1 => any::<usize>().prop_map(Event::NewSnapshot),
        2 => any::<usize>().prop_map(Event::Refused),
        1 => any::<usize>().prop_map(Event::Lost),
        1 => any::<usize>().prop_map(Event::Duplicate),
        2 => (1..30u32).prop_map(Event::Elapse),
    ]
}

#[test]
fn outcome_is_correct_for_any_order_of_events() {
    let cases = std::env::var("PISTACHIO_PROPTEST_CASES").ok().and_then(|n| n.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(600), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let inputs = (any::<bool>(), prop::collection::vec(event(), 1..80));
    TestRunner::new_with_rng(config, rng)
        .run(&inputs, |(at_most_once, events)| check(at_most_once, &events))
        .unwrap_or_else(|error| panic!("{error}"));
}

fn check(at_most_once: bool, events: &[Event]) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let mut service = service(3, 7);
    let mode = if at_most_once { Mode::Once(1) } else { Mode::Search };
    let request = Request { deadline: now + MS * 100, mode, seed: 3 };
    let (mut plan, mut actions) = Plan::start(&mut service, request, now);
    let mut in_flight: BTreeMap<u32, SendAttempt> = BTreeMap::new();
    let mut ended: Vec<SendAttempt> = Vec::new();
    let mut runs = 0;
    let mut unresolved: BTreeSet<u32> = BTreeSet::new();
    let mut finished: Option<Outcome> = None;
    for event in events.iter().chain([&Event::Elapse(200)]) {
        for action in actions.drain(..) {
            prop_assert!(finished.is_none(), "action after Finish: {action:?}");
            match action {
                Action::Send(send) => {
                    unresolved.insert(send.id);
                    in_flight.insert(send.id, send);
                }
                Action::Cancel(id) => ended.extend(in_flight.remove(&id)),
                Action::Finish(outcome) => finished = Some(outcome),
            }
        }
        let nth = |n: usize| in_flight.keys().nth(n % in_flight.len().max(1)).copied();
        let (id, outcome) = match event {
            Event::Elapse(ms) => {
                now += MS * *ms;
                actions = plan.tick(&mut service, now);
                continue;
            }
            Event::Duplicate(n) if !ended.is_empty() => {
                let send = &ended[n % ended.len()];
                (Some(send.id), ran(send, 7, 3))
            }
            Event::Answer(n) => (nth(*n), PartOutcome::Unknown("".into())),
            Event::NewSnapshot(n) => (nth(*n), PartOutcome::Unknown("moved".into())),
            Event::Refused(n) => (nth(*n), PartOutcome::NotRun("busy".into())),
            Event::Lost(n) => (nth(*n), PartOutcome::Unknown("lost".into())),
            Event::Duplicate(_) => continue,
        };
        let Some(id) = id else { continue };
        let outcome = match (event, in_flight.get(&id)) {
            (Event::Answer(_), Some(send)) => ran(send, send.pin.snapshot, 3),
            (Event::NewSnapshot(_), Some(send)) => ran(send, 8, 3),
            _ => outcome,
        };
        if let Some(send) = in_flight.remove(&id) {
            if matches!(outcome, PartOutcome::NotRun(_)) {
                unresolved.remove(&id);
            } else {
                runs += 1;
            }
            ended.push(send);
        }
        actions = plan.on_attempt_end(&mut service, now, id, outcome);
    }
    finished = finished.or_else(|| finish(&actions));
    let Some(outcome) = finished else { return Err(TestCaseError::fail("no outcome")) };
    if at_most_once {
        prop_assert!(runs <= 1, "{runs} runs");
    }
    match outcome {
        Outcome::Complete { pin, results } => {
            prop_assert_eq!(results.len(), if at_most_once { 1 } else { 3 });
            let prefix = format!("{}:", pin.snapshot);
            prop_assert!(results.values().all(|body| body.starts_with(prefix.as_bytes())));
        }
        Outcome::Partial { pin, results, missing } => {
            prop_assert_eq!(results.len() + missing.len(), 3);
            let prefix = format!("{}:", pin.snapshot);
            prop_assert!(results.values().all(|body| body.starts_with(prefix.as_bytes())));
        }
        Outcome::NotRun(_) => prop_assert!(unresolved.is_empty(), "{unresolved:?} may have run"),
        Outcome::Unknown(_) => {}
    }
    Ok(())
}
