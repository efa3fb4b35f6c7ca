//! Overhead of brokers and egresses: latency of a search through a broker, compared to a direct
//! fan-out to the same stand-ins, which answer at once.

use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use demo::{Cluster, Options};
use standin::{Recorder, Speed};

const RULES: &str = "\
domain d0 # asked by: bench
service wide --shards 20 --replicas 1 # asked by: bench
limit wide --slots 8 --connections 30 --cold-slots 8 # asked by: bench
service one --shards 1 --replicas 1 # asked by: bench
limit one --slots 8 --connections 30 --cold-slots 8 # asked by: bench
";

fn path(criterion: &mut Criterion) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let speed = Speed {
        base: Duration::ZERO,
        spread: Duration::ZERO,
        tail_per_mille: 0,
        ..Speed::default()
    };
    let options = Options { rules: RULES.into(), hosts: 2, baseline: false, speed, warm: true };
    let cluster = runtime
        .block_on(Cluster::start(options, Recorder::disabled()))
        .expect("the deployment starts");
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let broker = cluster.nodes[0].broker.address;
    for service in ["one", "wide"] {
        let url = format!("http://{broker}/v1/search/{service}");
        criterion.bench_function(&format!("tier/{service}"), |bencher| {
            bencher.iter(|| runtime.block_on(search(&client, &url)));
        });
        let upstreams = cluster.fleet.upstreams.iter().filter(|u| *u.spec().service == *service);
        let urls: Vec<_> = upstreams.map(|u| format!("http://{}/search", u.address())).collect();
        criterion.bench_function(&format!("direct/{service}"), |bencher| {
            bencher.iter(|| runtime.block_on(direct(&client, &urls)));
        });
    }
    // The deployment runs until the process ends.
    std::mem::forget(runtime);
}

/// Sends a search through a broker and returns the length of the answer.
async fn search(client: &reqwest::Client, url: &str) -> usize {
    let call = client.post(url).body(r#"{"query":"bench"}"#).send().await;
    let body = call.expect("an answer").bytes().await.expect("a body");
    assert!(body.starts_with(br#"{"outcome":"complete""#), "{body:?}");
    body.len()
}

/// Sends a search to every upstream directly and returns the total length of the answers.
async fn direct(client: &reqwest::Client, urls: &[String]) -> usize {
    let mut parts = tokio::task::JoinSet::<bytes::Bytes>::new();
    for url in urls {
        let call = client.post(url).header("x-request-id", "1-bench").body("bench").send();
        parts.spawn(async move { call.await.expect("an answer").bytes().await.expect("a body") });
    }
    parts.join_all().await.iter().map(bytes::Bytes::len).sum()
}

criterion_group!(benches, path);
criterion_main!(benches);
