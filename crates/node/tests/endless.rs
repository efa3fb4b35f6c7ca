//! Upstreams whose answers do not end.

mod support;

use std::time::{Duration, Instant};

use standin::Fault;
use support::{Node, World};

/// Memory of the smallest hosts, in KiB.
const MAX_MEMORY_KIB: u64 = 160 * 1024;

/// Time after which a caller gives up.
const DEADLINE: Duration = Duration::from_secs(4);

/// Returns the peak memory of this process, in KiB.
fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Sends many requests at a time, checks that each is answered before its deadline, and returns the
/// statuses.
async fn statuses(node: &Node, path: &str, count: usize) -> Vec<u16> {
    let started = Instant::now();
    let calls = (0..count).map(|number| {
        let call = node.call(reqwest::Method::GET, path, &format!("e{number}"));
        tokio::spawn(call.send())
    });
    let mut statuses = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.expect("the task ends").expect("every request is answered");
        statuses.push(answer.status().as_u16());
    }
    assert!(started.elapsed() < DEADLINE, "answered after {:?}", started.elapsed());
    statuses
}

/// Guards against running out of memory, or of time, on answers that do not end: a process that
/// exceeds its memory is killed.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_fit_in_memory_and_are_not_forwarded() {
    let world = World::start().await;
    let node = Node::ready("a", &world).await;
    for fault in [Fault::EndlessBody, Fault::EndlessHead] {
        for service in ["single", "shard-0"] {
            world.of(service).iter().for_each(|shard| shard.set_fault(fault));
        }
        let single = statuses(&node, "/one/x", 40).await;
        assert!(single.iter().all(|status| *status >= 500), "{fault:?}: {single:?}");
        let queries = statuses(&node, "/all/x", 10).await;
        assert_eq!(queries, [200; 10], "{fault:?}");
    }
    let peak = peak_memory_kib();
    assert!(peak <= MAX_MEMORY_KIB, "peak memory of {peak} KiB, {MAX_MEMORY_KIB} allowed");
}
