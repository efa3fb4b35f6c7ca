//! Upstreams that state a rate limit in their answers.

mod support;

use std::time::{Duration, Instant};

use standin::Fault;
use support::{Node, World, until};

/// Rate limit that the upstream states, in requests per second.
const RATE_LIMIT: f64 = 10.0;

/// Latency objective of the routes.
const OBJECTIVE: Duration = Duration::from_secs(2);

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

/// Returns the number of attempts at upstreams with a rate limit, whatever their origin.
async fn limited_attempts(node: &Node) -> u64 {
    let text = node.metrics().await;
    let lines = text.lines().filter(|line| line.contains("limited_attempts_total{"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Sends requests until the host has sent one within a rate limit, which it knows then.
async fn learn_limit(node: &Node, path: &str) {
    until("the host knows of the limit", || async {
        node.get(path, "known").await;
        limited_attempts(node).await > 0
    })
    .await;
}

/// Guards against a burst of requests after an upstream was out of the view for a moment, because
/// its failure domain was evacuated or its entry was lost: hosts must still know its rate limit.
#[tokio::test(flavor = "multi_thread")]
async fn rate_limit_is_remembered_while_a_domain_is_evacuated() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    let limited = &world.shards["shard-0@perth-1"];
    limited.set_rate_limit(Some(100.0));
    learn_limit(&node, "/all/x").await;
    world.kv.put("op/evacuate/perth-1", b"{}");
    // Unlike the limited upstream, the others of the domain get a request of each query.
    let others = || world.arrivals("shard-1@perth-1") + world.arrivals("shard-2@perth-1");
    until("the domain gets no requests", || async {
        let before = others();
        node.get("/all/x", "out").await;
        others() == before
    })
    .await;
    // The first answer after the return ends the limit, so only its request counts.
    limited.set_rate_limit(None);
    let (known, arrivals) = (limited_attempts(&node).await, limited.arrivals());
    world.kv.remove("op/evacuate/perth-1");
    until("the domain gets requests again", || async {
        node.get("/all/x", "back").await;
        limited.arrivals() > arrivals
    })
    .await;
    assert!(limited_attempts(&node).await > known, "the limit was forgotten");
}

/// Guards against requests that wait until their deadline although the limits of all upstreams
/// cannot let them through: most of them must be refused at once, with a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_rate_limits_of_all_upstreams_are_refused_at_once() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    world.of("single").iter().for_each(|shard| shard.set_rate_limit(Some(RATE_LIMIT / 5.0)));
    until("the host knows of both limits", || async {
        node.get("/one/x", "known").await;
        world.of("single").iter().all(|shard| shard.arrivals() > 0)
    })
    .await;
    // A host that is not listed in the store yet has a tiny part of the limits and refuses at once.
    until("the host has its part of the limits", || async {
        node.get("/one/x", "listed").await.status() == 200
    })
    .await;
    let calls = (0..40).map(|number| {
        let call = node.call(reqwest::Method::GET, "/one/x", &format!("l{number}"));
        tokio::spawn(async move {
            let started = Instant::now();
            (call.send().await.expect("an answer"), started.elapsed())
        })
    });
    let mut refused = 0;
    for call in calls.collect::<Vec<_>>() {
        let (answer, time) = call.await.expect("the task ends");
        if answer.status() == 503 {
            assert!(time < OBJECTIVE, "refused after {time:?}");
            assert!(answer.headers().contains_key("retry-after"));
            refused += 1;
        }
    }
    assert!(refused >= 20, "{refused} of 40 requests were refused");
}

/// Guards against a burst of requests after a refusal, which comes without a rate limit.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_does_not_end_a_rate_limit() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    let limited = &world.shards["single@perth-1"];
    limited.set_rate_limit(Some(1_000.0));
    learn_limit(&node, "/one/x").await;
    limited.set_rate_limit(None);
    limited.set_fault(Fault::Shed);
    let (known, arrivals) = (limited_attempts(&node).await, limited.arrivals());
    until("the upstream has refused some requests", || async {
        node.get("/one/x", "refused").await;
        limited.arrivals() >= arrivals + 3
    })
    .await;
    assert!(limited_attempts(&node).await >= known + 3, "a refusal has ended the limit");
}
