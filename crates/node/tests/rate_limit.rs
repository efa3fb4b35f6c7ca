//! Upstreams that state a rate limit in their answers.

mod support;

use std::time::Duration;

use support::{Node, World};

/// Rate limit that the upstream states, in requests per second.
const RATE_LIMIT: f64 = 10.0;

/// Time between two queries at one host.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// Time that hosts have to apply a rate limit after they have received it.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// Time in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of arrivals in [`WINDOW`] by the platform's rule: one and a half times the limit,
/// and five requests more.
const MAX_ARRIVALS: usize = 65;

/// Sends queries to a host at a steady rate for the given time. Checks that each is answered in
/// full, since the other replica has no limit.
async fn query(node: &Node, name: &str, time: Duration) {
    let mut queries = Vec::new();
    for number in 0..time.div_duration_f64(QUERY_INTERVAL) as usize {
        let call = node.call(reqwest::Method::GET, "/all/x", &format!("{name}-{number}"));
        queries.push(tokio::spawn(call.send()));
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
    for query in queries {
        let answer = query.await.expect("the task ends").expect("every query is answered");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["missing-parts"], "0");
    }
}

/// Guards against hosts that ignore the rate limit of an upstream, or of which each keeps to it
/// alone: two hosts of the upstream's failure domain and one that sends through them as relays.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_together_keep_to_the_rate_limit_of_an_upstream() {
    let world = World::start().await;
    let nodes = [
        Node::ready_in("perth-1", "a", &world).await,
        Node::ready_in("perth-1", "b", &world).await,
        Node::ready_in("perth-3", "c", &world).await,
    ];
    let [a, b, c] = &nodes;
    let limited = &world.shards["shard-0@perth-1"];
    let run = async |name: &str, time| {
        tokio::join!(query(a, name, time), query(b, name, time), query(c, name, time));
    };
    run("before", REACTION_TIME).await;
    limited.set_rate_limit(Some(RATE_LIMIT));
    run("reaction", REACTION_TIME * 2).await;
    let before = limited.arrivals();
    run("limited", WINDOW).await;
    let arrivals = limited.arrivals() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} arrivals, {MAX_ARRIVALS} allowed");
}
