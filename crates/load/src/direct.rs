//! A caller that fans out to the upstreams itself: what our hops are compared with.

use std::time::{Duration, Instant};

use standin::Fleet;

use crate::figures::Latencies;

/// Asks every shard's first replica of `service`, `count` times at an even pace.
pub(crate) async fn run(fleet: &Fleet, service: &str, count: u32, pace: Duration) -> Latencies {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let first = |spec: &standin::Spec| spec.id.ends_with("-0");
    let upstreams = fleet.upstreams.iter().filter(|u| *u.spec().service == *service);
    let urls: Vec<String> = upstreams
        .filter(|upstream| first(upstream.spec()))
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
        tokio::time::sleep(pace).await;
    }
    let mut latencies = Latencies::default();
    for (number, search) in searches.into_iter().enumerate() {
        // The first searches open the connections.
        if let Ok(took) = search.await
            && number >= count as usize / 5
        {
            latencies.record(took);
        }
    }
    latencies
}
