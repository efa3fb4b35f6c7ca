//! A store that comes back from an older copy of itself.

mod support;

use std::time::Duration;

use support::{Node, World, until};

/// Time in which hosts read the restored store and lose entries that are not written again.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Guards against hosts that ignore configurations of a restored store, because they order changes
/// by the store's revision, which has gone back.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_that_is_written_after_a_restore_is_in_force() {
    let world = World::start().await;
    let hosts = [Node::ready("a", &world).await, Node::ready("b", &world).await];
    let snapshot = world.kv.snapshot();
    for version in [8, 9, 10] {
        world.configure(version);
    }
    for host in &hosts {
        until("the change applies", || async { host.get("/one/x", "r1").await.status() == 404 })
            .await;
    }
    world.kv.restore(&snapshot);
    world.configure(10);
    world.configure(11);
    for host in &hosts {
        until("the change applies", || async { host.get("/one/x", "r2").await.status() == 200 })
            .await;
    }
}

/// Guards against a configuration that reverts to the one in an older copy of the store.
#[tokio::test(flavor = "multi_thread")]
async fn restored_store_does_not_revert_the_configuration() {
    let world = World::start().await;
    let hosts = [Node::ready("a", &world).await, Node::ready("b", &world).await];
    let snapshot = world.kv.snapshot();
    world.configure(8);
    for host in &hosts {
        until("the change applies", || async { host.get("/one/x", "v1").await.status() == 404 })
            .await;
    }
    world.kv.restore(&snapshot);
    // The revision rises beyond that of the lost configuration.
    for _ in 0..20 {
        world.kv.put("other", b"{}");
    }
    for _ in 0..40 {
        for host in &hosts {
            assert_eq!(host.get("/one/x", "v2").await.status(), 404);
        }
        tokio::time::sleep(SETTLING_TIME / 40).await;
    }
}

/// Guards against requests to upstreams that drain or have left, because a restored store still
/// names them as ready.
#[tokio::test(flavor = "multi_thread")]
async fn restored_store_does_not_return_upstreams_that_have_left() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    let snapshot = world.kv.snapshot();
    world.register("shard-0@perth-1", "draining");
    world.kv.remove("servers/shard-1@perth-2");
    let left = || world.arrivals("shard-0@perth-1") + world.arrivals("shard-1@perth-2");
    let is_unused = || async {
        let before = left();
        for _ in 0..4 {
            node.get("/all/x", "g1").await;
        }
        left() == before
    };
    until("the upstreams get no more requests", is_unused).await;
    let before = left();
    world.kv.restore(&snapshot);
    for _ in 0..20 {
        world.kv.put("other", b"{}");
    }
    for _ in 0..80 {
        assert_eq!(node.get("/all/x", "g2").await.status(), 200);
        tokio::time::sleep(SETTLING_TIME / 80).await;
    }
    assert_eq!(left(), before);
}

/// Guards against upstreams and hosts that a restored store does not name, although they live and
/// write their entries again.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_are_written_again_after_a_restore_stay_in_use() {
    let mut world = World::start().await;
    let snapshot = world.kv.snapshot();
    let node = Node::ready("a", &world).await;
    for domain in ["perth-1", "perth-2"] {
        world.add("nobody", domain, b"late").await;
    }
    until("the upstreams are used", || async { node.get("/none/x", "e1").await.status() == 200 })
        .await;
    until("the host is registered", || async { world.kv.keys("hosts/").len() == 1 }).await;
    world.kv.restore(&snapshot);
    assert!(world.kv.keys("hosts/").is_empty());
    let written_again = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for domain in ["perth-1", "perth-2"] {
            world.register(&format!("nobody@{domain}"), "ready");
        }
    };
    let served = async {
        for _ in 0..80 {
            assert_eq!(node.get("/none/x", "e2").await.status(), 200);
            tokio::time::sleep(SETTLING_TIME / 80).await;
        }
    };
    tokio::join!(written_again, served);
    until("the host is registered again", || async { world.kv.keys("hosts/").len() == 1 }).await;
}

/// Guards against requests that crash upstreams and are sent again by hosts that start later, because
/// a restored store has lost the reports of the crashes.
#[tokio::test(flavor = "multi_thread")]
async fn reports_of_crashes_are_written_again_after_a_restore() {
    let world = World::start().await;
    let snapshot = world.kv.snapshot();
    let node = Node::ready("a", &world).await;
    let url = format!("http://{}/crashes?request=1&attempt=2&crashes=1", node.peer);
    let answer = support::client().post(url).send().await.expect("the host answers");
    assert_eq!(answer.status(), 200);
    let is_stored = || async { world.kv.keys("crashes/").len() == 1 };
    until("the report is written", is_stored).await;
    world.kv.restore(&snapshot);
    assert!(world.kv.keys("crashes/").is_empty());
    until("the report is written again", is_stored).await;
}
