//! A caller that fans out to the upstreams directly, as a reference for the overhead of the brokers
//! and egresses.

use std::time::{Duration, Instant};

use standin::Fleet;

use crate::figures::Latencies;

/// Sends `count` searches to the first replica of every shard of `service`, one each `interval`.
///
/// Returns the latencies, without those of the first fifth, in which connections are opened.
pub(crate) async fn measure(
    fleet: &Fleet,
    service: &str,
    count: u32,
    interval: Duration,
) -> Latencies {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let is_first_replica = |spec: &standin::Spec| spec.id.ends_with("-0");
    let upstreams = fleet.upstreams.iter().filter(|u| *u.spec().service == *service);
    let urls: Vec<String> = upstreams
        .filter(|upstream| is_first_replica(upstream.spec()))
        .map(|upstream| format!("http://{}/search", upstream.address()))
        .collect();
    let mut searches = Vec::new();
    for number in 0..count {
        let (client, urls) = (client.clone(), urls.clone());
        searches.push(tokio::spawn(async move {
            let start = Instant::now();
            let mut parts = tokio::task::JoinSet::new();
            for url in urls {
                let id = format!("{number}-direct");
                let call = client.post(url).header("x-request-id", id).body("direct");
                parts.spawn(async move { call.send().await?.bytes().await });
            }
            parts.join_all().await;
            start.elapsed()
        }));
        tokio::time::sleep(interval).await;
    }
    let mut latencies = Latencies::default();
    for (number, search) in searches.into_iter().enumerate() {
        if let Ok(latency) = search.await
            && number >= count as usize / 5
        {
            latencies.record(latency);
        }
    }
    latencies
}
