//! The client of the store against its stand-in.

use std::time::Duration;

use feed::Store;
use platform::Client;
use standin::Kv;

/// Pattern: hundreds of changes while the store was away. The store answers a watch with some of them
/// at a time, and news must not count as fresh before the last has come.
#[tokio::test(flavor = "multi_thread")]
async fn watch_returns_all_changes_however_many_answers_that_takes() {
    let kv = Kv::start().await.expect("the store starts");
    let client = Client::new(kv.address()).expect("a client");
    let before = client.read().await.expect("the store answers").revision;
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
