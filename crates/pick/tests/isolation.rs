//! A host notices that it has lost all upstreams, and that some are back.

use std::time::{Duration, Instant};

use pick::Isolation;

const UPSTREAMS: usize = 40;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends requests to `count` upstreams.
fn send(isolation: &mut Isolation, now: Instant, count: u32) {
    (0..count).for_each(|number| isolation.sent(now, &format!("i-{number}")));
}

fn isolated(now: Instant) -> Isolation {
    let mut isolation = Isolation::default();
    send(&mut isolation, now, 20);
    assert!(isolation.start_check(now + ms(500), UPSTREAMS));
    assert!(isolation.end_check(now + ms(900), now + ms(500), false));
    isolation
}

#[test]
fn host_is_isolated_when_all_upstreams_are_silent_and_no_connection_opens() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    send(&mut isolation, now, 20);
    assert!(!isolation.start_check(now + ms(499), UPSTREAMS));
    assert!(!isolated(now).start_check(now + ms(799), UPSTREAMS));
    assert!(isolated(now).start_check(now + ms(800), UPSTREAMS));
    assert!(isolated(now).is_isolated());
}

/// Guards against a host that gives up because the upstreams of one service have failed.
#[test]
fn connection_to_any_upstream_proves_that_the_host_is_not_isolated() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    send(&mut isolation, now, 20);
    assert!(isolation.start_check(now + ms(500), UPSTREAMS));
    assert!(!isolation.end_check(now + ms(501), now + ms(500), true));
    assert!(!isolation.is_isolated());
    send(&mut isolation, now + ms(600), 20);
    assert!(!isolation.start_check(now + ms(1_099), UPSTREAMS));
    assert!(isolation.start_check(now + ms(1_100), UPSTREAMS));
}

/// Guards against a host that gives up because its few requests take long.
#[test]
fn few_requests_in_flight_are_no_reason_for_a_check() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    send(&mut isolation, now, 2);
    assert!(!isolation.start_check(now + ms(5_000), UPSTREAMS));
    assert!(isolation.start_check(now + ms(5_000), 2), "there are no more upstreams");
    assert!(!Isolation::default().start_check(now, 0));
}

#[test]
fn answer_during_a_check_outranks_its_result() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    send(&mut isolation, now, 20);
    assert!(isolation.start_check(now + ms(500), UPSTREAMS));
    assert!(!isolation.answered(now + ms(600)));
    assert!(!isolation.end_check(now + ms(900), now + ms(500), false));
    assert!(!isolation.is_isolated());
}

#[test]
fn answer_or_connection_ends_the_isolation() {
    let now = Instant::now();
    let mut isolation = isolated(now);
    assert!(isolation.answered(now + ms(1_000)));
    assert!(!isolation.is_isolated());
    let mut isolation = self::isolated(now);
    assert!(!isolation.end_check(now + ms(1_200), now + ms(800), false));
    assert!(isolation.end_check(now + ms(1_300), now + ms(1_200), true));
    assert!(!isolation.is_isolated());
}
