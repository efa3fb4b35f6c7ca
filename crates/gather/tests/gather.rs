//! An answer contains the greatest records of the parts whose stamps it lists, and is sent when
//! waiting longer is no longer worth it.

use std::time::{Duration, Instant};

use gather::{Availability, Gather, Part, RECORD_BYTES, Step, greatest};
use proptest::prelude::*;

fn part(stamp: &str, fill: u8) -> Part {
    Part { stamp: stamp.into(), records: vec![fill; RECORD_BYTES].into() }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn complete_answer_does_not_wait() {
    let now = Instant::now();
    let mut gather = Gather::new(2, 2, now + ms(70), now + ms(1_000));
    gather.add(1, part("b", 1));
    assert_eq!(gather.step(now), Step::Wait(now + ms(1_000)));
    gather.add(0, part("a", 2));
    assert_eq!(gather.step(now), Step::Answer);
    assert_eq!(gather.missing(), 0);
    assert_eq!(gather.stamps().collect::<Vec<_>>(), ["a", "b"]);
}

#[test]
fn query_waits_for_missing_parts_until_the_soft_deadline() {
    let now = Instant::now();
    let mut gather = Gather::new(3, 2, now + ms(70), now + ms(1_000));
    gather.add(0, part("a", 1));
    gather.add(1, part("b", 1));
    assert_eq!(gather.step(now + ms(69)), Step::Wait(now + ms(70)));
    assert_eq!(gather.step(now + ms(70)), Step::Answer);
    assert_eq!(gather.missing(), 1);
}

#[test]
fn late_query_answers_as_soon_as_it_has_enough_parts() {
    let now = Instant::now();
    let mut gather = Gather::new(3, 2, now + ms(70), now + ms(1_000));
    gather.add(0, part("a", 1));
    assert_eq!(gather.step(now + ms(200)), Step::Wait(now + ms(1_000)));
    gather.add(1, part("b", 1));
    assert_eq!(gather.step(now + ms(200)), Step::Answer);
}

#[test]
fn lost_parts_end_the_wait_at_once() {
    let now = Instant::now();
    let mut gather = Gather::new(3, 2, now + ms(70), now + ms(1_000));
    gather.add(0, part("a", 1));
    gather.add(1, part("b", 1));
    gather.mark_lost(2);
    assert_eq!(gather.step(now), Step::Answer);
}

#[test]
fn query_that_cannot_get_enough_parts_fails_at_once() {
    let now = Instant::now();
    let mut gather = Gather::new(3, 3, now + ms(70), now + ms(1_000));
    gather.mark_lost(0);
    assert_eq!(gather.step(now), Step::Fail);
}

#[test]
fn second_part_of_a_shard_is_ignored() {
    let now = Instant::now();
    let mut gather = Gather::new(1, 1, now, now);
    gather.add(0, part("first", 1));
    gather.add(0, part("second", 2));
    assert_eq!(gather.stamps().collect::<Vec<_>>(), ["first"]);
}

#[test]
fn incomplete_record_is_ignored() {
    let body = [vec![9; RECORD_BYTES], vec![255; RECORD_BYTES - 1]].concat();
    assert_eq!(greatest([&*body], 5).as_ref(), &[9; RECORD_BYTES]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn merged_records_equal_those_of_a_full_sort(
        parts in proptest::collection::vec(
            proptest::collection::vec(proptest::array::uniform16(0_u8..4), 0..20), 0..8),
        limit in 0_usize..30,
    ) {
        let bodies: Vec<Vec<u8>> = parts.iter().map(|part| part.concat()).collect();
        let mut all: Vec<_> = parts.concat();
        all.sort_by(|a, b| b.cmp(a));
        all.truncate(limit);
        let merged = greatest(bodies.iter().map(Vec::as_slice), limit);
        let expected = all.concat();
        prop_assert_eq!(merged.as_ref(), expected.as_slice());
    }
}

fn merged(parts: &[usize]) -> impl Iterator<Item = (usize, Box<str>)> {
    parts.iter().map(|part| (*part, format!("m{part}").into()))
}

#[test]
fn each_merged_part_counts() {
    let now = Instant::now();
    let mut gather = Gather::new(3, 3, now + ms(70), now + ms(1_000));
    gather.add(0, part("a", 5));
    gather.add_merged(merged(&[1, 2]), [[9; RECORD_BYTES], [1; RECORD_BYTES]].concat().into());
    assert_eq!(gather.step(now), Step::Answer);
    assert_eq!(gather.stamps().collect::<Vec<_>>(), ["a", "m1", "m2"]);
    assert_eq!(gather.merge(2), [[9; RECORD_BYTES], [5; RECORD_BYTES]].concat());
}

/// Guards against duplicate records of a shard when a hedge answers before the relay does.
#[test]
fn merged_part_replaces_the_part_of_a_hedge() {
    let now = Instant::now();
    let mut gather = Gather::new(2, 2, now + ms(70), now + ms(1_000));
    gather.add(1, part("hedge", 9));
    gather.add_merged(merged(&[0, 1]), [[9; RECORD_BYTES], [4; RECORD_BYTES]].concat().into());
    gather.add(1, part("hedge", 9));
    assert_eq!(gather.missing(), 0);
    assert_eq!(gather.stamps().collect::<Vec<_>>(), ["m0", "m1"]);
    assert_eq!(gather.merge(9), [[9; RECORD_BYTES], [4; RECORD_BYTES]].concat());
}

#[test]
fn merged_part_counts_for_a_shard_that_was_marked_lost() {
    let now = Instant::now();
    let mut gather = Gather::new(2, 1, now + ms(70), now + ms(1_000));
    gather.mark_lost(0);
    gather.add_merged(merged(&[0, 1]), vec![4; RECORD_BYTES].into());
    assert_eq!(gather.step(now), Step::Answer);
    assert_eq!(gather.missing(), 0);
}

/// A failure domain returns cold while other shards have lost their upstreams.
#[test]
fn availability_tells_when_a_query_over_cold_shards_can_be_served() {
    let now = Instant::now();
    let warm = std::iter::repeat_n(Some(now), 84);
    let cold = [Some(now + ms(2_400)), Some(now + ms(900))];
    let availability = Availability::new(warm.chain(cold).chain([None; 4]));
    let unavailable: Vec<_> = availability.unavailable_by(now + ms(65)).collect();
    assert_eq!(unavailable, [84, 85, 86, 87, 88, 89]);
    assert_eq!(availability.unavailable_by(now + ms(900)).count(), 5);
    assert_eq!(availability.available_at(84), Some(now));
    assert_eq!(availability.available_at(86), Some(now + ms(2_400)));
    assert_eq!(availability.available_at(87), None);
}
