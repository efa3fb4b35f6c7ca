//! A limiter never has more requests in flight than its limit allows, in any order of events.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use limit::{Completion, Connections, Decision, Limiter, Limits, Phase, Reason, Step, Window};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    Limits { slots: 2, cold_slots: 1, cold_successes: 20 }
}

fn ok(ms: u64, incarnation: u64) -> Completion {
    Completion::Ok { took: MS * ms as u32, incarnation: Some(incarnation) }
}

/// Runs `count` requests one after the other.
fn serve(limiter: &mut Limiter, now: Instant, count: u64, completion: Completion) {
    for ticket in 0..count {
        assert_eq!(limiter.offer(now, 1_000 + ticket, now + MS * 500), Decision::Start);
        limiter.complete(now, 1_000 + ticket, completion);
    }
}

fn warm_limiter(now: Instant) -> Limiter {
    let mut limiter = Limiter::new(limits());
    serve(&mut limiter, now, 20, ok(4, 1));
    assert_eq!(limiter.phase(now), Phase::Warm);
    limiter
}

#[test]
fn limit_rises_only_after_the_required_successes() {
    let now = Instant::now();
    let mut limiter = Limiter::new(limits());
    serve(&mut limiter, now, 19, ok(20, 1));
    assert_eq!(limiter.phase(now), Phase::Cold);
    serve(&mut limiter, now, 1, ok(4, 1));
    assert_eq!(limiter.phase(now), Phase::Warm);
}

#[test]
fn shed_request_while_warming_returns_to_the_cold_limit() {
    let now = Instant::now();
    let mut limiter = Limiter::new(Limits { slots: 6, cold_slots: 1, cold_successes: 5 });
    serve(&mut limiter, now, 12, ok(4, 1));
    assert_eq!(limiter.phase(now), Phase::Warming);
    serve(&mut limiter, now, 1, Completion::Shed);
    assert_eq!(limiter.phase(now), Phase::Cold);
}

#[test]
fn unannounced_return_to_cold_is_detected_after_four_slow_answers() {
    let now = Instant::now();
    let mut limiter = warm_limiter(now);
    serve(&mut limiter, now, 3, ok(25, 1));
    assert_eq!(limiter.phase(now), Phase::Warm);
    serve(&mut limiter, now, 1, ok(25, 1));
    assert_eq!(limiter.phase(now), Phase::Cold);
}

#[test]
fn restarted_upstream_is_cold_at_once() {
    let now = Instant::now();
    let mut limiter = warm_limiter(now);
    serve(&mut limiter, now, 1, ok(4, 2));
    assert_eq!(limiter.phase(now), Phase::Cold);
}

#[test]
fn unanswered_request_keeps_its_slot_until_its_deadline() {
    let now = Instant::now();
    let mut limiter = Limiter::new(limits());
    assert_eq!(limiter.offer(now, 1, now + MS * 100), Decision::Start);
    limiter.complete(now + MS * 10, 1, Completion::NoAnswer);
    assert_eq!(limiter.offer(now + MS * 20, 2, now + MS * 200), Decision::Wait);
    assert_eq!(limiter.steps(now + MS * 99), []);
    assert_eq!(limiter.steps(now + MS * 101), [Step::Start(2)]);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut limiter = Limiter::new(limits());
    assert_eq!(limiter.offer(now, 1, now + MS * 100), Decision::Start);
    assert_eq!(limiter.offer(now, 2, now + MS), Decision::Refuse(Reason::Busy));
    limiter.set_draining(true);
    assert_eq!(limiter.offer(now, 3, now + MS * 100), Decision::Refuse(Reason::Draining));
}

#[test]
fn requests_of_the_previous_owner_count_against_the_slots() {
    let now = Instant::now();
    let mut limiter = Limiter::new(limits());
    limiter.inherit(true, 1, now + MS * 50);
    assert_eq!(limiter.offer(now, 1, now + MS * 100), Decision::Start);
    assert_eq!(limiter.offer(now, 2, now + MS * 100), Decision::Wait);
}

#[test]
fn warm_upstream_is_cold_after_a_handover_that_reports_it_cold() {
    let now = Instant::now();
    let mut limiter = warm_limiter(now);
    limiter.inherit(false, 0, now);
    assert_eq!(limiter.phase(now), Phase::Cold);
}

#[test]
fn abandoned_connections_count_until_they_expire() {
    let now = Instant::now();
    let mut connections = Connections::new(2);
    assert!(connections.try_open(now) && connections.try_open(now) && !connections.try_open(now));
    connections.opened(true);
    connections.opened(true);
    connections.abandoned(now);
    assert!(!connections.try_open(now + MS));
    assert!(connections.try_open(now + Duration::from_secs(6)));
}

#[test]
fn window_shrinks_under_congestion_and_grows_when_full() {
    let now = Instant::now();
    let mut window = Window::default();
    while window.try_acquire() {}
    assert_eq!(window.in_flight(), window.size());
    window.release(now, true);
    let decreased = window.size();
    assert!(decreased < 64);
    window.release(now, true);
    assert_eq!(window.size(), decreased, "two decreases at the same time count once");
}

/// Event at a limiter: a request with a deadline in ms, the end of the nth request in flight with a
/// kind of completion, ms that pass, or a reset to cold.
#[derive(Clone, Debug)]
enum Event {
    Offer(u64),
    End(usize, u8),
    Pass(u64),
    Reset,
}

#[test]
fn requests_in_flight_never_exceed_the_slots() {
    let event = prop_oneof![
        4 => (1..200u64).prop_map(Event::Offer),
        4 => (any::<usize>(), 0..6u8).prop_map(|(n, kind)| Event::End(n, kind)),
        2 => (1..60u64).prop_map(Event::Pass),
        1 => Just(Event::Reset),
    ];
    let cases = std::env::var("PISTACHIO_PROPTEST_CASES").ok().and_then(|n| n.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(500), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(event, 1..200), |events| check(&events))
        .unwrap_or_else(|error| panic!("{error}"));
}

fn check(events: &[Event]) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(limits());
    // Deadlines of the requests that may be running at the upstream, and of the queued ones.
    let mut running: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut unresolved: Vec<Instant> = Vec::new();
    let mut queued: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut ticket = 0;
    for event in events {
        match event {
            Event::Offer(ms) => {
                ticket += 1;
                let deadline = now + MS * *ms as u32;
                match limiter.offer(now, ticket, deadline) {
                    Decision::Start => _ = running.insert(ticket, deadline),
                    Decision::Wait => _ = queued.insert(ticket, deadline),
                    Decision::Refuse(_) => {}
                }
            }
            Event::End(nth, kind) if !running.is_empty() => {
                let nth = nth % running.len();
                let ended = *running.keys().nth(nth).expect("the index is in range");
                let deadline = running.remove(&ended).expect("the request is in flight");
                let completion = match kind {
                    0 => Completion::Shed,
                    1 => Completion::Ended,
                    2 => Completion::Broken,
                    3 => Completion::NoAnswer,
                    4 => ok(40, 1),
                    _ => ok(4, 1),
                };
                if matches!(completion, Completion::NoAnswer | Completion::Broken) {
                    unresolved.push(deadline);
                }
                limiter.complete(now, ended, completion);
            }
            Event::End(..) => {}
            Event::Pass(ms) => now += MS * *ms as u32,
            Event::Reset => limiter.reset_to_cold(),
        }
        let allowed = if limiter.phase(now) == Phase::Cold { 1 } else { 2 };
        let before = running.len();
        for step in limiter.steps(now) {
            match step {
                Step::Start(ticket) => {
                    let deadline = queued.remove(&ticket).expect("only queued requests start");
                    prop_assert!(now < deadline);
                    running.insert(ticket, deadline);
                }
                Step::Expire(ticket) => prop_assert!(queued.remove(&ticket).is_some()),
            }
        }
        unresolved.retain(|until| *until > now);
        let total = running.len() + unresolved.len();
        prop_assert!(total <= 2, "{total} requests in flight at an upstream of 2 slots");
        if running.len() > before {
            prop_assert!(
                total <= allowed,
                "a request started with {total} in flight, {allowed} allowed"
            );
        }
        prop_assert_eq!(queued.len(), limiter.waiting());
    }
    Ok(())
}
