//! Backends become cold again while the store cuts waiting watches.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::deployment::{HOSTS_PER_ZONE, backend, config, ip, start_hosts};
use crate::host::Host;
use crate::store::Store;
use crate::watch_cut::client_loop;
use crate::{Record, Verdict};

const CLIENTS: usize = 24;
const REQUEST_INTERVAL: Duration = Duration::from_millis(130);
pub const WARMUP: Duration = Duration::from_millis(3_000);
/// `heartbeat_ms` in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `cold_per_s` x `cold_over` + `cold_slack`.
pub const MAX_PER_SECOND: usize = 35;
const ROUNDS: usize = 10;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(&ip(1));
    store.put("op/config", &config(7));
    let backends: Vec<_> = (0..3).map(backend).collect();
    backends.iter().for_each(|backend| backend.register(&store, "ready"));
    let Some(mut hosts) = start_hosts(record, folder, &store, HOSTS_PER_ZONE) else {
        return Verdict::CouldNotRun;
    };
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = hosts[client % hosts.len()].front;
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            thread::spawn(move || client_loop(client, front, REQUEST_INTERVAL, &stop, &counts))
        })
        .collect();
    let mut broken = 0;
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(5_000 + 157 * round as u64));
        let backend = &backends[round % backends.len()];
        let id = &backend.settings.id;
        let begin = Instant::now();
        let before = backend.runs_after(begin - Duration::from_secs(1)).len();
        backend.set_cold(WARMUP);
        let cut = if trouble {
            store.cut_and(|| backend.register(&store, "ready"))
        } else {
            backend.register(&store, "ready");
            0
        };
        record.line(&format!(
            "round {round}: {id} is cold and has written so; {cut} waiting watches cut"
        ));
        while begin.elapsed() < WARMUP {
            thread::sleep(HEARTBEAT.min(WARMUP.saturating_sub(begin.elapsed())));
            backend.register(&store, "ready");
        }
        let most = most_in_a_second(record, backend, begin);
        record.line(&format!("{id}: {before} requests in the second before"));
        broken += usize::from(most > MAX_PER_SECOND);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let [served, failed] = [0, 1].map(|index| counts[index].load(Ordering::Relaxed));
    record.line(&format!(
        "{served} requests served, {failed} not; {broken} of {ROUNDS} times beyond the limit"
    ));
    if served == 0 || hosts.iter_mut().any(Host::has_ended) {
        return Verdict::CouldNotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Returns the greatest number of requests that a backend, cold since `begin`, got in one second while cold.
pub fn most_in_a_second(record: &Record, backend: &Backend, begin: Instant) -> usize {
    let runs = backend.runs_after(begin);
    let runs: Vec<Instant> =
        runs.iter().map(|run| run.at).filter(|at| *at < begin + WARMUP).collect();
    let within = |from: &Instant| {
        runs.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()
    };
    let most = runs.iter().map(within).max().unwrap_or(0);
    let id = &backend.settings.id;
    let arrivals: Vec<u128> = runs.iter().map(|at| (*at - begin).as_millis()).collect();
    record.line(&format!("{id}: arrivals while cold, in ms: {arrivals:?}"));
    record.line(&format!(
        "{id}: at most {most} requests in one second while cold; {MAX_PER_SECOND} allowed"
    ));
    most
}
