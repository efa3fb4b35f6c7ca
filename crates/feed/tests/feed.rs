//! The mirror only moves forward, whatever the order and source of its batches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use feed::{Action, Batch, Freshness, Item, Mirror, Peer, Registration, Removal, Source, Sources};
use proptest::prelude::*;
use table::{Host, Resource, Table};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Keys that begin with `c` hold a configuration, those that begin with `h` a host.
fn decode(key: &str, value: &str) -> Resource {
    if value.is_empty() {
        return Resource::Unusable;
    }
    if key.starts_with('c') {
        return Resource::Config(Arc::new(Table::builder(value.parse().unwrap_or(0)).build()));
    }
    let address: SocketAddr = "10.0.0.1:1".parse().expect("an address");
    let host = Host {
        name: key.into(),
        domain: value.into(),
        front: address,
        peer: address,
        relay: None,
        cores: 1.0,
    };
    Resource::Host(Arc::new(host))
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item { key: key.into(), value: value.into(), revision }
}

fn put(key: &str, value: &str, revision: u64) -> Batch {
    Batch { revision, puts: vec![item(key, value, revision)], ..Batch::default() }
}

fn remove(key: &str, revision: u64) -> Batch {
    let removal = Removal { key: key.into(), revision };
    Batch { revision, removes: vec![removal], ..Batch::default() }
}

fn version(mirror: &Mirror) -> u64 {
    mirror.view().table.as_ref().map_or(0, |table| table.version())
}

#[test]
fn older_configuration_does_not_come_back() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    assert!(mirror.apply(now, put("c", "7", 20)));
    assert!(!mirror.apply(now, put("c", "6", 10)));
    assert_eq!((version(&mirror), mirror.revision()), (7, 20));
}

#[test]
fn unreadable_or_removed_configuration_leaves_the_last_one_in_force() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("c", "7", 20));
    assert!(!mirror.apply(now, put("c", "", 21)));
    assert!(!mirror.apply(now, remove("c", 22)));
    assert_eq!(version(&mirror), 7);
}

/// Played as deploy/days/zones.toml on orzechpol-szukaj: an upstream returned after an outage and left
/// between two reads. Its removal was applied before its return, so that it got requests for ever.
#[test]
fn entry_that_is_written_and_removed_within_one_batch_is_gone() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    let removes = [2, 4].map(|revision| Removal { key: "h1".into(), revision }).to_vec();
    let batch = Batch { full: false, revision: 4, puts: vec![item("h1", "x", 3)], removes };
    mirror.apply(now, batch);
    assert!(!mirror.contains("h1"));
    let removes = vec![Removal { key: "h2".into(), revision: 5 }];
    mirror.apply(now, Batch { full: false, revision: 6, puts: vec![item("h2", "x", 6)], removes });
    assert!(mirror.contains("h2"));
}

#[test]
fn slower_source_does_not_bring_a_removed_entry_back() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    mirror.apply(now, remove("h1", 5));
    assert!(!mirror.apply(now, put("h1", "x", 3)));
    let full = Batch { full: true, revision: 4, puts: vec![item("h1", "x", 3)], removes: vec![] };
    assert!(!mirror.apply(now, full));
    assert!(!mirror.contains("h1"));
}

#[test]
fn full_batch_removes_what_it_does_not_name() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    mirror.apply(now, put("h2", "x", 2));
    let full = Batch { full: true, revision: 9, puts: vec![item("h2", "x", 2)], removes: vec![] };
    assert!(mirror.apply(now, full));
    assert!(!mirror.contains("h1"));
    assert!(mirror.contains("h2"));
}

#[test]
fn full_batch_of_a_slower_source_keeps_newer_entries() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 15));
    let full = Batch { full: true, revision: 9, puts: vec![], removes: vec![] };
    assert!(!mirror.apply(now, full));
    assert!(mirror.contains("h1"));
}

#[test]
fn entries_that_lapse_with_the_store_are_kept_until_writers_had_time_to_return() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    mirror.apply(now, put("h2", "x", 2));
    mirror.store_recovered(now);
    mirror.apply(now + ms(10), remove("h1", 3));
    mirror.apply(now + ms(10), remove("h2", 4));
    assert_eq!(mirror.view().hosts.len(), 2);
    mirror.apply(now + ms(900), put("h2", "x", 5));
    assert!(!mirror.expire(now + ms(2_000)));
    assert!(mirror.expire(now + ms(2_300)));
    let view = mirror.view();
    assert_eq!(view.hosts.keys().map(|key| &**key).collect::<Vec<_>>(), ["h2"]);
}

/// Played as deploy/days/zones.toml on towpath-search-grown: followers got the removals with the first
/// news after an outage, took all upstreams for gone and refused every request for two seconds.
#[test]
fn news_after_an_outage_says_so_before_it_is_applied() {
    let now = Instant::now();
    let mut hearing = Freshness::new(ms(2_000));
    assert!(!hearing.record_contact(now, now, false));
    assert!(!hearing.record_contact(now + ms(1_900), now + ms(1_900), false));
    let back = now + ms(4_000);
    assert_eq!(hearing.remaining(back), Duration::ZERO);
    assert!(hearing.record_contact(back, back, false));
    assert!(!hearing.record_contact(back + ms(100), back + ms(100), false));
}

#[test]
fn store_that_refused_a_call_was_away_for_its_watcher() {
    let now = Instant::now();
    let mut hearing = Freshness::new(ms(2_000));
    hearing.record_contact(now, now, true);
    hearing.record_failure(now);
    assert!(!hearing.record_contact(now + ms(10), now, false));
    assert!(hearing.record_contact(now + ms(20), now + ms(20), true));
    assert!(!hearing.record_contact(now + ms(30), now + ms(30), true));
}

/// Played as hunt-fb38-27 of orzechpol-szukaj: the store refused one host and served the others. When it
/// served that host again, entries that upstreams had removed were kept as if they had lapsed.
#[test]
fn store_that_answered_others_was_not_away() {
    let now = Instant::now();
    let mut hearing = Freshness::new(ms(2_000));
    hearing.record_contact(now, now, true);
    hearing.record_failure(now + ms(10));
    assert!(!hearing.record_contact(now + ms(30), now + ms(20), false));
    assert!(!hearing.record_contact(now + ms(40), now + ms(40), true));
}

/// Found on the same day: a second outage prolonged what the first one had kept, beyond the bound for
/// leaving upstreams.
#[test]
fn later_outage_does_not_prolong_a_lapsed_entry() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    mirror.store_recovered(now);
    mirror.apply(now + ms(10), remove("h1", 2));
    mirror.store_recovered(now + ms(2_000));
    assert!(mirror.expire(now + ms(2_200)));
    assert_eq!(mirror.view().hosts.len(), 0);
}

#[test]
fn follower_keeps_lapsed_entries_as_long_as_its_source() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    mirror.hold_lapsed(now, ms(300));
    mirror.apply(now, remove("h1", 2));
    assert_eq!(mirror.hold_remaining(now + ms(100)), ms(200));
    assert_eq!(mirror.view().hosts.len(), 1);
    assert!(mirror.expire(now + ms(300)));
    assert_eq!(mirror.view().hosts.len(), 0);
}

#[test]
fn entries_removed_while_the_store_is_well_are_gone_at_once() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, put("h1", "x", 1));
    mirror.apply(now, remove("h1", 2));
    assert_eq!(mirror.view().hosts.len(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// A follower that asks from time to time ends with the same entries as its source.
    #[test]
    fn follower_ends_like_its_source(
        changes in proptest::collection::vec((0_u8..6, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let (mut source, mut follower) = (Mirror::new(decode), Mirror::new(decode));
        for (index, (key, is_put, asks)) in changes.into_iter().enumerate() {
            let revision = index as u64 + 1;
            let key = format!("h{key}");
            let batch = if is_put { put(&key, "x", revision) } else { remove(&key, revision) };
            source.apply(now, batch);
            if asks {
                follower.apply(now, source.since(follower.revision()));
            }
        }
        follower.apply(now, source.since(follower.revision()));
        prop_assert_eq!(follower.revision(), source.revision());
        let names = |mirror: &Mirror| mirror.view().hosts.keys().cloned().collect::<Vec<_>>();
        prop_assert_eq!(names(&follower), names(&source));
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 1))
}

fn peer(name: &str, domain: &str, last: u8) -> Peer {
    Peer { name: name.into(), domain: domain.into(), address: address(last) }
}

fn peers() -> Vec<Peer> {
    vec![peer("a1", "a", 1), peer("a2", "a", 2), peer("a3", "a", 3), peer("b1", "b", 4)]
}

#[test]
fn first_host_of_a_domain_watches_the_store_and_others_follow_it() {
    let now = Instant::now();
    let first = Sources::new(peer("a1", "a", 1), vec![]);
    let third = Sources::new(peer("a3", "a", 3), vec![]);
    assert_eq!(first.choose(now, &peers(), false), Ok(Source::Store));
    assert_eq!(third.choose(now, &peers(), false), Ok(Source::Peer(address(1))));
}

#[test]
fn next_host_takes_over_when_the_first_is_lost() {
    let now = Instant::now();
    let mut second = Sources::new(peer("a2", "a", 2), vec![]);
    second.failed(now, Source::Peer(address(1)), 0.5);
    assert_eq!(second.choose(now, &peers(), false), Ok(Source::Store));
    second.succeeded(Source::Peer(address(1)));
    assert_eq!(second.choose(now, &peers(), false), Ok(Source::Peer(address(1))));
}

/// Played as trouble-1 --seed 826787773024 of towpath-search: two of four hosts lost the store, and
/// the others went from one to the other of them until a configuration was overdue.
#[test]
fn host_with_old_news_asks_the_store_before_hosts_that_may_have_lost_it() {
    let now = Instant::now();
    let mut third = Sources::new(peer("a3", "a", 3), vec![]);
    third.failed(now, Source::Peer(address(1)), 0.5);
    assert_eq!(third.choose(now, &peers(), true), Ok(Source::Store));
    third.failed(now, Source::Store, 0.5);
    assert_eq!(third.choose(now, &peers(), true), Ok(Source::Peer(address(4))));
}

#[test]
fn sources_that_failed_are_left_alone_for_longer_each_time() {
    let now = Instant::now();
    let mut alone = Sources::new(peer("a1", "a", 1), vec![]);
    let mut last = Duration::ZERO;
    for _ in 0..3 {
        alone.failed(now, Source::Store, 0.5);
        let until = alone.choose(now, &[], false).expect_err("the store failed");
        assert!(until - now > last);
        last = until - now;
    }
    assert_eq!(alone.choose(now + last, &[], false), Ok(Source::Store));
}

/// Played as trouble-1 of orzechpol-szukaj-grown: a host that had lost the store asked its followers,
/// which asked it, until all their news was old.
#[test]
fn host_that_lost_the_store_does_not_follow_its_followers() {
    let now = Instant::now();
    let mut first = Sources::new(peer("a1", "a", 1), vec![]);
    first.failed(now, Source::Store, 0.5);
    assert_eq!(first.choose(now, &peers(), false), Ok(Source::Peer(address(4))));
}

/// Found on the same day: such a host waited for the store for seconds, while its followers' news
/// grew old.
#[test]
fn source_that_failed_is_suspect_until_it_works() {
    let now = Instant::now();
    let mut first = Sources::new(peer("a1", "a", 1), vec![]);
    assert!(!first.is_suspect(Source::Store));
    first.failed(now, Source::Store, 0.5);
    assert!(first.is_suspect(Source::Store));
    first.succeeded(Source::Store);
    assert!(!first.is_suspect(Source::Store));
}

/// Played as deploy/days/zones.toml on orzechpol-szukaj: a failure domain was cut off for four seconds,
/// and its hosts asked nobody for as long again after the cut had healed, so that a leaving upstream got
/// requests for too long.
#[test]
fn sources_that_were_away_for_long_are_asked_again_soon() {
    let now = Instant::now();
    let mut first = Sources::new(peer("a1", "a", 1), vec![]);
    for source in [Source::Store, Source::Peer(address(4))] {
        for _ in 0..10 {
            first.failed(now, source, 1.0);
        }
    }
    let other = [peer("b1", "b", 4)];
    let again = first.choose(now, &other, true).expect_err("both failed");
    assert!(again <= now + ms(1_000));
    let again = first.choose(now, &[], true).expect_err("the store failed");
    assert!(again <= now + ms(2_500));
}

#[test]
fn seeds_are_tried_when_nothing_else_is_known() {
    let now = Instant::now();
    let mut fresh = Sources::new(peer("a1", "a", 1), vec![address(1), address(9)]);
    fresh.failed(now, Source::Store, 0.5);
    assert_eq!(fresh.choose(now, &[], true), Ok(Source::Peer(address(9))));
}

#[test]
fn entry_is_written_under_a_lease_and_renewed() {
    let now = Instant::now();
    let mut registration = Registration::new(ms(5_000));
    assert_eq!(registration.next_action(now, false), Action::Grant);
    registration.granted(now, 7);
    assert_eq!(registration.next_action(now, false), Action::Put(7));
    registration.written(now);
    assert_matches!(registration.next_action(now, true), Action::Wait(_));
    assert_eq!(registration.next_action(now + ms(2_000), true), Action::Renew(7));
    registration.renewed(now + ms(2_000));
    assert_matches!(registration.next_action(now + ms(2_000), true), Action::Wait(_));
}

#[test]
fn entry_that_was_taken_away_is_written_again() {
    let now = Instant::now();
    let mut registration = Registration::new(ms(5_000));
    registration.granted(now, 7);
    registration.written(now);
    assert_matches!(registration.next_action(now + ms(1_000), false), Action::Wait(_));
    assert_eq!(registration.next_action(now + ms(1_500), false), Action::Put(7));
    registration.lost();
    assert_eq!(registration.next_action(now + ms(1_500), false), Action::Grant);
}

#[test]
fn failed_call_is_not_repeated_at_once() {
    let now = Instant::now();
    let mut registration = Registration::new(ms(5_000));
    registration.failed(now);
    assert_matches!(registration.next_action(now, false), Action::Wait(_));
    assert_eq!(registration.next_action(now + ms(1_000), false), Action::Grant);
}
