//! Hosts with a small processor share, which callers are not told to use.

mod support;

use reqwest::Method;
use support::{Node, World, until};

/// Guards against some hundred hosts that each open connections to all upstreams for the few requests
/// that reach them, until the upstreams reset the connections of all hosts.
#[tokio::test(flavor = "multi_thread")]
async fn weak_host_forwards_requests_and_opens_no_connections() {
    let world = World::start().await;
    let mut strong = Vec::new();
    for name in ["a", "b", "c"] {
        strong.push(Node::ready(name, &world).await);
    }
    let weak = Node::start_weak("weak", world.kv.address());
    weak.wait_ready().await;
    until("all hosts are known", || async {
        weak.advertised().await == 3 && world.kv.keys("hosts/").len() == 4
    })
    .await;
    for number in 0..4 {
        let id = format!("forwarded-{number}");
        for path in ["/all/x", "/one/x"] {
            assert_eq!(weak.get(path, &id).await.status(), 200);
        }
        let once = format!("once-{number}");
        let answer = weak.call(Method::POST, "/once/x", &once).send().await.expect("an answer");
        assert_eq!((answer.status().as_u16(), world.ran(&once)), (200, 1));
    }
    assert_eq!(weak.get("/absent/x", "absent").await.status(), 404);
    assert_eq!(weak.counter("forwarded_requests").await, 12);
    assert_eq!(weak.counter("connections_opened").await, 0);
    // Without the others, the host serves by itself.
    for node in strong {
        node.stop().join().expect("the host stops");
    }
    assert_eq!(weak.get("/all/x", "alone").await.status(), 200);
    assert!(weak.counter("connections_opened").await > 0);
}
