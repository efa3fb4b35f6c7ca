//! Queries whose parts are sent through a relay in another failure domain.

mod support;

use std::time::Duration;

use standin::{Fault, Shard};
use support::{HOST, Node, World, record, until};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const RELAY_LOCAL: [&str; 3] = ["shard-0@perth-1", "shard-1@perth-1", "shard-2@perth-1"];

/// Starts a host without upstreams in its own domain, and a relay in the domain of some upstreams.
async fn start_pair(world: &World) -> (Node, Node) {
    let relay = Node::ready_in("perth-1", "relay", world).await;
    let node = Node::ready_in("perth-3", "origin", world).await;
    until("the relay is known", || async {
        check(&node, "warm").await;
        has_metric(&node, "orders_total 0").await.is_none()
    })
    .await;
    (node, relay)
}

async fn has_metric(node: &Node, text: &str) -> Option<()> {
    node.metrics().await.lines().any(|line| line.ends_with(text)).then_some(())
}

/// Returns the metrics lines that count relay requests.
async fn relay_requests(node: &Node) -> Vec<String> {
    let text = node.metrics().await;
    text.lines().filter(|line| line.contains("orders_total")).map(Into::into).collect()
}

/// Queries all shards and checks that the answer is complete and correct.
async fn check(node: &Node, id: &str) {
    let answer = node.get("/all/x", id).await;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let body = answer.bytes().await.expect("a body");
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    assert_eq!(headers["missing-parts"], "0");
    let stamps = headers["part-stamps"].to_str().expect("text");
    assert_eq!(stamps.split(", ").count(), 3, "{stamps}");
    assert_eq!(body.as_ref(), [record(102), record(101), record(100), record(2)].concat());
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_another_domain_are_sent_through_its_relay() {
    let world = World::start().await;
    let (node, relay) = start_pair(&world).await;
    check(&node, "q1").await;
    assert_eq!(world.ran("q1"), 3);
    assert!(has_metric(&relay, "orders_taken_total 0").await.is_none());
    let runs = world.shards.values().flat_map(Shard::runs).filter(|run| &*run.id == "q1");
    assert!(runs.into_iter().all(|run| &*run.line == "GET /all/x HTTP/1.1"));
}

/// One replica does not answer while its part is requested through a relay.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_behind_a_relay_is_hedged_and_counted_once() {
    let world = World::start().await;
    let (node, _relay) = start_pair(&world).await;
    world.shards["shard-1@perth-1"].set_fault(Fault::Silent);
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
    assert!(world.arrivals("shard-1@perth-2") > 0);
}

/// Hedges are faster than the batch of the relay, whose records must not be counted twice then.
#[tokio::test(flavor = "multi_thread")]
async fn part_answered_by_a_hedge_and_the_relay_counts_once() {
    let world = World::start().await;
    let (node, _relay) = start_pair(&world).await;
    for id in RELAY_LOCAL {
        world.shards[id].set_service_time(Duration::from_millis(300));
    }
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn part_refused_behind_a_relay_is_retried_at_another_upstream() {
    let world = World::start().await;
    let (node, _relay) = start_pair(&world).await;
    world.shards["shard-2@perth-1"].set_fault(Fault::Shed);
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
}

/// A relay shuts down, or has ended, between two queries.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_relay_loses_no_part() {
    let world = World::start().await;
    let (node, relay) = start_pair(&world).await;
    let stopping = relay.stop();
    for number in 0..20 {
        check(&node, &format!("q{number}")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    stopping.join().expect("the relay stops");
    check(&node, "after").await;
}

/// A relay host freezes; its socket still accepts connections.
#[tokio::test(flavor = "multi_thread")]
async fn silent_relay_loses_no_part() {
    let world = World::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let entry = format!(
        "{{\"domain\":\"perth-1\",\"front\":\"{address}\",\"peer\":\"{address}\",\
         \"relay\":\"{address}\",\"power\":1}}"
    );
    world.kv.put("hosts/frozen", entry.as_bytes());
    let node = Node::ready_in("perth-3", "origin", &world).await;
    until("a relay request was sent", || async {
        check(&node, "warm").await;
        has_metric(&node, "orders_total 0").await.is_none()
    })
    .await;
    for number in 0..5 {
        check(&node, &format!("q{number}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_its_relay_request() {
    let world = World::start().await;
    let (node, relay) = start_pair(&world).await;
    for shard in world.shards.values() {
        shard.set_service_time(Duration::from_secs(3_600));
    }
    let request = format!("GET /all/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: gone\r\n\r\n");
    let mut stream = TcpStream::connect(node.front).await.expect("the host listens");
    stream.write_all(request.as_bytes()).await.expect("the host reads");
    until("the query runs", || async { world.ran("gone") >= 3 }).await;
    drop(stream);
    until("the relay abandons its attempts", || async {
        relay.metrics().await.lines().any(|line| line.contains("\"abandoned\"} 3"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_relay_request_runs_nothing() {
    let world = World::start().await;
    let relay = Node::ready_in("perth-1", "relay", &world).await;
    let url = format!("http://{}/all/x", relay.relay);
    let call = |parts: &'static str, deadline: &'static str| {
        let call = support::client().get(&url).header("host", HOST).header("request-id", "bad");
        call.header("pistachio-parts", parts).header("deadline-ms", deadline)
    };
    for (parts, deadline, status) in [
        ("", "100", 400),
        ("10;4", "100", 400),
        ("10;4;shard-0@perth-1", "soon", 400),
        ("10;4;nobody", "100", 200),
    ] {
        let answer = call(parts, deadline).send().await.expect("the relay answers");
        assert_eq!(answer.status(), status, "{parts}");
    }
    assert_eq!(world.ran("bad"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn query_with_the_head_method_uses_no_relay() {
    let world = World::start().await;
    let (node, _relay) = start_pair(&world).await;
    let before = relay_requests(&node).await;
    node.call(reqwest::Method::HEAD, "/all/x", "head").send().await.expect("an answer");
    assert_eq!(relay_requests(&node).await, before);
}

/// Callers may send any header, also the one that relay requests use.
#[tokio::test(flavor = "multi_thread")]
async fn relay_header_of_a_caller_is_forwarded_as_an_ordinary_header() {
    let world = World::start().await;
    let (node, _relay) = start_pair(&world).await;
    let before = relay_requests(&node).await;
    let call = node.call(reqwest::Method::GET, "/all/x", "own");
    let answer = call.header("pistachio-parts", "1;1;nobody").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["missing-parts"], "0");
    assert_eq!(world.ran("own"), 3);
    assert_eq!(relay_requests(&node).await, before, "a relay would remove the header");
}
