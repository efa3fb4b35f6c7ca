//! Registration of hosts by the host that they follow.

mod support;

use std::time::{Duration, Instant};

use support::{Node, World, until};

/// Time after which the lease of a host that has gone has ended.
const LEASE_TIME: Duration = Duration::from_millis(6_500);

/// Returns the name of the host that has registered a host, if it is another one.
fn registrar(world: &World, name: &str) -> Option<String> {
    let value = world.kv.get(&format!("hosts/{name}"))?;
    let entry: serde_json::Value = serde_json::from_slice(&value).expect("JSON");
    entry["registrar"].as_str().map(Into::into)
}

async fn start(world: &World) -> Vec<Node> {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(Node::ready(name, world).await);
    }
    until("the first host registers the others", || async {
        ["b", "c"].iter().all(|name| registrar(world, name).as_deref() == Some("a"))
    })
    .await;
    nodes
}

/// Guards against calls to the store that grow with the hosts, because each renews a lease of its own.
#[tokio::test(flavor = "multi_thread")]
async fn one_lease_keeps_all_hosts_of_a_failure_domain() {
    let world = World::start().await;
    let nodes = start(&world).await;
    tokio::time::sleep(LEASE_TIME).await;
    let before = (nodes[1].counter("store_calls").await, nodes[2].counter("store_calls").await);
    tokio::time::sleep(LEASE_TIME).await;
    let after = (nodes[1].counter("store_calls").await, nodes[2].counter("store_calls").await);
    assert_eq!(before, after, "followers call the store");
    assert_eq!(world.kv.keys("hosts/").len(), 3);
}

/// Guards against hosts that vanish together with the one that has registered them.
#[tokio::test(flavor = "multi_thread")]
async fn followers_stay_registered_when_their_registrar_stops() {
    let world = World::start().await;
    let mut nodes = start(&world).await;
    nodes.remove(0).stop().join().expect("the host stops");
    let end = Instant::now() + LEASE_TIME;
    while Instant::now() < end {
        assert_eq!(world.kv.keys("hosts/").len(), 2, "exactly the others are registered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a stopped host that its registrar keeps in the directory.
#[tokio::test(flavor = "multi_thread")]
async fn follower_that_stops_is_removed_at_once() {
    let world = World::start().await;
    let mut nodes = start(&world).await;
    nodes.remove(1).stop().join().expect("the host stops");
    let end = Instant::now() + LEASE_TIME;
    while Instant::now() < end {
        assert_eq!(world.kv.keys("hosts/").len(), 2, "exactly the others are registered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
