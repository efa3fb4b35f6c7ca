//! A gate never passes more than the upstream bears, in any order of events.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use limit::{Completion, Connections, Decision, Limiter, Limits, Phase, Reason, Step, Window};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);

fn bound() -> Limits {
    Limits { slots: 2, cold_slots: 1, cold_successes: 20 }
}

fn ok(ms: u64, boot: u64) -> Completion {
    Completion::Ok { took: MS * ms as u32, boot: Some(boot) }
}

/// Runs `count` requests one after the other.
fn serve(gate: &mut Limiter, now: Instant, count: u64, sign: Completion) {
    for ticket in 0..count {
        assert_eq!(gate.offer(now, 1_000 + ticket, now + MS * 500), Decision::Start);
        gate.complete(now, 1_000 + ticket, sign);
    }
}

fn warm(now: Instant) -> Limiter {
    let mut gate = Limiter::new(bound());
    serve(&mut gate, now, 20, ok(4, 1));
    assert_eq!(gate.phase(now), Phase::Warm);
    gate
}

#[test]
fn cold_start_opens_on_proved_successes_only() {
    let now = Instant::now();
    let mut gate = Limiter::new(bound());
    serve(&mut gate, now, 19, ok(20, 1));
    assert_eq!(gate.phase(now), Phase::Cold);
    serve(&mut gate, now, 1, ok(4, 1));
    assert_eq!(gate.phase(now), Phase::Warm);
}

#[test]
fn first_shed_cuts_the_ramp() {
    let now = Instant::now();
    let mut gate = Limiter::new(Limits { slots: 6, cold_slots: 1, cold_successes: 5 });
    serve(&mut gate, now, 12, ok(4, 1));
    assert_eq!(gate.phase(now), Phase::Warming);
    serve(&mut gate, now, 1, Completion::Shed);
    assert_eq!(gate.phase(now), Phase::Cold);
}

#[test]
fn silent_return_to_cold_is_noticed_from_a_handful_of_answers() {
    let now = Instant::now();
    let mut gate = warm(now);
    serve(&mut gate, now, 3, ok(25, 1));
    assert_eq!(gate.phase(now), Phase::Warm);
    serve(&mut gate, now, 1, ok(25, 1));
    assert_eq!(gate.phase(now), Phase::Cold);
}

#[test]
fn new_process_life_is_cold_at_once() {
    let now = Instant::now();
    let mut gate = warm(now);
    serve(&mut gate, now, 1, ok(4, 2));
    assert_eq!(gate.phase(now), Phase::Cold);
}

#[test]
fn silent_request_keeps_its_slot_until_its_deadline() {
    let now = Instant::now();
    let mut gate = Limiter::new(bound());
    assert_eq!(gate.offer(now, 1, now + MS * 100), Decision::Start);
    gate.complete(now + MS * 10, 1, Completion::NoAnswer);
    assert_eq!(gate.offer(now + MS * 20, 2, now + MS * 200), Decision::Wait);
    assert_eq!(gate.steps(now + MS * 99), []);
    assert_eq!(gate.steps(now + MS * 101), [Step::Start(2)]);
}

#[test]
fn hopeless_request_is_refused_at_once() {
    let now = Instant::now();
    let mut gate = Limiter::new(bound());
    assert_eq!(gate.offer(now, 1, now + MS * 100), Decision::Start);
    assert_eq!(gate.offer(now, 2, now + MS), Decision::Refuse(Reason::Busy));
    gate.set_leaving(true);
    assert_eq!(gate.offer(now, 3, now + MS * 100), Decision::Refuse(Reason::Draining));
}

#[test]
fn handed_over_work_counts_against_the_slots() {
    let now = Instant::now();
    let mut gate = Limiter::new(bound());
    gate.inherit(true, 1, now + MS * 50);
    assert_eq!(gate.offer(now, 1, now + MS * 100), Decision::Start);
    assert_eq!(gate.offer(now, 2, now + MS * 100), Decision::Wait);
}

#[test]
fn upstream_handed_back_as_cold_is_cold_although_it_was_warm_here_before() {
    let now = Instant::now();
    let mut gate = warm(now);
    gate.inherit(false, 0, now);
    assert_eq!(gate.phase(now), Phase::Cold);
}

#[test]
fn connections_given_up_count_for_a_while() {
    let now = Instant::now();
    let mut conns = Connections::new(2);
    assert!(conns.try_open(now) && conns.try_open(now) && !conns.try_open(now));
    conns.opened(true);
    conns.opened(true);
    conns.abandoned(now);
    assert!(!conns.try_open(now + MS));
    assert!(conns.try_open(now + Duration::from_secs(6)));
}

#[test]
fn window_shrinks_under_congestion_and_grows_when_full() {
    let now = Instant::now();
    let mut window = Window::default();
    while window.try_acquire() {}
    assert_eq!(window.in_flight(), window.size());
    window.release(now, true);
    let cut = window.size();
    assert!(cut < 64);
    window.release(now, true);
    assert_eq!(window.size(), cut, "two cuts at one time count once");
}

/// What befalls a gate: an offer, an end of the nth running request, or time.
#[derive(Clone, Debug)]
enum Event {
    Offer(u64),
    End(usize, u8),
    Pass(u64),
    Chill,
}

#[test]
fn running_work_never_exceeds_the_slots() {
    let event = prop_oneof![
        4 => (1..200u64).prop_map(Event::Offer),
        4 => (any::<usize>(), 0..6u8).prop_map(|(n, kind)| Event::End(n, kind)),
        2 => (1..60u64).prop_map(Event::Pass),
        1 => Just(Event::Chill),
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
    let mut gate = Limiter::new(bound());
    // Deadlines of what may be at the upstream, and of what waits.
    let mut at_upstream: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut silent: Vec<Instant> = Vec::new();
    let mut waiting: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut ticket = 0;
    for event in events {
        match event {
            Event::Offer(ms) => {
                ticket += 1;
                let deadline = now + MS * *ms as u32;
                match gate.offer(now, ticket, deadline) {
                    Decision::Start => _ = at_upstream.insert(ticket, deadline),
                    Decision::Wait => _ = waiting.insert(ticket, deadline),
                    Decision::Refuse(_) => {}
                }
            }
            Event::End(nth, kind) if !at_upstream.is_empty() => {
                let nth = nth % at_upstream.len();
                let ended = *at_upstream.keys().nth(nth).expect("the place exists");
                let deadline = at_upstream.remove(&ended).expect("the ticket runs");
                let sign = match kind {
                    0 => Completion::Shed,
                    1 => Completion::Ended,
                    2 => Completion::Broken,
                    3 => Completion::NoAnswer,
                    4 => ok(40, 1),
                    _ => ok(4, 1),
                };
                if matches!(sign, Completion::NoAnswer | Completion::Broken) {
                    silent.push(deadline);
                }
                gate.complete(now, ended, sign);
            }
            Event::End(..) => {}
            Event::Pass(ms) => now += MS * *ms as u32,
            Event::Chill => gate.reset_to_cold(),
        }
        let allowed = if gate.phase(now) == Phase::Cold { 1 } else { 2 };
        let before = at_upstream.len();
        for step in gate.steps(now) {
            match step {
                Step::Start(ticket) => {
                    let deadline = waiting.remove(&ticket).expect("only waiting work starts");
                    prop_assert!(now < deadline);
                    at_upstream.insert(ticket, deadline);
                }
                Step::Expire(ticket) => prop_assert!(waiting.remove(&ticket).is_some()),
            }
        }
        silent.retain(|until| *until > now);
        let total = at_upstream.len() + silent.len();
        prop_assert!(total <= 2, "{total} at an upstream of 2 slots");
        if at_upstream.len() > before {
            prop_assert!(total <= allowed, "{total} started where {allowed} are allowed");
        }
        prop_assert_eq!(waiting.len(), gate.waiting());
    }
    Ok(())
}
