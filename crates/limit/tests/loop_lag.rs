//! Event-loop lag is measured, and requests that would be answered late are not started.
//! Also tests the window of a route.

use std::time::{Duration, Instant};

use limit::{LoopLag, TICK_INTERVAL};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn thread_without_lag_admits_everything() {
    let start = Instant::now();
    let mut lag = LoopLag::new(start);
    for number in 1..50 {
        let now = start + TICK_INTERVAL * number + ms(3);
        lag.tick(now);
        assert_eq!(lag.max_wait(now), Duration::ZERO);
        assert!(lag.admits(now + ms(5), ms(1)));
    }
}

/// Regression test: an overloaded host read requests 600 ms after they had been sent and still gave
/// upstreams the full time to answer, which was work for callers that no longer waited.
/// Found by `trouble-1 --seed 298366389806` on towpath-search-grown.
#[test]
fn requests_read_after_a_stall_have_waited() {
    let start = Instant::now();
    let mut lag = LoopLag::new(start);
    let now = start + ms(620);
    assert_eq!(lag.max_wait(now), ms(600));
    assert!(!lag.admits(now, ms(80)));
    assert!(lag.admits(now, ms(4_000)));
    lag.tick(now);
    assert_eq!(lag.max_wait(now), ms(600));
}

#[test]
fn lag_decays_within_a_few_ticks() {
    let start = Instant::now();
    let mut lag = LoopLag::new(start);
    let mut now = start + ms(620);
    lag.tick(now);
    for _ in 0..5 {
        now += TICK_INTERVAL;
        lag.tick(now);
    }
    assert!(lag.admits(now, ms(80)), "{:?}", lag.max_wait(now));
}

#[test]
fn window_of_a_route_shrinks_to_one_query_and_grows_again() {
    let mut now = Instant::now();
    let mut window = limit::Window::for_route();
    for _ in 0..100 {
        now += ms(60);
        if window.try_acquire() {
            window.release(now, true);
        }
    }
    assert_eq!(window.size(), 1);
    for _ in 0..30 {
        let admitted = (0..20).filter(|_| window.try_acquire()).count();
        assert!(admitted >= 1);
        (0..admitted).for_each(|_| window.release(now, false));
    }
    assert!(window.size() >= 4, "{}", window.size());
}
