//! Eras of the store: it comes back from an older copy of itself, with revisions that are used again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::{Action, Batch, Departure, Item, Mirror, Position, Registration, Removal};
use proptest::prelude::*;
use table::{Resource, Table, Upstream};

/// Longest time for which an entry that the store has lost stays in the view.
const GRACE: Duration = Duration::from_millis(2_200);

/// Keys that begin with `c` hold the version of a configuration, those that begin with `o` an
/// evacuated failure domain, and others an upstream as `STATE:SEQUENCE`.
fn decode(key: &str, value: &str) -> Resource {
    match key.as_bytes()[0] {
        b'c' => value.parse().map_or(Resource::Unusable, |version| {
            Resource::Config(Arc::new(Table::builder(version).build()))
        }),
        b'o' => Resource::DomainEvacuated(value.into()),
        _ => Resource::Upstream(Arc::new(upstream(key, value))),
    }
}

fn upstream(id: &str, value: &str) -> Upstream {
    let (state, sequence) = value.split_once(':').expect("a state and a number");
    Upstream {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:1".parse().expect("an address"),
        domain: "d".into(),
        slots: 2,
        draining: state == "draining",
        warmup_left: Duration::ZERO,
        started_ms: 1,
        sequence: sequence.parse().expect("a number"),
    }
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item { key: key.into(), value: value.into(), revision }
}

fn full(era: u64, revision: u64, puts: Vec<Item>) -> Batch {
    Batch { full: true, era, revision, puts, removes: vec![] }
}

fn put(era: u64, key: &str, value: &str, revision: u64) -> Batch {
    let puts = vec![item(key, value, revision)];
    Batch { full: false, era, revision, puts, removes: vec![] }
}

fn remove(era: u64, key: &str, revision: u64) -> Batch {
    let removes = vec![Removal { key: key.into(), revision }];
    Batch { full: false, era, revision, puts: vec![], removes }
}

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn version(mirror: &Mirror) -> u64 {
    mirror.view().table.as_ref().map_or(0, |table| table.version())
}

fn upstreams(mirror: &Mirror) -> Vec<Box<str>> {
    mirror.view().upstreams_of("s").iter().map(|upstream| upstream.id.clone()).collect()
}

/// Returns a mirror of era 1 at revision 60, with two upstreams and version 7.
fn mirror(now: Instant) -> Mirror {
    let mut mirror = Mirror::new(decode);
    let puts = vec![item("c", "7", 50), item("u1", "ready:1", 10), item("u2", "ready:1", 11)];
    mirror.apply(now, full(1, 60, puts));
    mirror
}

/// Guards against changes that are ignored since their revisions were used before.
#[test]
fn changes_of_a_later_era_apply_at_lower_revisions() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    assert!(mirror.apply(now, full(2, 45, vec![item("c", "8", 45), item("u1", "ready:1", 10)])));
    assert_eq!((version(&mirror), mirror.position()), (8, at(2, 45)));
    assert!(mirror.apply(now, put(2, "c", "9", 46)));
    assert_eq!((version(&mirror), mirror.position()), (9, at(2, 46)));
}

/// Guards against changes that are applied to the entries of an earlier era, when the store answers
/// a watch from a revision that it has reached again.
#[test]
fn changes_of_a_later_era_wait_until_all_entries_are_read() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    assert!(!mirror.apply(now, put(2, "c", "9", 61)));
    assert_eq!((version(&mirror), mirror.read_position()), (7, at(1, 0)));
    mirror.apply(now, full(2, 61, vec![item("c", "9", 61), item("u1", "ready:1", 10)]));
    assert_eq!((version(&mirror), mirror.read_position()), (9, at(2, 61)));
}

#[test]
fn source_in_an_earlier_era_is_outdated() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    assert!(!mirror.is_outdated(0), "hosts of earlier versions state no era");
    mirror.apply(now, full(2, 45, vec![item("c", "7", 45)]));
    for era in [0, 1] {
        assert!(mirror.is_outdated(era));
        assert!(!mirror.apply(now, put(era, "c", "9", 99)));
        assert!(!mirror.apply(now, full(era, 99, vec![])));
    }
    assert_eq!((version(&mirror), mirror.position()), (7, at(2, 45)));
}

/// Guards against a configuration that reverts to the one in the store's older copy.
#[test]
fn configuration_of_the_older_copy_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    mirror.apply(now, put(1, "c", "8", 61));
    mirror.apply(now, full(2, 52, vec![item("c", "7", 50)]));
    assert_eq!(version(&mirror), 8);
    // Followers get the newer one, too.
    assert_eq!(&*mirror.since(at(1, 61)).puts[0].value, "8");
    mirror.apply(now, put(2, "c", "8", 53));
    mirror.apply(now, put(2, "c", "9", 54));
    assert_eq!(version(&mirror), 9);
    mirror.apply(now, full(3, 40, vec![]));
    assert_eq!(version(&mirror), 9, "the copy may be older than the first configuration");
}

/// Guards against a write of an earlier configuration that the store executes late.
#[test]
fn lower_version_at_a_higher_revision_is_ignored() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    assert!(!mirror.apply(now, put(1, "c", "6", 61)));
    assert_eq!(version(&mirror), 7);
}

/// Guards against requests to upstreams that drain or have left, because the older copy of the store
/// names them as ready.
#[test]
fn upstreams_that_have_left_do_not_return_with_the_older_copy() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    mirror.apply(now, put(1, "u1", "draining:32", 61));
    mirror.apply(now, remove(1, "u2", 62));
    let puts = vec![item("u1", "ready:1", 10), item("u2", "ready:1", 11)];
    mirror.apply(now, full(2, 45, puts));
    assert!(upstreams(&mirror).is_empty());
    // An upstream that lives writes its entry again, with a greater number.
    mirror.apply(now, put(2, "u1", "ready:40", 46));
    assert_eq!(upstreams(&mirror), ["u1".into()]);
    mirror.apply(now, full(3, 30, vec![item("u2", "ready:41", 29)]));
    assert!(upstreams(&mirror).contains(&"u2".into()));
}

#[test]
fn entries_that_the_store_has_lost_stay_until_they_can_be_written_again() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    mirror.apply(now, put(1, "o", "d2", 61));
    mirror.apply(now, full(2, 45, vec![item("c", "7", 45), item("u1", "ready:1", 10)]));
    assert_eq!(upstreams(&mirror).len(), 2);
    assert!(mirror.view().evacuated.contains("d2"));
    assert!(mirror.expire(now + GRACE));
    assert_eq!(upstreams(&mirror), ["u1".into()]);
    assert!(mirror.view().evacuated.is_empty());
}

#[test]
fn follower_in_an_earlier_era_gets_all_entries_and_one_in_a_later_era_none() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    assert!(mirror.since(at(3, 5)).puts.is_empty());
    mirror.apply(now, full(2, 45, vec![item("c", "7", 45)]));
    let batch = mirror.since(at(1, 61));
    assert!(batch.full && batch.era == 2);
    assert!(!mirror.since(at(2, 45)).full);
    // A host of an earlier version states no era.
    assert!(!mirror.since(at(0, 45)).full);
}

/// Guards against an upstream that has stated that it is leaving and returns with a new entry or with
/// an older copy of the store, and against one that does not return after its restart.
#[test]
fn upstream_that_has_stated_its_departure_stays_out_until_it_is_restarted() {
    let now = Instant::now();
    let mut mirror = mirror(now);
    let departure = Departure { upstream: "u1".into(), started_ms: 1 };
    assert!(mirror.record_departure(now, departure.clone()));
    assert!(!mirror.record_departure(now, departure));
    assert_eq!(upstreams(&mirror), ["u2".into()]);
    assert_eq!(mirror.view().leaving.get("u1"), Some(&1));
    mirror.apply(now, put(1, "u1", "ready:5", 61));
    mirror.apply(now, full(2, 45, vec![item("u1", "ready:6", 44), item("u2", "ready:1", 11)]));
    assert_eq!(upstreams(&mirror), ["u2".into()]);
    let restarted = Departure { upstream: "u1".into(), started_ms: 7 };
    assert!(mirror.record_departure(now, restarted), "another process has the id");
    assert_eq!(upstreams(&mirror).len(), 2, "the entry is that of the first process");
}

/// Entries from hosts of an earlier version have no era. The first read of the store is no restore.
#[test]
fn first_known_era_starts_no_grace_period() {
    let now = Instant::now();
    let mut mirror = Mirror::new(decode);
    mirror.apply(now, full(0, 60, vec![item("u1", "ready:1", 10), item("u2", "ready:1", 11)]));
    mirror.apply(now, full(5, 61, vec![item("u1", "ready:1", 10)]));
    assert_eq!(upstreams(&mirror), ["u1".into()]);
    assert!(mirror.apply(now, put(0, "u2", "ready:2", 62)), "hosts of earlier versions are heard");
    assert_eq!(mirror.position(), at(5, 62));
}

#[test]
fn lease_is_granted_again_in_each_era() {
    let now = Instant::now();
    let mut registration = Registration::new(Duration::from_secs(5));
    registration.granted(now, 7, 0);
    registration.written(now);
    assert!(matches!(registration.next_action(now, true, 1), Action::Wait(_)));
    // A host asks for its first lease before it has read the store.
    registration.renewed(now, 1);
    assert!(matches!(registration.next_action(now, true, 1), Action::Wait(_)));
    assert_eq!(registration.lease(1), Some(7));
    assert_eq!(registration.next_action(now, true, 2), Action::Grant);
    // The id may belong to another host now, so the lease must not be revoked either.
    assert_eq!(registration.lease(2), None);
    registration.granted(now, 8, 2);
    registration.renewed(now, 3);
    assert_eq!(registration.lease(3), None, "a renewal does not carry a lease into the next era");
}

/// A change of a test's store: an upstream's entry is written or removed, or the store is copied, or
/// restored from the last copy.
#[derive(Clone, Copy, Debug)]
enum Change {
    Put(u8),
    Remove(u8),
    Configure,
    Copy,
    Restore,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (0_u8..4).prop_map(Change::Put),
        2 => (0_u8..4).prop_map(Change::Remove),
        2 => Just(Change::Configure),
        1 => Just(Change::Copy),
        1 => Just(Change::Restore),
    ]
}

/// A store whose writers write again what a restore has lost.
#[derive(Clone, Default)]
struct Model {
    era: u64,
    revision: u64,
    entries: std::collections::BTreeMap<String, (String, u64)>,
}

impl Model {
    fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        self.entries.insert(key.to_owned(), (value.to_owned(), self.revision));
    }

    fn read(&self) -> Batch {
        let entries = self.entries.iter();
        let puts = entries.map(|(key, (value, revision))| item(key, value, *revision));
        full(self.era, self.revision, puts.collect())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Whatever is restored, a mirror that reads everything and a follower of it show the newest
    /// configuration and the upstreams that live, and their configuration never reverts.
    #[test]
    fn mirrors_converge_across_restores(
        changes in proptest::collection::vec((change(), any::<bool>(), any::<bool>()), 1..80),
    ) {
        let mut now = Instant::now();
        let mut store = Model { era: 1, revision: 10, ..Model::default() };
        let mut copy = store.clone();
        let (mut mirror, mut follower) = (Mirror::new(decode), Mirror::new(decode));
        let mut live = std::collections::BTreeMap::new();
        let (mut sequence, mut newest) = (0, 0);
        let mut versions = [0, 0];
        for (change, reads, follows) in changes {
            match change {
                Change::Put(id) => {
                    sequence += 1;
                    live.insert(format!("u{id}"), format!("ready:{sequence}"));
                    store.put(&format!("u{id}"), &format!("ready:{sequence}"));
                }
                Change::Remove(id) => {
                    live.remove(&format!("u{id}"));
                    store.revision += 1;
                    store.entries.remove(&format!("u{id}"));
                }
                Change::Configure => {
                    newest += 1;
                    store.put("c", &newest.to_string());
                }
                Change::Copy => copy = store.clone(),
                Change::Restore => store = Model { era: store.era + 1, ..copy.clone() },
            }
            if reads {
                mirror.apply(now, store.read());
            }
            if follows {
                follower.apply(now, mirror.since(follower.read_position()));
            }
            for (mirror, before) in [&mirror, &follower].into_iter().zip(&mut versions) {
                prop_assert!(version(mirror) >= *before);
                *before = version(mirror);
            }
        }
        // The writers of what a restore has lost write it again, and the store drops the others.
        for (id, _) in live.clone() {
            sequence += 1;
            store.put(&id, &format!("ready:{sequence}"));
        }
        store.entries.retain(|key, _| key == "c" || live.contains_key(key));
        store.revision += 1;
        if newest > 0 {
            store.put("c", &newest.to_string());
        }
        mirror.apply(now, store.read());
        follower.apply(now, mirror.since(follower.read_position()));
        now += GRACE;
        for mirror in [&mut mirror, &mut follower] {
            mirror.expire(now);
            prop_assert_eq!(version(mirror), newest);
            prop_assert_eq!(upstreams(mirror), live.keys().map(|id| (**id).into()).collect::<Vec<_>>());
            prop_assert_eq!(mirror.position(), at(store.era, store.revision));
        }
    }
}
