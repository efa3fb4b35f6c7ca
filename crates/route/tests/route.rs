//! Order of configurations, the directory of brokers, and draining of a broker.

use std::time::{Duration, Instant};

use route::{
    Config, Document, Drain, Host, Kind, Latest, Life, Placement, Presence, Stage, entries, group,
};

const RULES: &str = "domain a # asked by: x\ndomain b --out # asked by: x\n";

fn config(revision: u64, text: &str) -> Config {
    Config { revision, document: Document { text: text.into(), ..Document::default() } }
}

#[test]
fn older_and_invalid_configurations_are_not_adopted() {
    let mut latest = Latest::default();
    assert!(latest.advance(config(5, RULES)).expect("valid"));
    assert!(!latest.advance(config(4, "domain c # asked by: y\n")).expect("ignored"));
    assert!(latest.advance(config(6, "domain")).is_err());
    assert_eq!(latest.config().revision, 5);
    assert!(latest.advance(config(7, RULES)).expect("valid"));
}

#[test]
fn edit_is_found_after_later_edits() {
    let mut document = Document::default();
    for n in 0..40 {
        document = document.next(&format!("e{n}"), "x", RULES);
    }
    assert!(document.includes("e3") && document.includes("e39") && !document.includes("e40"));
}

#[test]
fn directory_prefers_local_brokers_and_omits_leaving_ones() {
    let rules = rules::parse("x", RULES).expect("valid");
    let broker = |host: &str, domain: &str, load, leaving| Presence {
        host: host.into(),
        address: "127.0.0.1:80".parse().expect("valid address"),
        domain: domain.into(),
        load,
        leaving,
        config: 1,
        config_ms: 0,
    };
    let all = [
        broker("1", "c", 0, false),
        broker("2", "a", 8, false),
        broker("3", "a", 0, true),
        broker("4", "b", 0, false),
        broker("5", "a", 24, false),
    ];
    let hosts: Vec<_> = entries(&rules, "a", &all).iter().map(|b| &*b.host).collect();
    assert_eq!(hosts, ["2", "1", "5"]);
}

#[test]
fn draining_broker_serves_until_cached_directory_entries_expire() {
    let now = Instant::now();
    let mut drain = Drain::default();
    assert_eq!(drain.stage(now), Stage::Listed);
    drain.set(now, true);
    drain.set(now + Duration::from_secs(1), true);
    assert_eq!(drain.stage(now + Duration::from_millis(2_600)), Stage::Unlisted);
    assert_eq!(drain.stage(now + Duration::from_millis(2_800)), Stage::Refusing);
    drain.set(now, false);
    assert_eq!(drain.stage(now), Stage::Listed);
}

#[test]
fn repartition_does_not_change_the_group_of_an_upstream() {
    let host = |shard, shards| Host {
        id: "wide-17-0".into(),
        kind: Kind::Upstream,
        address: "127.0.0.1:80".parse().expect("valid address"),
        domain: "a".into(),
        life: Life::Live,
        place: Some(Placement { service: "wide".into(), shard, shards }),
    };
    // One host has the list before the repartition, and another host the list after it.
    let key = |host: &Host| {
        let place = host.place.as_ref().expect("an upstream has a placement");
        group(&place.service, &host.domain, &host.id)
    };
    assert_eq!(key(&host(17, 20)), key(&host(7, 10)));
}
