//! Changes of configurations, upstreams and hosts, and failures of the store.

mod support;

use std::time::Duration;

use standin::{Fault, Kv, StoreFault};
use support::{HOST, Node, World, client, until};

/// Number of hosts that start at once.
const HOSTS: usize = 24;

#[tokio::test(flavor = "multi_thread")]
async fn new_configuration_applies_and_does_not_revert() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.configure(8);
    until("the route is gone", || async { node.get("/one/x", "c1").await.status() == 404 }).await;
    for number in 0..20 {
        assert_eq!(node.get("/one/x", &format!("c{number}")).await.status(), 404);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries_change_nothing() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.kv.put("op/config", b"{\"version\":9,\"routes\":7}");
    world.kv.put("servers/forged", b"\xff\xfe not text");
    world.kv.put("servers/odd", b"{\"service\":\"single\"}");
    let address = "\"127.0.0.1:9\"";
    let marker = format!("{{\"domain\":\"x\",\"front\":{address},\"peer\":{address},\"power\":1}}");
    world.kv.put("hosts/marker", marker.as_bytes());
    let url = format!("http://{}/pistachiorock/resolve?zone=x", node.directory);
    let marker_listed = || async {
        let answer = support::client().get(&url).send().await.expect("the host answers");
        answer.text().await.expect("text").contains("127.0.0.1:9\"")
    };
    until("the host has applied the entries after the invalid ones", marker_listed).await;
    assert_eq!(node.get("/one/x", "c1").await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_domain_gets_no_requests_until_it_returns() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.kv.put("op/evacuate/perth-1", b"{}");
    let ids = ["shard-0@perth-1", "shard-1@perth-1", "shard-2@perth-1", "single@perth-1"];
    let total = || ids.iter().map(|id| world.arrivals(id)).sum::<usize>();
    let is_unused = || async {
        let before = total();
        assert_eq!(node.get("/all/x", "o1").await.status(), 200);
        total() == before
    };
    until("the domain gets no more requests", is_unused).await;
    let before = total();
    for _ in 0..10 {
        assert_eq!(node.get("/all/x", "o2").await.status(), 200);
    }
    assert_eq!(total(), before);
    world.kv.remove("op/evacuate/perth-1");
    until("the domain gets requests again", || async {
        node.get("/all/x", "o3").await;
        total() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_more_requests() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.register("single@perth-1", "draining");
    let is_unused = || async {
        let before = world.arrivals("single@perth-1");
        node.get("/one/x", "d1").await;
        world.arrivals("single@perth-1") == before
    };
    until("the upstream gets no more requests", is_unused).await;
    let before = world.arrivals("single@perth-1");
    for _ in 0..10 {
        assert_eq!(node.get("/one/x", "d2").await.status(), 200);
    }
    assert_eq!(world.arrivals("single@perth-1"), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn host_refuses_requests_until_it_has_a_configuration() {
    let world = World::start().await;
    world.kv.set_fault(StoreFault::Busy);
    let node = Node::start("a", world.kv.address(), &[]);
    let answer = node.get("/one/x", "s1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(!node.is_ready().await);
    world.kv.set_fault(StoreFault::None);
    node.wait_ready().await;
    assert_eq!(node.get("/one/x", "s2").await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn host_that_starts_during_a_store_outage_reads_from_a_seed() {
    let world = World::start().await;
    let first = Node::ready("a", &world).await;
    for fault in [StoreFault::Silent, StoreFault::Busy] {
        world.kv.set_fault(fault);
        let second = Node::start("b", world.kv.address(), &[first.peer]);
        second.wait_ready().await;
        assert_eq!(second.get("/all/x", "p1").await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_does_not_interrupt_service() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Losing] {
        world.kv.set_fault(fault);
        for number in 0..5 {
            assert_eq!(node.get("/all/x", &format!("u{number}")).await.status(), 200);
        }
    }
    world.kv.set_fault(StoreFault::None);
    world.configure(8);
    until("changes apply again", || async { node.get("/one/x", "u9").await.status() == 404 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_are_read_again_after_the_history_is_compacted() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.register("single@perth-1", "draining");
    world.kv.compact();
    world.configure(8);
    until("the route is gone", || async { node.get("/one/x", "h1").await.status() == 404 }).await;
    world.kv.compact();
    world.configure(9);
    until("the route is back", || async { node.get("/one/x", "h2").await.status() == 200 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn own_entry_is_written_again_after_it_expired() {
    let world = World::start().await;
    let _node = Node::ready("a", &world).await;
    let registered = |kv: &Kv| kv.keys("hosts/") == ["hosts/a".into()];
    until("the host is registered", || async { registered(&world.kv) }).await;
    world.kv.expire_leases();
    assert!(!registered(&world.kv));
    until("the host is registered again", || async { registered(&world.kv) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_host_of_a_domain_follows_the_first() {
    let world = World::start().await;
    let _first = Node::ready("a", &world).await;
    let second = Node::ready("b", &world).await;
    until("both hosts are registered", || async { world.kv.keys("hosts/").len() == 2 }).await;
    let url = format!("http://{}/pistachiorock/resolve?zone=perth-1", second.directory);
    let both = || async {
        let answer = support::client().get(&url).send().await.expect("the host answers");
        let body: serde_json::Value = answer.json().await.expect("JSON");
        body["addrs"].as_array().is_some_and(|addresses| addresses.len() == 2)
    };
    until("the directory lists both hosts", both).await;
    world.configure(8);
    until("the change applies", || async { second.get("/one/x", "f1").await.status() == 404 })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_host_completes_its_requests() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    until("the host is registered", || async { world.kv.keys("hosts/").len() == 1 }).await;
    world.of("single").iter().for_each(|shard| shard.set_service_time(Duration::from_millis(300)));
    let pending = node.call(reqwest::Method::GET, "/once/x", "end").send();
    let pending = tokio::spawn(pending);
    until("the request is running", || async { world.ran("end") == 1 }).await;
    let readiness = format!("http://{}/pistachiorock/ready", node.readiness);
    let thread = node.stop();
    let answer = support::client().get(readiness).send().await.expect("the host answers");
    assert_eq!(answer.status(), 503);
    let answer = pending.await.expect("the task ends").expect("the answer arrives");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    until("the host is no longer registered", || async { world.kv.keys("hosts/").is_empty() })
        .await;
    tokio::task::spawn_blocking(|| thread.join())
        .await
        .expect("the thread is joined")
        .expect("no panic");
}

#[tokio::test(flavor = "multi_thread")]
async fn start_error_names_an_address_in_use() {
    let world = World::start().await;
    let text = support::settings("a", world.kv.address(), &[]);
    let settings = platform::Settings::parse("test", &text).expect("complete settings");
    let taken = std::net::TcpListener::bind(settings.front).expect("the address is free");
    let mut process = kernel::Process::new("test");
    let front = settings.front;
    let options = node::Options { metrics_port: 1, ..node::Options::default() };
    let error = node::start(settings, &options, &mut process).expect_err("the address is in use");
    assert!(error.to_string().contains(&front.to_string()), "{error}");
    drop(taken);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_cause_no_calls_to_the_store() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.shards["single@perth-1"].set_fault(Fault::Shed);
    until("the host is registered", || async { world.kv.keys("hosts/").len() == 1 }).await;
    let before = world.kv.calls();
    for number in 0..50 {
        node.get("/all/x", &format!("n{number}")).await;
    }
    assert!(world.kv.calls() - before < 25, "requests must not cause calls to the store");
}

/// Guards against callers that wait in vain, or retry too early, when a query needs shards whose
/// upstreams are all cold, as after the return of a failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn query_that_needs_cold_shards_is_refused_with_the_time_until_they_are_warm() {
    let world = World::start().await;
    // Only the host that ranks first for a cold upstream sends to it. A host of the upstream's own
    // domain ranks first, so the host in perth-3 must refuse.
    let first = Node::ready_in("perth-1", "near", &world).await;
    let second = Node::ready_in("perth-2", "other", &world).await;
    let node = Node::ready_in("perth-3", "far", &world).await;
    let hosts = || async { world.kv.keys("hosts/").len() == 3 };
    until("all hosts are registered", hosts).await;
    for shard in ["shard-0", "shard-1"] {
        for domain in ["perth-1", "perth-2"] {
            world.register_cold(&format!("{shard}@{domain}"), 60_000);
        }
    }
    let refused = || async {
        let answer = node.get("/all/x", "cold").await;
        let text = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let wait = text.and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
        answer.status() == 503 && wait > 30.0
    };
    until("the query is refused until its shards are warm", refused).await;
    drop((first, second));
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_report_of_a_crash_is_rejected() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    for query in ["", "?request=1&attempt=2", "?request=x&attempt=2&crashes=1"] {
        let url = format!("http://{}/crashes{query}", node.peer);
        let answer = client().post(url).send().await.expect("the host answers");
        assert_eq!(answer.status(), 400, "{query}");
    }
    assert!(world.kv.keys("crashes/").is_empty());
}

/// Guards against a host that is ready before its traffic thread has the configuration, so that it
/// refuses the callers that come at once.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_is_ready_serves_the_first_request() {
    let world = World::start().await;
    let host = async |number: usize| {
        let node = Node::start(&format!("host-{number}"), world.kv.address(), &[]);
        let client = client();
        let call = |id: &str| {
            let call = client.get(format!("http://{}/one/x", node.front)).header("host", HOST);
            call.header("request-id", id).header("deadline-ms", "4000").send()
        };
        let ready = format!("http://{}/pistachiorock/ready", node.readiness);
        // Both connections are open when the host becomes ready.
        call("early").await.expect("an answer");
        while client.get(&ready).send().await.expect("an answer").status() != 200 {}
        let answer = call("first").await.expect("an answer");
        assert_eq!(answer.status(), 200, "{}", answer.text().await.expect("a cause"));
    };
    futures::future::join_all((0..HOSTS).map(host)).await;
}
