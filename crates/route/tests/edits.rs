//! Operators race each other over a store that loses answers and shows old data.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use route::{Apply, Change, Edit, Latest, Outcome, Step, WriteResult};

const OPERATORS: usize = 8;
const EDITS: usize = 1_000;
const DOMAINS: usize = 8;

/// A store with compare-and-swap, and every value that it has held.
struct Store {
    values: Vec<Edit>,
}

impl Store {
    fn new() -> Self {
        let lines = (0..DOMAINS).map(|d| format!("domain d{d} # asked by: start\n"));
        let text: String = lines.collect();
        Self { values: vec![Edit::default().next("start", "start", &text)] }
    }

    fn revision(&self) -> u64 {
        self.values.len() as u64
    }

    fn swap(&mut self, expect: u64, edit: Edit) -> WriteResult {
        if expect != self.revision() {
            return WriteResult::Conflict;
        }
        self.values.push(edit);
        WriteResult::Written(self.revision())
    }
}

struct Operator {
    apply: Apply,
    id: String,
    step: Step,
}

/// Runs 1,000 edits in the order that `dice` draw; returns the store and each edit's verdict.
fn race(dice: &[u16]) -> (Store, BTreeMap<String, Outcome>) {
    let mut store = Store::new();
    let mut verdicts = BTreeMap::new();
    let mut started = 0;
    let mut operators: Vec<Option<Operator>> = (0..OPERATORS).map(|_| None).collect();
    let mut throw = dice.iter().copied().cycle();
    let mut roll = move |sides: u16| throw.next().unwrap_or(0) % sides;
    while started < EDITS || operators.iter().any(Option::is_some) {
        let place = usize::from(roll(OPERATORS as u16));
        let Some(operator) = &mut operators[place] else {
            if started < EDITS {
                operators[place] = Some(start(started));
                started += 1;
            }
            continue;
        };
        let next = match operator.step.clone() {
            Step::Read => {
                // One read in six shows the value before the current one.
                let stale = roll(6) == 0 && store.revision() > 1;
                let revision = store.revision() - u64::from(stale);
                let value = &store.values[revision as usize - 1];
                operator.apply.on_read(revision, Some(value))
            }
            Step::Swap(expect, edit) => match roll(8) {
                0 => operator.apply.on_swap(WriteResult::Unknown),
                1 => {
                    store.swap(expect, edit);
                    operator.apply.on_swap(WriteResult::Unknown)
                }
                _ => operator.apply.on_swap(store.swap(expect, edit)),
            },
            Step::Done(verdict) => {
                verdicts.insert(operator.id.clone(), verdict);
                operators[place] = None;
                continue;
            }
        };
        operator.step = next;
    }
    (store, verdicts)
}

fn start(number: usize) -> Operator {
    let id = format!("edit-{number}");
    let change = Change::Domain {
        name: format!("d{}", number % DOMAINS).into(),
        out: number.is_multiple_of(2),
    };
    Operator { apply: Apply::new(&id, &format!("op{number}"), change), id, step: Step::Read }
}

#[test]
fn every_verdict_is_true_and_no_accepted_edit_is_lost() {
    let config = Config { cases: 4, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(any::<u16>(), 2_000..5_000), |dice| check(&dice))
        .unwrap_or_else(|error| panic!("{error}"));
}

fn check(dice: &[u16]) -> Result<(), TestCaseError> {
    let (store, verdicts) = race(dice);
    let written: Vec<&str> = store.values.iter().map(|edit| &*edit.id).collect();
    let once: BTreeSet<&str> = written.iter().copied().collect();
    prop_assert_eq!(once.len(), written.len(), "an edit was written twice");
    for (id, verdict) in &verdicts {
        match verdict {
            Outcome::Accepted(_) => prop_assert!(once.contains(id.as_str()), "{id} was not"),
            Outcome::Unknown => {}
            other => prop_assert!(!once.contains(id.as_str()), "{id}: {other:?}"),
        }
    }
    let accepted = verdicts.values().filter(|v| matches!(v, Outcome::Accepted(_))).count();
    prop_assert!(accepted > EDITS / 2, "{accepted} of {EDITS} accepted");
    // Each value keeps all lines but the one that its edit names.
    for pair in store.values.windows(2) {
        let lines = pair[0].text.lines().zip(pair[1].text.lines());
        prop_assert!(lines.filter(|(a, b)| a != b).count() <= 1);
    }
    follow(&store, dice)
}

/// A node that hears of revisions late, doubled and out of order never goes back.
fn follow(store: &Store, dice: &[u16]) -> Result<(), TestCaseError> {
    let mut latest = Latest::default();
    let mut held = 0;
    for roll in dice.iter().chain([&0]).take(500) {
        let revision = u64::from(*roll) % store.revision() + 1;
        let edit = store.values[revision as usize - 1].clone();
        let _ = latest.advance(route::Config { revision, edit }).expect("no fault");
        prop_assert!(latest.config().revision >= held);
        held = latest.config().revision;
    }
    Ok(())
}

#[test]
fn whole_text_is_refused_after_another_edit_and_says_whose() {
    let store = Store::new();
    let mine = "domain d0 # asked by: me\n";
    let change = Change::Text { text: mine.into(), base: Some(1) };
    let mut apply = Apply::new("mine", "me", change);
    let Step::Swap(1, _) = apply.on_read(1, Some(&store.values[0])) else { panic!("a swap") };
    assert_eq!(apply.on_swap(WriteResult::Conflict), Step::Read);
    let other = store.values[0].next("other", "rival", "domain d9 # asked by: rival\n");
    let Step::Done(Outcome::Conflict(2, winner)) = apply.on_read(2, Some(&other)) else {
        panic!("the edit is lost");
    };
    assert_eq!(&*winner.by, "rival");
}

#[test]
fn lost_answer_is_resolved_by_the_edits_own_id() {
    let store = Store::new();
    let change = Change::Domain { name: "d1".into(), out: true };
    let mut apply = Apply::new("mine", "me", change);
    let Step::Swap(1, edit) = apply.on_read(1, Some(&store.values[0])) else { panic!("a swap") };
    assert_eq!(apply.on_swap(WriteResult::Unknown), Step::Read);
    let later = edit.next("other", "rival", &edit.text);
    assert_eq!(apply.on_read(3, Some(&later)), Step::Done(Outcome::Accepted(3)));
}
