//! Tests of the hedge delay and the token budget.

use std::time::{Duration, Instant};

use hedge::{Delay, TokenBudget};

#[test]
fn token_budget_keeps_extra_load_under_five_percent() {
    let mut budget = TokenBudget::default();
    let mut spent = 0;
    for _ in 0..100_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!(spent < 5_000 && spent > 4_000, "{spent}");
}

#[test]
fn reserve_leaves_tokens_to_hedges() {
    let mut budget = TokenBudget::default();
    assert!(!budget.spend_above(0.5));
    assert!(budget.spend());
    assert!(TokenBudget::unlimited().spend_above(0.9));
}

#[test]
fn delay_follows_recent_latencies_only() {
    let mut now = Instant::now();
    let mut delay = Delay::default();
    for _ in 0..200 {
        delay.record(now, Duration::from_millis(50));
    }
    assert!(delay.get() >= Duration::from_millis(49));
    for _ in 0..3 {
        now += Duration::from_secs(3);
        for _ in 0..200 {
            delay.record(now, Duration::from_millis(5));
        }
    }
    assert!(delay.get() <= Duration::from_millis(6), "{:?}", delay.get());
}
