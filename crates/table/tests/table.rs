//! Lookup of routes by host and longest prefix, views, and the distribution of traffic splits.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use table::{Gather, Resource, Route, Share, Split, Table, Target, Upstream, View};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route::builder(name, host, prefix).target(Target::Service(name.into())).build()
}

fn table() -> Table {
    Table::builder(3)
        .route(route("short", "a.example", "/x/"))
        .route(route("long", "a.example", "/x/y/"))
        .route(route("other", "b.example", "/x/"))
        .build()
}

fn route_name<'a>(table: &'a Table, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|route| &*route.name)
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table();
    assert_eq!(route_name(&table, "a.example", "/x/y/z"), Some("long"));
    assert_eq!(route_name(&table, "a.example", "/x/z"), Some("short"));
    assert_eq!(route_name(&table, "b.example", "/x/y/z"), Some("other"));
    assert_eq!(route_name(&table, "a.example", "/y/"), None);
    assert_eq!(route_name(&table, "c.example", "/x/"), None);
}

#[test]
fn port_and_letter_case_of_the_host_are_ignored() {
    let table = table();
    assert_eq!(route_name(&table, "A.Example:8080", "/x/z"), Some("short"));
}

#[test]
fn prefix_with_trailing_slash_does_not_match_a_longer_segment() {
    let table = table();
    assert_eq!(route_name(&table, "a.example", "/x"), None);
    assert_eq!(route_name(&table, "a.example", "/xy/"), None);
}

#[test]
fn minimum_number_of_shards_is_not_rounded_down() {
    let gather = |shards: usize, min_shard_ratio| Gather {
        shards: (0..shards).map(|shard| shard.to_string().into()).collect(),
        top_k: 5,
        min_shard_ratio,
    };
    assert_eq!(gather(20, 0.89).min_shards(), 18);
    assert_eq!(gather(20, 0.95).min_shards(), 19);
    assert_eq!(gather(20, 0.75).min_shards(), 15);
    assert_eq!(gather(3, 0.0).min_shards(), 1);
    assert_eq!(gather(3, 1.0).min_shards(), 3);
}

fn upstream(id: &str, domain: &str, draining: bool) -> Resource {
    Resource::Upstream(Arc::new(Upstream {
        id: id.into(),
        service: "faults".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: domain.into(),
        slots: 2,
        draining,
        warmup_left: Duration::ZERO,
        started_ms: 0,
        sequence: 0,
    }))
}

#[test]
fn view_omits_draining_upstreams_and_evacuated_domains() {
    let resources = [
        upstream("a", "perth-1", false),
        upstream("b", "perth-1", true),
        upstream("c", "perth-2", false),
        Resource::DomainEvacuated("perth-2".into()),
        Resource::Unusable,
    ];
    let view = View::new(resources.iter(), |upstream| upstream.draining);
    let ids: Vec<&str> = view.upstreams_of("faults").iter().map(|upstream| &*upstream.id).collect();
    assert_eq!(ids, ["a"]);
    assert_matches!(view.table, None);
}

#[test]
fn split_without_positive_weight_chooses_no_service() {
    let shares = [Share { service: "a".into(), weight: 0.0 }];
    assert_eq!(Split::default().next(&shares), None);
    assert_eq!(Split::default().next(&[]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn split_follows_its_weights(
        weights in proptest::collection::vec(0.05_f64..1.0, 1..5),
        requests in 1_usize..400,
    ) {
        let shares: Vec<Share> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| Share { service: index.to_string().into(), weight: *weight })
            .collect();
        let total: f64 = weights.iter().sum();
        let mut split = Split::default();
        let mut counts = vec![0.0; weights.len()];
        for _ in 0..requests {
            counts[split.next(&shares).expect("all weights are positive")] += 1.0;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let expected = requests as f64 * weight / total;
            prop_assert!(
                (count - expected).abs() <= weights.len() as f64,
                "{count} requests, expected {expected}"
            );
        }
    }
}
