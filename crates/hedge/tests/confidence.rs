//! Attempts of a query of which no part is answered yet.

use std::time::{Duration, Instant};

use hedge::Confidence;

const DELAY: Duration = Duration::from_millis(15);

/// Guards against hedges that spread a query to both replicas of every shard before the first upstream
/// has crashed.
#[test]
fn query_without_an_answer_is_hedged_one_part_at_a_time() {
    let now = Instant::now();
    let mut confidence = Confidence::new(20, false);
    let mut hedges = 0;
    for millis in 0..40 {
        let now = now + DELAY + Duration::from_millis(millis);
        for _ in 0..20 {
            if confidence.allows_hedge(now) {
                confidence.hedged(now, DELAY);
                hedges += 1;
            }
        }
    }
    assert_eq!(hedges, 3);
    confidence.failed();
    assert!(!confidence.allows_hedge(now + DELAY * 10), "an upstream may have crashed");
}

/// Guards against stragglers that stay because the hedges of ordinary queries are held back.
#[test]
fn answered_query_is_hedged_without_delay_and_despite_failures() {
    let now = Instant::now();
    let mut confidence = Confidence::new(20, false);
    confidence.hedged(now, DELAY);
    assert!(!confidence.allows_hedge(now));
    confidence.answered();
    (0..5).for_each(|_| confidence.failed());
    assert!(confidence.allows_hedge(now));
    assert!(!confidence.is_doubtful());
    assert!(!confidence.has_only_failed());
}

#[test]
fn single_request_is_in_doubt_only_as_a_probe() {
    let now = Instant::now();
    let mut confidence = Confidence::new(1, false);
    confidence.failed();
    assert!(!confidence.is_doubtful());
    assert!(confidence.allows_hedge(now));
    let mut probe = Confidence::new(1, true);
    assert!(probe.is_doubtful() && !probe.is_lost());
    probe.failed();
    assert!(probe.is_lost());
    assert!(!probe.allows_hedge(now));
}

#[test]
fn query_is_lost_after_three_failures_without_an_answer() {
    let mut confidence = Confidence::new(20, false);
    (0..2).for_each(|_| confidence.failed());
    assert!(confidence.is_doubtful() && !confidence.is_lost());
    confidence.failed();
    assert!(confidence.is_lost() && confidence.has_only_failed());
}
