//! Queries whose parts come through a relay in another failure domain.

mod support;

use std::time::Duration;

use standin::{Fault, Shard};
use support::{HOST, Node, World, record, until};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const NEAR: [&str; 3] = ["shard-0@perth-1", "shard-1@perth-1", "shard-2@perth-1"];

/// Starts a host without upstreams in its own domain, and a relay beside some of them.
async fn pair(world: &World) -> (Node, Node) {
    let relay = Node::ready_in("perth-1", "relay", world).await;
    let node = Node::ready_in("perth-3", "origin", world).await;
    until("the relay is known", || async {
        check(&node, "warm").await;
        has(&node, "orders_total 0").await.is_none()
    })
    .await;
    (node, relay)
}

async fn has(node: &Node, text: &str) -> Option<()> {
    node.metrics().await.lines().any(|line| line.ends_with(text)).then_some(())
}

/// Returns the lines of the metrics that count orders sent.
async fn orders(node: &Node) -> Vec<String> {
    let text = node.metrics().await;
    text.lines().filter(|line| line.contains("orders_total")).map(Into::into).collect()
}

/// Asks for all shards and checks that the answer is whole and right.
async fn check(node: &Node, id: &str) {
    let answer = node.get("/all/x", id).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["missing-parts"], "0");
    let stamps = answer.headers()["part-stamps"].to_str().expect("text");
    assert_eq!(stamps.split(", ").count(), 3, "{stamps}");
    let body = answer.bytes().await.expect("a body");
    assert_eq!(body.as_ref(), [record(102), record(101), record(100), record(2)].concat());
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_another_domain_come_through_its_relay() {
    let world = World::start().await;
    let (node, relay) = pair(&world).await;
    check(&node, "q1").await;
    assert_eq!(world.ran("q1"), 3);
    assert!(has(&relay, "orders_taken_total 0").await.is_none());
    let runs = world.shards.values().flat_map(Shard::runs).filter(|run| &*run.id == "q1");
    assert!(runs.into_iter().all(|run| &*run.line == "GET /all/x HTTP/1.1"));
}

/// Pattern: one replica pauses while its part is one of a relay's.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_behind_a_relay_is_hedged_and_counts_once() {
    let world = World::start().await;
    let (node, _relay) = pair(&world).await;
    world.shards["shard-1@perth-1"].set_fault(Fault::Silent);
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
    assert!(world.arrivals("shard-1@perth-2") > 0);
}

/// Pattern: hedges are faster than the relay's batch, whose records then must not count twice.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_a_hedge_and_the_relay_bring_counts_once() {
    let world = World::start().await;
    let (node, _relay) = pair(&world).await;
    for id in NEAR {
        world.shards[id].set_work(Duration::from_millis(300));
    }
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_behind_a_relay_goes_to_another_upstream() {
    let world = World::start().await;
    let (node, _relay) = pair(&world).await;
    world.shards["shard-2@perth-1"].set_fault(Fault::Shed);
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
}

/// Pattern: a relay that leaves, or is gone, between two queries.
#[tokio::test(flavor = "multi_thread")]
async fn relay_that_is_gone_costs_no_part() {
    let world = World::start().await;
    let (node, relay) = pair(&world).await;
    let stopping = relay.stop();
    for number in 0..20 {
        check(&node, &format!("q{number}")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    stopping.join().expect("the relay stops");
    check(&node, "after").await;
}

/// Pattern: a host freezes while it is a relay; its socket still takes connections.
#[tokio::test(flavor = "multi_thread")]
async fn relay_that_is_silent_costs_no_part() {
    let world = World::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let entry = format!(
        "{{\"domain\":\"perth-1\",\"front\":\"{address}\",\"peer\":\"{address}\",\
         \"relay\":\"{address}\",\"power\":1}}"
    );
    world.kv.put("hosts/frozen", entry.as_bytes());
    let node = Node::ready_in("perth-3", "origin", &world).await;
    until("an order was sent", || async {
        check(&node, "warm").await;
        has(&node, "orders_total 0").await.is_none()
    })
    .await;
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_takes_its_order_along() {
    let world = World::start().await;
    let (node, relay) = pair(&world).await;
    for shard in world.shards.values() {
        shard.set_work(Duration::from_secs(3_600));
    }
    let request = format!("GET /all/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: gone\r\n\r\n");
    let mut stream = TcpStream::connect(node.front).await.expect("the host listens");
    stream.write_all(request.as_bytes()).await.expect("the host reads");
    until("the query runs", || async { world.ran("gone") >= 3 }).await;
    drop(stream);
    until("the relay gives up", || async {
        relay.metrics().await.lines().any(|line| line.contains("\"abandoned\"} 3"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn order_that_is_malformed_runs_nothing() {
    let world = World::start().await;
    let relay = Node::ready_in("perth-1", "relay", &world).await;
    let url = format!("http://{}/all/x", relay.relay);
    let call = |order: &'static str, deadline: &'static str| {
        let call = support::client().get(&url).header("host", HOST).header("request-id", "bad");
        call.header("pistachio-parts", order).header("deadline-ms", deadline)
    };
    for (order, deadline, status) in [
        ("", "100", 400),
        ("10;4", "100", 400),
        ("10;4;shard-0@perth-1", "soon", 400),
        ("10;4;nobody", "100", 200),
    ] {
        let answer = call(order, deadline).send().await.expect("the relay answers");
        assert_eq!(answer.status(), status, "{order}");
    }
    assert_eq!(world.ran("bad"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn query_by_head_uses_no_relay() {
    let world = World::start().await;
    let (node, _relay) = pair(&world).await;
    let before = orders(&node).await;
    node.call(reqwest::Method::HEAD, "/all/x", "head").send().await.expect("an answer");
    assert_eq!(orders(&node).await, before);
}

/// A caller may use any header, also the one that hosts use among themselves.
#[tokio::test(flavor = "multi_thread")]
async fn order_of_a_caller_is_an_ordinary_header() {
    let world = World::start().await;
    let (node, _relay) = pair(&world).await;
    let before = orders(&node).await;
    let call = node.call(reqwest::Method::GET, "/all/x", "own");
    let answer = call.header("pistachio-parts", "1;1;nobody").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["missing-parts"], "0");
    assert_eq!(world.ran("own"), 3);
    assert_eq!(orders(&node).await, before, "the header would be lost at a relay");
}
