//! A thread that is behind knows it, and begins nothing that would be late.

use std::time::{Duration, Instant};

use limit::{LoopLag, TICK_INTERVAL};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn thread_that_keeps_up_admits_everything() {
    let start = Instant::now();
    let mut backlog = LoopLag::new(start);
    for turn in 1..50 {
        let now = start + TICK_INTERVAL * turn + ms(3);
        backlog.tick(now);
        assert_eq!(backlog.max_wait(now), Duration::ZERO);
        assert!(backlog.admits(now + ms(5), ms(1)));
    }
}

/// Played as trouble-1 --seed 298366389806 of towpath-search-grown: an overloaded host read requests
/// 600 ms after they had been sent, and gave upstreams time that their callers no longer had.
#[test]
fn requests_read_after_a_stall_have_waited() {
    let start = Instant::now();
    let mut backlog = LoopLag::new(start);
    let now = start + ms(620);
    assert_eq!(backlog.max_wait(now), ms(600));
    assert!(!backlog.admits(now, ms(80)));
    assert!(backlog.admits(now, ms(4_000)));
    backlog.tick(now);
    assert_eq!(backlog.max_wait(now), ms(600));
}

#[test]
fn stall_is_forgotten_soon() {
    let start = Instant::now();
    let mut backlog = LoopLag::new(start);
    let mut now = start + ms(620);
    backlog.tick(now);
    for _ in 0..5 {
        now += TICK_INTERVAL;
        backlog.tick(now);
    }
    assert!(backlog.admits(now, ms(80)), "{:?}", backlog.max_wait(now));
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
        let entered = (0..20).filter(|_| window.try_acquire()).count();
        assert!(entered >= 1);
        (0..entered).for_each(|_| window.release(now, false));
    }
    assert!(window.size() >= 4, "{}", window.size());
}
