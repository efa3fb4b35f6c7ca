//! Hosts that follow another one that loses the store.

mod support;

use std::time::{Duration, Instant};

use standin::{Impairment, Proxy};
use support::{Node, World, until};

/// Time within which the removal of an upstream must take effect.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);

/// Removes an upstream while the host that another one follows is cut off from the store for `cut`,
/// and checks that the other one, which reaches the store, sends it nothing once that must have taken
/// effect.
async fn upstream_that_leaves_is_not_used_late(impairment: Impairment, cut: Duration) {
    let world = World::start().await;
    let proxy = Proxy::start(world.kv.address()).await.expect("the proxy starts");
    let first = Node::start("a", proxy.address(), &[]);
    first.wait_ready().await;
    let follower = Node::ready("b", &world).await;
    until("both hosts are registered", || async { world.kv.keys("hosts/").len() == 2 }).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    // With a change just before the cut, the copies become stale as late as possible.
    world.configure(9);
    tokio::time::sleep(Duration::from_millis(60)).await;
    proxy.set(impairment);
    tokio::time::sleep(Duration::from_millis(20)).await;
    world.kv.remove("servers/single@perth-1");
    let removed = Instant::now();
    let mut late = 0;
    while removed.elapsed() < MAX_PROPAGATION * 2 {
        if removed.elapsed() > cut {
            proxy.set(Impairment::None);
        }
        let is_due = removed.elapsed() > MAX_PROPAGATION;
        let before = world.arrivals("single@perth-1");
        follower.get("/one/x", "r").await;
        late += if is_due { world.arrivals("single@perth-1") - before } else { 0 };
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(late, 0, "requests later than {MAX_PROPAGATION:?} after the removal");
}

/// Guards against requests to an upstream that has left, by hosts that take the first answer of the
/// store after their source was cut off for the end of an outage (review/3).
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_leaves_while_the_source_is_cut_off_is_not_used_late() {
    upstream_that_leaves_is_not_used_late(Impairment::Cut, Duration::from_secs(4)).await;
}

/// Guards against requests to an upstream that has left, by hosts that keep removed entries for as
/// long as their source does, which took its own cut for an outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_leaves_during_a_short_cut_of_the_source_is_not_used_late() {
    upstream_that_leaves_is_not_used_late(Impairment::Reset, Duration::from_millis(1_000)).await;
}
