//! Upstreams that were lost and may have restarted cold.

use std::time::{Duration, Instant};

use pick::{Candidate, Check, ColdStart, Outcome, Replica, choose};
use proptest::prelude::*;

const TYPICAL: Duration = Duration::from_millis(8);

/// Time between two requests to the cold upstream.
const SPACING: Duration = Duration::from_millis(200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn is_chosen(replica: &Replica, now: Instant) -> bool {
    let candidate = Candidate { replica, penalty: Duration::ZERO, has_room: true };
    choose(now, TYPICAL, &[candidate], 0).is_some()
}

fn lose(replica: &mut Replica, now: Instant) {
    let token = replica.begin(now);
    replica.end(now, token, Outcome::Lost);
    replica.suspect_restart();
}

/// Guards against a flood of requests to an upstream that restarts cold, after the first request that
/// it has answered (review/4).
#[test]
fn lost_replica_gets_no_request_before_a_check_has_shown_that_it_runs() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    lose(&mut replica, now);
    assert!(!is_chosen(&replica, now + ms(5_000)));
    assert!(replica.start_check(now, false));
    assert!(!replica.start_check(now, true), "one check at a time");
    replica.end_check(now + ms(2), Check::Running(None));
    assert!(is_chosen(&replica, now + ms(3)));
}

#[test]
fn replica_that_states_that_it_is_cold_gets_few_requests() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    lose(&mut replica, now);
    assert!(replica.start_check(now, false));
    let cold = ColdStart::new(now + ms(3_000), Some(SPACING));
    replica.end_check(now, Check::Running(Some(cold)));
    assert!(is_chosen(&replica, now));
    replica.begin(now);
    assert!(!is_chosen(&replica, now + ms(199)));
    assert!(is_chosen(&replica, now + ms(200)));
}

#[test]
fn unreachable_replica_is_checked_at_growing_intervals_unless_it_is_needed() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    lose(&mut replica, now);
    let mut intervals = Vec::new();
    let (mut last, mut at) = (now, now);
    while intervals.len() < 5 {
        if replica.start_check(at, false) {
            replica.end_check(at, Check::Unreachable);
            intervals.push((at - last).as_millis());
            last = at;
            assert!(replica.is_gone());
            assert!(!replica.start_check(at + ms(249), true));
        }
        at += ms(1);
    }
    assert_eq!(intervals, [0, 500, 1_000, 2_000, 2_000]);
    assert!(replica.start_check(last + ms(250), true));
}

#[test]
fn replica_without_room_for_a_check_is_checked_again_soon() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    lose(&mut replica, now);
    assert!(replica.start_check(now, false));
    replica.end_check(now, Check::Busy);
    assert!(!is_chosen(&replica, now));
    assert!(replica.start_check(now + ms(250), false));
}

proptest! {
    /// Whatever is observed, and in whatever order, an upstream gets no request between a loss and the
    /// check after it, and a cold one keeps its spacing.
    #[test]
    fn lost_or_cold_replica_never_gets_more_than_it_bears(
        steps in proptest::collection::vec((0_u64..400, 0_u8..7), 1..80),
    ) {
        let mut now = Instant::now();
        let mut replica = Replica::new(2);
        let (mut confirmed, mut checking) = (true, false);
        let (mut cold_until, mut last_sent) = (now, None::<Instant>);
        for (pause, step) in steps {
            now += ms(pause);
            match step {
                0 => {
                    replica.suspect_restart();
                    confirmed = false;
                }
                1 | 2 => checking |= replica.start_check(now, step == 1),
                3 | 4 if checking => {
                    let cold = (step == 4).then(|| ColdStart::new(now + ms(3_000), Some(SPACING)));
                    cold_until = if step == 4 { now + ms(3_000) } else { cold_until };
                    last_sent = if step == 4 { None } else { last_sent };
                    replica.end_check(now, Check::Running(cold));
                    (confirmed, checking) = (true, false);
                }
                5 if checking => {
                    replica.end_check(now, Check::Unreachable);
                    checking = false;
                }
                _ if is_chosen(&replica, now) => {
                    prop_assert!(confirmed);
                    let spaced = last_sent.is_none_or(|sent| sent + SPACING <= now);
                    prop_assert!(now >= cold_until || spaced);
                    let token = replica.begin(now);
                    let answered = Outcome::Answered { time: TYPICAL, typical: TYPICAL };
                    replica.end(now, token, answered);
                    last_sent = Some(now);
                }
                _ => {}
            }
        }
    }
}
