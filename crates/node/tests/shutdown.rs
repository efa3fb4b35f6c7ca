//! Requests that reach a host during its graceful shutdown.

mod support;

use std::time::{Duration, Instant};

use reqwest::Method;
use support::{HOST, Node, World, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time until which a host with a grace period of two seconds serves requests of any length.
const OPEN_TIME: Duration = Duration::from_millis(900);

/// Guards against the loss of requests that a host took late in its shutdown (review/2).
#[tokio::test(flavor = "multi_thread")]
async fn request_that_arrives_late_in_a_shutdown_is_refused_unrun() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.of("single").iter().for_each(|shard| shard.set_service_time(Duration::from_secs(1)));
    let late = node.call(Method::POST, "/once/x", "late");
    let stopped = Instant::now();
    let thread = node.stop();
    tokio::time::sleep(OPEN_TIME + Duration::from_millis(30)).await;
    let answer = late.send().await.expect("the connection ends with an answer");
    assert_eq!(answer.status(), 503, "{:?} after the shutdown began", stopped.elapsed());
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(world.ran("late"), 0);
    join(thread).await;
}

/// Guards against requests in flight that are cut off without an answer when the grace period ends.
#[tokio::test(flavor = "multi_thread")]
async fn request_in_flight_at_the_end_of_a_shutdown_gets_an_answer() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.of("single").iter().for_each(|shard| shard.set_service_time(Duration::from_secs(10)));
    let running = tokio::spawn(node.call(Method::POST, "/once/x", "running").send());
    until("the request is running", || async { world.ran("running") == 1 }).await;
    let thread = node.stop();
    let answer = running.await.expect("the task ends").expect("the connection ends with an answer");
    assert!([502, 504].contains(&answer.status().as_u16()), "{}", answer.status());
    join(thread).await;
}

/// Guards against a request on a kept connection that is lost because the host closes the connection
/// at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_serves_a_request_late_in_a_shutdown() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    let mut stream = TcpStream::connect(node.front).await.expect("a connection");
    request(&mut stream, "first", 4_000).await;
    let thread = node.stop();
    // New connections are no longer accepted, and the host has not ended yet.
    tokio::time::sleep(Duration::from_millis(1_400)).await;
    let answer = request(&mut stream, "second", 200).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    join(thread).await;
}

/// Guards against a host that gives up its connections to upstreams when its shutdown begins, so that
/// its requests in flight wait for each other.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_keep_their_connections_during_a_shutdown() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    let _other = Node::ready("b", &world).await;
    until("both hosts are registered", || async { world.kv.keys("hosts/").len() == 2 }).await;
    // Hosts read their entries within half a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for shard in world.of("single") {
        shard.set_slots(16);
        shard.set_service_time(Duration::from_millis(300));
    }
    let calls: Vec<_> =
        (0..16).map(|id| node.call(Method::POST, "/once/x", &id.to_string())).collect();
    let thread = node.stop();
    until("the host has left", || async { world.kv.keys("hosts/").len() == 1 }).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let started = Instant::now();
    let answers = calls.into_iter().map(|call| tokio::spawn(call.send()));
    for answer in answers.collect::<Vec<_>>() {
        let answer = answer.await.expect("the task ends").expect("the host answers");
        let status = answer.status();
        assert_eq!(status, 200, "{:?}", answer.text().await);
    }
    assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
    join(thread).await;
}

/// Sends a request and returns its answer.
async fn request(stream: &mut TcpStream, id: &str, deadline_ms: u64) -> String {
    let head = format!(
        "GET /one/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).await.expect("the connection is open");
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

async fn join(thread: std::thread::JoinHandle<()>) {
    let joined = tokio::task::spawn_blocking(|| thread.join()).await;
    joined.expect("the thread is joined").expect("no panic");
}
