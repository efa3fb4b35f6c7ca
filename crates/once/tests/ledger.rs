//! No id is granted twice, whatever the order of repeated claims, expiry and changes of owner.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use once::{Ledger, Verdict, issue, issued_at};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

#[test]
fn next_owner_answers_unknown_for_ids_issued_before_its_ownership() {
    let id = issue(at(100), 1);
    let mut first = Ledger::new(at(0));
    assert_eq!(first.claim(at(100), &id), Verdict::Granted);
    let mut second = Ledger::new(at(101));
    assert_eq!(second.claim(at(102), &id), Verdict::Unknown);
    assert_eq!(second.claim(at(110), &issue(at(110), 2)), Verdict::Granted);
}

#[test]
fn expired_and_future_ids_are_unknown() {
    let mut ledger = Ledger::new(at(0));
    let id = issue(at(100), 1);
    assert_eq!(ledger.claim(at(100), &id), Verdict::Granted);
    assert_eq!(ledger.claim(at(300), &id), Verdict::Unknown);
    assert!(ledger.is_empty());
    assert_eq!(ledger.claim(at(300), &issue(at(303), 1)), Verdict::Unknown);
}

#[test]
fn ids_without_a_valid_time_of_issue_are_rejected() {
    for id in ["", "7", "x-1", "12-", "99999999999999999999-1"] {
        assert_eq!(issued_at(id), None, "{id}");
    }
    assert_eq!(issued_at(&issue(at(3), 9)), Some(at(3)));
}

#[test]
fn revoked_grant_can_be_claimed_again() {
    let mut ledger = Ledger::new(at(0));
    let id = issue(at(50), 1);
    assert_eq!(ledger.claim(at(50), &id), Verdict::Granted);
    ledger.revoke(&id);
    assert_eq!(ledger.claim(at(51), &id), Verdict::Granted);
}

#[test]
fn no_id_is_granted_twice_in_any_order() {
    // Each step has the index of an id, the seconds that pass before its claim, and a number that
    // selects the clock skew; 0 also changes the owner first.
    let step = (0..8u64, 0..40u64, 0..8u8);
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(step, 1..80), |steps| {
            let ids: Vec<String> = (0..8).map(|n| issue(at(n * 30 + 10), n)).collect();
            let mut ledger = Ledger::new(at(0));
            let mut granted: BTreeMap<&str, u32> = BTreeMap::new();
            let mut now = 0;
            for (id, passed, change) in &steps {
                now += passed;
                if *change == 0 {
                    ledger = Ledger::new(at(now));
                }
                let id = &ids[*id as usize];
                // The clocks of claimant and owner may differ by up to the maximum skew.
                let skew = u64::from(*change) % 3;
                if ledger.claim(at(now + skew), id) == Verdict::Granted {
                    *granted.entry(id).or_default() += 1;
                }
            }
            prop_assert!(granted.values().all(|times| *times == 1), "{granted:?}");
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}
