//! Selection of the hosts that are advertised to callers: hosts with enough cores, in the failure
//! domains with replicas of the shards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use node::advertised_hosts;
use table::{Gather, Host, Route, Table, Target, Upstream, View};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 1))
}

fn view(hosts: &[(&str, &str, f64)], replicas: &[(&str, &str)]) -> View {
    let gather =
        Gather { shards: vec!["shard-0".into(), "shard-1".into()], top_k: 5, min_shard_ratio: 0.5 };
    let route = Route::builder("all", "a.example", "/").target(Target::Gather(gather)).build();
    let mut view =
        View { table: Some(Arc::new(Table::builder(1).route(route).build())), ..View::default() };
    for (name, domain, power) in hosts {
        let host = Host {
            name: (*name).into(),
            domain: (*domain).into(),
            front: address(1),
            peer: address(2),
            relay: None,
            cores: *power,
            isolated: false,
            registrar: None,
        };
        view.hosts.insert((*name).into(), Arc::new(host));
    }
    let mut upstreams: BTreeMap<Box<str>, Vec<Arc<Upstream>>> = BTreeMap::new();
    for (service, domain) in replicas {
        let upstream = Upstream {
            id: format!("{service}@{domain}").into(),
            service: (*service).into(),
            address: address(3),
            domain: (*domain).into(),
            slots: 2,
            draining: false,
            warmup_left: Duration::ZERO,
            started_ms: 0,
            sequence: 0,
        };
        upstreams.entry((*service).into()).or_default().push(Arc::new(upstream));
    }
    view.upstreams = upstreams;
    view
}

fn names(view: &View, domain: &str) -> Vec<Box<str>> {
    advertised_hosts(view, Some(domain)).iter().map(|host| host.name.clone()).collect()
}

const REPLICAS_IN_BOTH: [(&str, &str); 4] =
    [("shard-0", "a"), ("shard-1", "a"), ("shard-0", "b"), ("shard-1", "b")];

#[test]
fn hosts_of_the_callers_failure_domain_are_advertised() {
    let hosts = ["a1", "a2", "a3"].map(|name| (name, "a", 1.0));
    let others = ["b1", "b2", "b3"].map(|name| (name, "b", 1.0));
    let view = view(&[hosts, others].concat(), &REPLICAS_IN_BOTH);
    assert_eq!(names(&view, "a"), ["a1".into(), "a2".into(), "a3".into()]);
    assert_eq!(names(&view, "b"), ["b1".into(), "b2".into(), "b3".into()]);
}

#[test]
fn too_few_local_hosts_are_supplemented_by_remote_hosts() {
    let view = view(&[("a1", "a", 1.0), ("b1", "b", 1.0), ("b2", "b", 1.0)], &REPLICAS_IN_BOTH);
    assert_eq!(names(&view, "a").len(), 3);
}

#[test]
fn hosts_of_a_domain_without_replicas_are_not_advertised() {
    let hosts = ["a1", "a2", "a3"].map(|name| (name, "a", 1.0));
    let others = ["c1", "c2", "c3"].map(|name| (name, "c", 1.0));
    let view = view(&[hosts, others].concat(), &REPLICAS_IN_BOTH);
    assert_eq!(names(&view, "c"), ["a1".into(), "a2".into(), "a3".into()]);
}

/// Regression test: weak hosts got all callers of a failure domain while the strong hosts of that
/// domain were missing from the view for a moment. Found by `trouble-1 --seed 298366389806` on
/// towpath-search-grown.
#[test]
fn weak_hosts_are_not_advertised_while_other_domains_have_strong_hosts() {
    let weak = ["a1", "a2", "a3"].map(|name| (name, "a", 0.12));
    let strong = ["b1", "b2", "b3"].map(|name| (name, "b", 0.5));
    let view = view(&[weak, strong].concat(), &REPLICAS_IN_BOTH);
    assert_eq!(names(&view, "a"), ["b1".into(), "b2".into(), "b3".into()]);
}

#[test]
fn hosts_of_an_evacuated_domain_are_advertised_only_without_others() {
    let hosts = [("a1", "a", 1.0), ("b1", "b", 1.0)];
    let mut view = view(&hosts, &REPLICAS_IN_BOTH);
    view.evacuated.insert("a".into());
    assert_eq!(names(&view, "a"), ["b1".into()]);
    view.evacuated.insert("b".into());
    assert_eq!(names(&view, "a").len(), 2);
}
