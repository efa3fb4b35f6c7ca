//! Requests that crash each upstream that runs them.

mod support;

use std::time::Duration;

use reqwest::Method;
use standin::{Fault, Impairment, Proxy, Shard, StoreFault};
use support::{Node, World, until};

/// Part of the path of the request that crashes upstreams.
const CRASHING: &str = "crashing";

/// Number of shards of the queries, each with two replicas.
const SHARDS: usize = 3;

/// Number of crashes after which hosts must stop sending the request.
const MAX_CRASHES: usize = 3;

/// Maximum number of further runs by the platform's rule, once hosts had time to tell each other.
const MAX_LATER_RUNS: usize = 3;

/// Time that hosts have to tell each other of a crash, half of what the platform grants.
const REACTION_TIME: Duration = Duration::from_secs(2);

/// Time in which all connections of a crashed upstream are closed.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Starts a world with `count` upstreams of the service `single`, all of which crash at the request.
async fn start(count: usize) -> World {
    let mut world = World::start().await;
    for domain in 3..=count {
        world.add("single", &format!("perth-{domain}"), b"whole body").await;
    }
    world.shards.values().for_each(|shard| shard.set_crash_on(CRASHING));
    world
}

/// Returns the number of crashes of the upstreams of all shards.
fn shard_crashes(world: &World) -> usize {
    (0..SHARDS).map(|shard| crashes(world, &format!("shard-{shard}"))).sum()
}

fn crashes(world: &World, service: &str) -> usize {
    world.of(service).into_iter().map(Shard::crashes).sum()
}

/// Sends the request that crashes upstreams to a host.
async fn send(node: &Node, id: &str) -> reqwest::Response {
    let call = node.call(Method::POST, "/once/crashing", id).body("same");
    call.send().await.expect("an answer")
}

/// Crashes an upstream through each host.
async fn crash_through(world: &World, nodes: &[Node]) {
    for (number, node) in nodes.iter().enumerate() {
        let id = format!("first-{number}-{}", crashes(world, "single"));
        assert_eq!(send(node, &id).await.status(), 502);
        // Until all connections of the upstream are closed, the next request may meet one of them.
        tokio::time::sleep(CLOSE_TIME).await;
    }
}

/// Waits until the directory of each host names all of them, so that callers may use any.
async fn until_known(nodes: &[&Node]) {
    for node in nodes {
        until("the directory names all hosts", || async { node.advertised().await == nodes.len() })
            .await;
    }
}

/// Waits until a host refuses the request.
async fn until_refused(node: &Node) {
    until("the request is refused", || async {
        let answer = send(node, "again").await;
        answer.status() == 503 && answer.headers().contains_key("retry-after")
    })
    .await;
}

/// Guards against a request that crashes one upstream after the other because each host, and each
/// repetition, sends it on again.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_upstreams_is_refused_by_all_hosts() {
    let world = start(9).await;
    let nodes = [
        Node::ready("a", &world).await,
        Node::ready("b", &world).await,
        Node::ready_in("perth-2", "c", &world).await,
    ];
    crash_through(&world, &nodes).await;
    assert_eq!(crashes(&world, "single"), MAX_CRASHES);
    tokio::time::sleep(REACTION_TIME).await;
    for number in 0..4 {
        for node in &nodes {
            let id = format!("later-{}-{number}", node.front);
            let answer = send(node, &id).await;
            assert!([502, 503].contains(&answer.status().as_u16()), "{}", answer.status());
            let refused = answer.status() == 503;
            assert_eq!(refused, answer.headers().contains_key("retry-after"));
            assert_eq!(world.ran(&id), usize::from(!refused));
        }
    }
    let later = crashes(&world, "single") - MAX_CRASHES;
    assert!(later <= MAX_LATER_RUNS, "{later} more upstreams crashed");
    let other = nodes[0].call(Method::POST, "/once/crashing", "other").body("another body");
    assert_eq!(other.send().await.expect("an answer").status(), 502, "another request is sent on");
    assert_eq!(nodes[1].get("/one/x", "well").await.status(), 200);
}

/// Guards against a query that crashes all replicas of all shards, because each part that breaks
/// off is sent to the next replica, and the next host does the same.
#[tokio::test(flavor = "multi_thread")]
async fn query_that_crashes_upstreams_spares_the_other_replicas() {
    let world = start(2).await;
    let nodes = [
        Node::ready("a", &world).await,
        Node::ready("b", &world).await,
        Node::ready_in("perth-3", "c", &world).await,
    ];
    for (number, node) in nodes.iter().cycle().take(9).enumerate() {
        let answer = node.get("/all/crashing", &format!("q{number}")).await;
        assert!([503, 504].contains(&answer.status().as_u16()), "{}", answer.status());
        tokio::time::sleep(REACTION_TIME / 4).await;
    }
    let crashed = shard_crashes(&world);
    assert!(crashed <= SHARDS + 2, "{crashed} of 6 upstreams crashed");
    until("other queries are answered", || async {
        nodes[2].get("/all/well", "well").await.status() == 200
    })
    .await;
}

/// Guards against a restarted host that sends the request on again, because only the others know
/// of the crashes.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_refused_by_a_host_that_was_started_later() {
    let world = start(6).await;
    let nodes = [Node::ready("a", &world).await, Node::ready("b", &world).await];
    crash_through(&world, &nodes).await;
    crash_through(&world, &nodes[..1]).await;
    until_refused(&nodes[1]).await;
    for node in nodes {
        node.stop().join().expect("the host stops");
    }
    let before = crashes(&world, "single");
    let node = Node::ready("a", &world).await;
    until_refused(&node).await;
    assert_eq!(crashes(&world, "single"), before);
}

/// Guards against reports that are lost because the store is away while upstreams crash.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_reported_after_an_outage_of_the_store() {
    let world = start(6).await;
    let nodes = [
        Node::ready("a", &world).await,
        Node::ready("b", &world).await,
        Node::ready("c", &world).await,
    ];
    world.kv.set_fault(StoreFault::Losing);
    crash_through(&world, &nodes).await;
    tokio::time::sleep(REACTION_TIME).await;
    world.kv.set_fault(StoreFault::None);
    until("all crashes are in the store", || async { world.kv.keys("crashes/").len() == 3 }).await;
    let before = crashes(&world, "single");
    tokio::time::sleep(REACTION_TIME).await;
    for node in &nodes {
        until_refused(node).await;
    }
    assert_eq!(crashes(&world, "single"), before);
}

/// Guards against crashes that only a host without a way to the store has seen.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_at_a_host_without_the_store_are_reported_by_another() {
    let world = start(6).await;
    let store = Proxy::start(world.kv.address()).await.expect("the proxy starts");
    let nodes = [Node::start("z", store.address(), &[]), Node::ready("a", &world).await];
    nodes[0].wait_ready().await;
    until("both hosts are known", || async { world.kv.keys("hosts/").len() == 2 }).await;
    tokio::time::sleep(REACTION_TIME / 2).await;
    store.set(Impairment::Cut);
    for _ in 0..MAX_CRASHES {
        crash_through(&world, &nodes[..1]).await;
    }
    let before = crashes(&world, "single");
    tokio::time::sleep(REACTION_TIME).await;
    until_refused(&nodes[1]).await;
    assert_eq!(crashes(&world, "single"), before);
}

/// Guards against refusing a query because it was on the upstreams of a failure domain when another
/// request crashed them all.
#[tokio::test(flavor = "multi_thread")]
async fn query_on_crashed_upstreams_is_answered_when_it_comes_again() {
    let world = start(2).await;
    let node = Node::ready("a", &world).await;
    let local = world.shards.iter().filter(|(id, _)| id.ends_with("@perth-1"));
    local.for_each(|(_, shard)| shard.set_service_time(CLOSE_TIME));
    let all = ["/all/well", "/all/crashing"];
    let calls = all.map(|path| tokio::spawn(node.call(Method::GET, path, path).send()));
    for call in calls {
        call.await.expect("the task ends").expect("an answer");
    }
    assert_eq!(crashes(&world, "shard-0"), 1);
    for number in 0..3 {
        let answer = node.get("/all/well", &format!("again-{number}")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["missing-parts"], "0");
    }
}

/// Guards against refusing a request because answers to it were lost at upstreams that live on.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_live_upstreams_do_not_count_as_crashes() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.of("single").iter().for_each(|shard| shard.set_fault(Fault::Lose));
    for number in 0..2 * MAX_CRASHES {
        let id = format!("lost-{number}");
        let answer = node.call(Method::POST, "/once/x", &id).send().await.expect("an answer");
        assert_eq!((answer.status().as_u16(), world.ran(&id)), (502, 1));
    }
    tokio::time::sleep(REACTION_TIME).await;
    assert!(world.kv.keys("crashes/").is_empty());
    world.of("single").iter().for_each(|shard| shard.set_fault(Fault::None));
    let call = node.call(Method::POST, "/once/x", "answered");
    assert_eq!(call.send().await.expect("an answer").status(), 200);
}

/// Guards against a query that crashes one replica of each shard and, repeated at another host before
/// that has heard of it, the others. All upstreams are cold then, and nothing is served for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn query_that_is_repeated_at_another_host_spares_the_other_replicas() {
    let world = start(2).await;
    let first = Node::ready_in("perth-1", "a", &world).await;
    let second = Node::ready_in("perth-2", "b", &world).await;
    until_known(&[&first, &second]).await;
    let total = || shard_crashes(&world);
    first.get("/all/crashing", "first").await;
    tokio::time::sleep(CLOSE_TIME).await;
    let before = total();
    second.get("/all/crashing", "second").await;
    let probes = total() - before;
    assert!(probes <= 1, "{probes} more upstreams crashed after the first {before}");
}

/// Sends a query at all hosts at once and waits for the answers.
async fn send_at_once(nodes: &[Node], prefix: &str) -> Vec<u16> {
    let calls = nodes.iter().enumerate().map(|(number, node)| {
        let call = node.call(Method::GET, "/all/crashing", &format!("{prefix}-{number}"));
        tokio::spawn(call.send())
    });
    let mut statuses = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        statuses.push(call.await.expect("the task ends").expect("an answer").status().as_u16());
    }
    statuses
}

/// Guards against hosts that each send a probe at the same moment, because none has heard of the
/// crashes of the others' yet.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_comes_at_many_hosts_at_once_crashes_one_upstream_more() {
    let world = start(2).await;
    let mut nodes = Vec::new();
    for number in 0..4 {
        let domain = format!("perth-{}", number % 2 + 1);
        nodes.push(Node::ready_in(&domain, &format!("h{number}"), &world).await);
    }
    until_known(&nodes.iter().collect::<Vec<_>>()).await;
    let total = || shard_crashes(&world);
    nodes[0].get("/all/crashing", "first").await;
    let before = total();
    assert!(before <= 3, "{before} upstreams crashed during one query");
    for round in 0..3 {
        let statuses = send_at_once(&nodes, &format!("round-{round}")).await;
        assert!(statuses.iter().all(|status| [503, 504].contains(status)), "{statuses:?}");
    }
    assert!(total() <= before + 1, "{} more upstreams crashed", total() - before);
    until("other queries are answered", || async {
        nodes[2].get("/all/well", "well").await.status() == 200
    })
    .await;
}

/// Guards against a host that has restarted and knows nothing: it is told of the crashes with the
/// request that another host passes to it.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_host_learns_of_crashes_from_the_host_that_passes_the_request() {
    let world = start(2).await;
    let first = Node::ready_in("perth-1", "a", &world).await;
    let second = Node::ready_in("perth-2", "b", &world).await;
    until_known(&[&first, &second]).await;
    let total = || shard_crashes(&world);
    first.get("/all/crashing", "first").await;
    second.stop().join().expect("the host stops");
    let second = Node::ready_in("perth-2", "b", &world).await;
    until_known(&[&first, &second]).await;
    let before = total();
    for number in 0..4 {
        second.get("/all/crashing", &format!("second-{number}")).await;
        first.get("/all/crashing", &format!("third-{number}")).await;
    }
    assert!(total() <= before + 2, "{} more upstreams crashed", total() - before);
}
