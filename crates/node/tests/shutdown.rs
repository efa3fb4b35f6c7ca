//! Requests that reach a host during its graceful shutdown.

mod support;

use std::time::{Duration, Instant};

use reqwest::Method;
use support::{Node, World};

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
    let joined = tokio::task::spawn_blocking(|| thread.join()).await;
    joined.expect("the thread is joined").expect("no panic");
}
