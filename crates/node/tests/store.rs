//! Tests of the store client against the stand-in of the store.

use std::time::Duration;

use feed::Store;
use platform::Client;
use standin::Kv;

/// After an outage with hundreds of changes, the store truncates its responses to a watch. The
/// client must read on until it has all changes, since a copy that lacks some must not count as
/// fresh.
#[tokio::test(flavor = "multi_thread")]
async fn watch_returns_all_changes_of_several_truncated_responses() {
    let kv = Kv::start().await.expect("the store starts");
    let client = Client::new(kv.address()).expect("a client");
    let before = client.read().await.expect("the store responds").revision;
    for number in 0..300 {
        kv.put(&format!("servers/{number:03}"), b"{}");
    }
    kv.put("op/config", b"the newest");
    let batch = client.watch(before, Duration::ZERO).await.expect("the store answers");
    assert_eq!(batch.puts.len(), 301);
    assert_eq!(&*batch.puts[300].key, "op/config");
    assert_eq!(batch.revision, batch.puts[300].revision);
    let rest = client.watch(batch.revision, Duration::ZERO).await.expect("the store answers");
    assert!(rest.puts.is_empty());
    assert_eq!(rest.revision, batch.revision);
}
