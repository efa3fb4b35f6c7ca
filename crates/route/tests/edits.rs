//! Concurrent edits by several operators on a store that loses answers and returns stale values.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use route::{Apply, Change, Document, Latest, Outcome, Step, WriteResult};

const OPERATORS: usize = 8;
const EDITS: usize = 1_000;
const DOMAINS: usize = 8;

/// A store with compare-and-swap that keeps all of its values.
struct Store {
    values: Vec<Document>,
}

impl Store {
    fn new() -> Self {
        let lines = (0..DOMAINS).map(|d| format!("domain d{d} # asked by: start\n"));
        let text: String = lines.collect();
        Self { values: vec![Document::default().next("start", "start", &text)] }
    }

    fn revision(&self) -> u64 {
        self.values.len() as u64
    }

    fn swap(&mut self, expect: u64, document: Document) -> WriteResult {
        if expect != self.revision() {
            return WriteResult::Conflict;
        }
        self.values.push(document);
        WriteResult::Written(self.revision())
    }
}

struct Operator {
    apply: Apply,
    id: String,
    step: Step,
}

/// Runs 1,000 edits interleaved as `rolls` determine; returns the store and the outcome of each
/// edit.
fn race(rolls: &[u16]) -> (Store, BTreeMap<String, Outcome>) {
    let mut store = Store::new();
    let mut outcomes = BTreeMap::new();
    let mut started = 0;
    let mut operators: Vec<Option<Operator>> = (0..OPERATORS).map(|_| None).collect();
    let mut cycle = rolls.iter().copied().cycle();
    let mut next_roll = move |sides: u16| cycle.next().unwrap_or(0) % sides;
    while started < EDITS || operators.iter().any(Option::is_some) {
        let slot = usize::from(next_roll(OPERATORS as u16));
        let Some(operator) = &mut operators[slot] else {
            if started < EDITS {
                operators[slot] = Some(start(started));
                started += 1;
            }
            continue;
        };
        let next = match operator.step.clone() {
            Step::Read => {
                // One read in six returns the value before the current one.
                let stale = next_roll(6) == 0 && store.revision() > 1;
                let revision = store.revision() - u64::from(stale);
                let value = &store.values[revision as usize - 1];
                operator.apply.on_read(revision, Some(value))
            }
            Step::Swap(expect, document) => match next_roll(8) {
                0 => operator.apply.on_swap(WriteResult::Unknown),
                1 => {
                    store.swap(expect, document);
                    operator.apply.on_swap(WriteResult::Unknown)
                }
                _ => operator.apply.on_swap(store.swap(expect, document)),
            },
            Step::Done(outcome) => {
                outcomes.insert(operator.id.clone(), outcome);
                operators[slot] = None;
                continue;
            }
        };
        operator.step = next;
    }
    (store, outcomes)
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
fn every_outcome_is_correct_and_no_accepted_edit_is_lost() {
    let config = Config { cases: 4, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(any::<u16>(), 2_000..5_000), |rolls| check(&rolls))
        .unwrap_or_else(|error| panic!("{error}"));
}

fn check(rolls: &[u16]) -> Result<(), TestCaseError> {
    let (store, outcomes) = race(rolls);
    let written: Vec<&str> = store.values.iter().map(|document| &*document.id).collect();
    let ids: BTreeSet<&str> = written.iter().copied().collect();
    prop_assert_eq!(ids.len(), written.len(), "an edit was written twice");
    for (id, outcome) in &outcomes {
        match outcome {
            Outcome::Accepted(_) => prop_assert!(ids.contains(id.as_str()), "{id} was not written"),
            Outcome::Unknown => {}
            other => prop_assert!(!ids.contains(id.as_str()), "{id}: {other:?}"),
        }
    }
    let accepted = outcomes.values().filter(|v| matches!(v, Outcome::Accepted(_))).count();
    prop_assert!(accepted > EDITS / 2, "{accepted} of {EDITS} accepted");
    // Each value changes at most the line that its edit names.
    for pair in store.values.windows(2) {
        let lines = pair[0].text.lines().zip(pair[1].text.lines());
        prop_assert!(lines.filter(|(a, b)| a != b).count() <= 1);
    }
    follow(&store, rolls)
}

/// Checks that a host that receives revisions late, twice and out of order never goes back to an
/// older one.
fn follow(store: &Store, rolls: &[u16]) -> Result<(), TestCaseError> {
    let mut latest = Latest::default();
    let mut held = 0;
    for roll in rolls.iter().chain([&0]).take(500) {
        let revision = u64::from(*roll) % store.revision() + 1;
        let document = store.values[revision as usize - 1].clone();
        let _ = latest.advance(route::Config { revision, document }).expect("valid");
        prop_assert!(latest.config().revision >= held);
        held = latest.config().revision;
    }
    Ok(())
}

#[test]
fn new_text_conflicts_with_another_edit_and_reports_its_author() {
    let store = Store::new();
    let mine = "domain d0 # asked by: me\n";
    let change = Change::Text { text: mine.into(), base: Some(1) };
    let mut apply = Apply::new("mine", "me", change);
    let Step::Swap(1, _) = apply.on_read(1, Some(&store.values[0])) else {
        panic!("expected a swap")
    };
    assert_eq!(apply.on_swap(WriteResult::Conflict), Step::Read);
    let other = store.values[0].next("other", "rival", "domain d9 # asked by: rival\n");
    let Step::Done(Outcome::Conflict(2, winner)) = apply.on_read(2, Some(&other)) else {
        panic!("expected a conflict");
    };
    assert_eq!(&*winner.by, "rival");
}

#[test]
fn lost_answer_is_resolved_by_the_id_of_the_edit() {
    let store = Store::new();
    let change = Change::Domain { name: "d1".into(), out: true };
    let mut apply = Apply::new("mine", "me", change);
    let Step::Swap(1, document) = apply.on_read(1, Some(&store.values[0])) else {
        panic!("expected a swap")
    };
    assert_eq!(apply.on_swap(WriteResult::Unknown), Step::Read);
    let later = document.next("other", "rival", &document.text);
    assert_eq!(apply.on_read(3, Some(&later)), Step::Done(Outcome::Accepted(3)));
}
