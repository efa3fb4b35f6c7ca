//! Hosts that are cut off from upstreams, while callers, the store and other hosts reach them.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::Method;
use standin::{Impairment, Kv, Proxy};
use support::{Node, World, client, record, until};

/// Time that a host has to react, half of what the platform grants.
const REACTION_TIME: Duration = Duration::from_secs(2);

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which entries of hosts are copied between the stores.
const COPY_INTERVAL: Duration = Duration::from_millis(20);

/// One host whose way to each upstream leads through a proxy, and two others.
struct Hosts {
    world: World,
    /// The store as the proxied host sees it.
    store: Kv,
    proxied: Node,
    others: [Node; 2],
    /// The proxies before the upstreams, by the upstream's id.
    proxies: BTreeMap<Box<str>, Proxy>,
    next_id: AtomicUsize,
}

impl Hosts {
    async fn start() -> Self {
        let mut world = World::start().await;
        for service in ["shard-0", "shard-1", "shard-2", "single"] {
            world.add(service, "perth-3", &record(0)).await;
        }
        let store = Kv::start().await.expect("the store starts");
        let mut proxies = BTreeMap::new();
        for (id, shard) in &world.shards {
            let proxy = Proxy::start(shard.address()).await.expect("the proxy starts");
            let key = format!("servers/{id}");
            let entry = world.kv.get(&key).expect("the upstream is registered");
            let entry = String::from_utf8(entry.into()).expect("text");
            let (own, proxied) = (shard.address().to_string(), proxy.address().to_string());
            store.put(&key, entry.replace(&own, &proxied).as_bytes());
            proxies.insert(id.clone(), proxy);
        }
        store.put("op/config", &world.kv.get("op/config").expect("a configuration"));
        tokio::spawn(copy_hosts(world.kv.clone(), store.clone()));
        // In a failure domain of its own, no other host reads the store's updates from it.
        let proxied = Node::start_in("perth-3", "proxied", store.address());
        proxied.wait_ready().await;
        let others =
            [Node::ready("second", &world).await, Node::ready_in("perth-2", "third", &world).await];
        let hosts = Self { world, store, proxied, others, proxies, next_id: AtomicUsize::new(0) };
        until("all hosts are advertised", || async { hosts.advertised().await == 3 }).await;
        hosts
    }

    /// Returns how many hosts another host advertises.
    async fn advertised(&self) -> usize {
        let path = "pistachiorock/resolve?name=search.example&region=perth&zone=perth-1";
        let url = format!("http://{}/{path}", self.others[0].directory);
        let answer = client().get(url).send().await.expect("the host answers");
        let answer: serde_json::Value =
            serde_json::from_slice(&answer.bytes().await.expect("a body")).expect("JSON");
        answer["addrs"].as_array().map_or(0, Vec::len)
    }

    fn cut(&self, domain: &str, impairment: Impairment) {
        let cut = self.proxies.iter().filter(|(id, _)| id.ends_with(domain));
        cut.for_each(|(_, proxy)| proxy.set(impairment));
    }

    /// Sends requests of all kinds to the proxied host for the given time, and returns how many were
    /// served and how many were sent. Checks that none runs twice that must not.
    async fn call(&self, time: Duration) -> (usize, usize) {
        let kinds = [(Method::GET, "/all/x"), (Method::GET, "/one/x"), (Method::POST, "/once/x")];
        let mut calls = Vec::new();
        for number in 0..time.div_duration_f64(REQUEST_INTERVAL) as usize {
            let (method, path) = kinds[number % kinds.len()].clone();
            let id = format!("r{}", self.next_id.fetch_add(1, Ordering::Relaxed));
            let call = self.proxied.call(method, path, &id).send();
            calls.push((path, id, tokio::spawn(call)));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        let (mut served, sent) = (0, calls.len());
        for (path, id, call) in calls {
            let answer = call.await.expect("the task ends").expect("an answer");
            let status = answer.status().as_u16();
            served += usize::from(status == 200);
            let ran = self.world.ran(&id);
            if path == "/once/x" {
                assert!(ran <= 1, "{id} ran {ran} times");
            }
            if status == 503 {
                assert_eq!(ran, 0, "{id} ran although it was refused as not run");
            }
        }
        (served, sent)
    }
}

/// Copies the entries of hosts between two stores.
async fn copy_hosts(first: Kv, second: Kv) {
    loop {
        for (from, to) in [(&first, &second), (&second, &first)] {
            for key in from.keys("hosts/") {
                let own = key.ends_with("/proxied") == (from.address() == second.address());
                if let Some(value) = from.get(&key).filter(|_| own)
                    && to.get(&key).as_ref() != Some(&value)
                {
                    to.put(&key, &value);
                }
            }
        }
        tokio::time::sleep(COPY_INTERVAL).await;
    }
}

/// Guards against callers that are not served because their host, unlike the others, has lost the
/// way to all upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_host_without_upstreams_are_served_by_others() {
    let hosts = Hosts::start().await;
    assert_eq!(hosts.call(REACTION_TIME / 4).await, (25, 25));
    hosts.cut("", Impairment::Cut);
    hosts.call(REACTION_TIME).await;
    let (served, sent) = hosts.call(REACTION_TIME).await;
    assert!(served * 3 >= sent * 2, "{served} of {sent} requests were served");
    assert_eq!(hosts.advertised().await, 2);
    hosts.cut("", Impairment::None);
    until("the host is advertised again", || async { hosts.advertised().await == 3 }).await;
    hosts.call(REACTION_TIME / 4).await;
    assert_eq!(hosts.call(REACTION_TIME / 4).await, (25, 25));
}

/// Guards against giving up a host that has lost only some of its upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn host_with_some_upstreams_stays_advertised() {
    let hosts = Hosts::start().await;
    hosts.cut("@perth-2", Impairment::Cut);
    hosts.call(REACTION_TIME).await;
    assert_eq!(hosts.advertised().await, 3);
    let (served, sent) = hosts.call(REACTION_TIME / 2).await;
    assert_eq!(served, sent);
}

/// Guards against a configuration that reverts for callers of an isolated host, because the host that
/// serves them has an older one.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_host_forwards_to_no_host_with_an_older_configuration() {
    let hosts = Hosts::start().await;
    hosts.cut("", Impairment::Cut);
    hosts.call(REACTION_TIME).await;
    assert_eq!(hosts.proxied.get("/one/x", "before").await.status(), 200);
    // Only the isolated host hears of the next version, in which the route leads to another service.
    let config = hosts.store.get("op/config").expect("a configuration");
    let config = String::from_utf8(config.into()).expect("text");
    let next = config
        .replace("\"version\":7", "\"version\":8")
        .replace("\"service\":\"single\"", "\"service\":\"shard-0\"");
    hosts.store.put("op/config", next.as_bytes());
    until("the host has the next version", || async {
        let metrics = hosts.proxied.metrics().await;
        metrics.contains("config_version 8")
    })
    .await;
    tokio::time::sleep(REACTION_TIME / 4).await;
    for number in 0..10 {
        let answer = hosts.proxied.get("/one/x", &format!("after-{number}")).await;
        assert_ne!(answer.status(), 200, "no host that reaches upstreams has the version");
    }
}

/// Guards against a query that runs on more upstreams of a shard than its route allows, because it
/// is sent again through another host when its own host loses the upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn query_in_flight_at_an_isolated_host_fails_and_is_not_sent_again() {
    let hosts = Hosts::start().await;
    hosts.call(REACTION_TIME / 4).await;
    let shards = hosts.world.shards.values();
    shards.for_each(|shard| shard.set_service_time(REACTION_TIME * 2));
    let query = tokio::spawn(hosts.proxied.call(Method::GET, "/all/x", "in flight").send());
    tokio::time::sleep(REACTION_TIME / 4).await;
    hosts.cut("", Impairment::Cut);
    let answer = query.await.expect("the task ends").expect("an answer");
    assert_eq!(answer.status(), 502);
    for service in ["shard-0", "shard-1", "shard-2"] {
        let runs = hosts.world.of(service).into_iter().flat_map(standin::Shard::runs);
        let count = runs.filter(|run| &*run.id == "in flight").count();
        assert!((1..=2).contains(&count), "{service} ran the query {count} times");
    }
}
