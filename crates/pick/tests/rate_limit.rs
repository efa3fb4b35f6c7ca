//! Hosts that divide the rate limit of an upstream among them stay below it together, whatever
//! their number and demand.

use std::time::{Duration, Instant};

use pick::{Hosts, RateLimit, Replica, queue_time};

const UPSTREAM: &str = "i-1";

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(5);

/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the maximum number of requests in [`WINDOW`] by the platform's rule.
fn max_requests(limit: f64) -> usize {
    (limit * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

fn names(count: usize) -> Vec<Box<str>> {
    (0..count).map(|number| format!("host-{number}").into()).collect()
}

/// Returns the list of hosts as seen by one of them.
fn seen_by(own: &str, now: Instant, advertised: &[Box<str>], total: usize) -> Hosts {
    let mut hosts = Hosts::new(own);
    hosts.update(now, advertised, total);
    hosts
}

/// Returns the part of the limit of every host, the advertised ones first.
fn rates(now: Instant, limit: f64, advertised: usize, total: usize) -> Vec<f64> {
    let all = names(total);
    let rate = |own: &str| seen_by(own, now, &all[..advertised], total).rate(UPSTREAM, limit);
    all.iter().map(|own| rate(own)).collect()
}

/// Sends as many requests for 12 s as the rates of the hosts allow, and returns when.
fn saturate(now: Instant, limit: f64, rates: &[f64]) -> Vec<Instant> {
    let mut hosts: Vec<_> = rates.iter().map(|rate| RateLimit::new(now, limit, *rate)).collect();
    let mut sent = Vec::new();
    for step in 0..2_400 {
        let at = now + STEP * step;
        for (host, rate) in hosts.iter_mut().zip(rates) {
            while host.available_at(at) <= at {
                host.sent(at);
                host.restate(at, limit, *rate);
                sent.push(at);
            }
        }
    }
    sent
}

/// Returns the maximum number of requests in any [`WINDOW`].
fn busiest_window(sent: &[Instant]) -> usize {
    let count = |first: usize| sent.partition_point(|at| *at < sent[first] + WINDOW) - first;
    (0..sent.len()).map(count).max().unwrap_or(0)
}

/// Guards against a sum over the hosts that exceeds the limit: every host has more requests than
/// its part allows.
#[test]
fn busy_hosts_together_stay_within_the_limit() {
    let now = Instant::now();
    for limit in [0.0, 0.5, 2.0, 7.5, 23.8, 100.0] {
        for (advertised, total) in [(1, 1), (6, 6), (9, 9), (20, 79), (64, 300), (300, 300)] {
            let sent = saturate(now, limit, &rates(now, limit, advertised, total));
            let most = busiest_window(&sent);
            assert!(
                most <= max_requests(limit),
                "{most} of {} requests at a limit of {limit} with {advertised} of {total} hosts",
                max_requests(limit)
            );
        }
    }
}

/// A host that is restarted sees the list of hosts of a moment ago, and the others still the one
/// with it.
#[test]
fn hosts_that_disagree_on_one_host_stay_within_the_limit() {
    let now = Instant::now();
    let limit = 23.8;
    for count in [2, 6, 20] {
        let mut rates = rates(now, limit, count, count);
        rates[0] = seen_by("host-0", now, &names(count - 1), count - 1).rate(UPSTREAM, limit);
        assert!(busiest_window(&saturate(now, limit, &rates)) <= max_requests(limit), "{count}");
    }
}

#[test]
fn advertised_hosts_use_most_of_the_limit() {
    let now = Instant::now();
    let sent = saturate(now, 23.8, &rates(now, 23.8, 6, 6));
    assert!(busiest_window(&sent) as f64 >= 23.8 * 4.0 * 0.85);
}

/// A host's entry vanishes from the store for a moment, as when its lease is revoked.
#[test]
fn host_that_vanishes_for_a_moment_keeps_its_part() {
    let now = Instant::now();
    let all = names(6);
    let mut hosts = seen_by("host-0", now, &all, 6);
    let before = hosts.rate(UPSTREAM, 24.0);
    hosts.update(now + ms(3_000), &all[..1], 1);
    assert!((hosts.rate(UPSTREAM, 24.0) - before).abs() < f64::EPSILON);
    hosts.update(now + ms(25_000), &all[..1], 1);
    assert!(hosts.rate(UPSTREAM, 24.0) > before);
}

#[test]
fn stated_limit_restricts_a_replica_until_an_answer_states_none() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.state_rate_limit(now, 8.0, 1.0);
    assert_eq!(replica.rate_limit(), Some(8.0));
    assert!(!replica.is_usable(now));
    let first = replica.available_at(now);
    assert_eq!(first, now + ms(750));
    assert!(replica.is_usable(first));
    replica.begin(first);
    assert!(!replica.is_usable(first));
    replica.lift_rate_limit(first);
    assert!(replica.is_usable(first));
    assert_eq!(replica.rate_limit(), None);
}

/// Answers on several connections arrive out of order.
#[test]
fn answer_to_an_earlier_request_does_not_end_the_limit() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.state_rate_limit(now + ms(20), 8.0, 1.0);
    replica.lift_rate_limit(now);
    assert_eq!(replica.rate_limit(), Some(8.0));
}

/// Guards against a burst of all hosts after none of them could send for a while.
#[test]
fn limit_holds_after_a_long_pause() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.state_rate_limit(now, 8.0, 1.0);
    let later = now + ms(60_000);
    assert!(replica.is_usable(later));
    replica.begin(later);
    assert!(!replica.is_usable(later));
    assert_eq!(replica.rate_limit(), Some(8.0));
}

/// A relay whose last answer with the limit is old would otherwise tell all hosts about a limit
/// that has ended.
#[test]
fn relay_accepts_a_request_once_its_knowledge_of_the_limit_is_old() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.state_rate_limit(now, 8.0, 1.0);
    assert!(!replica.accepts_relayed(now + ms(9_000)));
    let later = now + ms(11_000);
    assert!(replica.accepts_relayed(later));
    replica.begin(later);
    assert!(!replica.accepts_relayed(later));
}

#[test]
fn limit_of_zero_lets_a_request_through_now_and_then() {
    let now = Instant::now();
    let sent = saturate(now, 0.0, &rates(now, 0.0, 6, 6));
    assert!((1..=5).contains(&sent.len()), "{}", sent.len());
}

/// Pattern: all upstreams of a service state limits far below the demand. Requests that would wait
/// for longer than their objective can be refused at once.
#[test]
fn queue_grows_with_the_requests_that_wait_for_limited_upstreams() {
    assert_eq!(queue_time([Some(1.5), Some(0.5)], 4), Duration::from_secs(2));
    assert_eq!(queue_time([Some(1.5), Some(0.5)], 0), Duration::ZERO);
    assert_eq!(queue_time([Some(1.5), None], 4), Duration::ZERO);
    assert!(queue_time([], 4) > Duration::from_secs(60));
}

/// A host learns of a limit before it sees itself in the list of hosts, when its part is tiny.
#[test]
fn higher_rate_applies_to_the_next_request() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.state_rate_limit(now, 2.0, 0.02);
    assert!(replica.available_at(now) > now + Duration::from_secs(40));
    replica.set_rate(now + ms(100), 2.0);
    assert!(replica.available_at(now) <= now + ms(600));
}

/// Guards against a panic, or an upstream that gets nothing for hours, after a corrupt limit.
#[test]
fn extreme_limits_do_not_block_an_upstream_for_long() {
    let now = Instant::now();
    let mut hosts = seen_by("host-0", now, &names(6), 6);
    let mut replica = Replica::new(2);
    for limit in [1e300, 0.0, 1e9, 1e-300, f64::MAX, 0.0, 10.0] {
        replica.state_rate_limit(now, limit, hosts.rate(UPSTREAM, limit));
        assert!(replica.available_at(now) <= now + Duration::from_secs(600), "{limit}");
        for _ in 0..100 {
            if replica.is_usable(now) {
                replica.begin(now);
            }
        }
    }
    hosts.update(now, &[], 0);
    replica.state_rate_limit(now + ms(10), 10.0, hosts.rate(UPSTREAM, 10.0));
    assert!(replica.available_at(now + ms(10)) < now + Duration::from_secs(10));
}
