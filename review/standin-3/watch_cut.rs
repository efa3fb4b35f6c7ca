//! Backends leave while the store cuts waiting watches.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::deployment::{HOSTS_PER_ZONE, ZONES, backend, config, ip, start_hosts};
use crate::host::Host;
use crate::http::Connection;
use crate::store::Store;
use crate::{Record, Verdict};

const CLIENTS: usize = 24;
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// `drain_ms` in the settings.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time for which a backend that leaves serves longer than that.
const LONGER: Duration = Duration::from_millis(1_500);
/// Times at which a backend of each failure domain leaves.
const ROUNDS: usize = 10;
const INTERVAL: Duration = Duration::from_millis(8_000);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(&ip(1));
    store.put("op/config", &config(7));
    let mut backends: Vec<Arc<Backend>> = (0..3).map(backend).collect();
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
    thread::sleep(Duration::from_secs(1));
    let mut late_runs = 0;
    for round in 0..ROUNDS {
        let next = record.start() + Duration::from_secs(8) + INTERVAL * round as u32;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        // Others are there some seconds before these leave, one in each failure domain.
        let first = (round + 1) * ZONES.len();
        let fresh: Vec<_> = (first..first + ZONES.len()).map(backend).collect();
        fresh.iter().for_each(|backend| backend.register(&store, "ready"));
        // The watches that follow are at any point of their wait.
        let pause = Duration::from_millis(1_500 + 157 * round as u64);
        thread::sleep(pause);
        let leaving = std::mem::replace(&mut backends, fresh);
        let keys: Vec<String> = leaving.iter().map(|backend| backend.key()).collect();
        let remove = || keys.iter().for_each(|key| store.remove(key));
        let cut = if trouble {
            store.cut_and(remove)
        } else {
            remove();
            0
        };
        let gone = Instant::now();
        record.line(&format!("round {round}: {keys:?} removed; {cut} waiting watches cut"));
        thread::sleep(DRAIN + LONGER);
        for backend in leaving {
            backend.exit();
            let id = &backend.settings.id;
            let late = backend.runs_after(gone + DRAIN);
            for run in &late {
                let after = (run.at - gone).as_millis();
                record.line_at(run.at, &format!("{id} ran request {} {after} ms after", run.id));
            }
            let last = backend.runs_after(gone).last().map_or(0, |run| (run.at - gone).as_millis());
            let late = late.len();
            record.line(&format!("{id}: last request {last} ms after, {late} later than drain_ms"));
            late_runs += late;
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let [served, failed] = [0, 1].map(|index| counts[index].load(Ordering::Relaxed));
    record.line(&format!(
        "{served} requests served, {failed} not; {late_runs} ran later than drain_ms"
    ));
    if hosts.iter_mut().any(Host::has_ended) {
        record.line("a host has ended by itself");
        return Verdict::CouldNotRun;
    }
    if served == 0 {
        return Verdict::CouldNotRun;
    }
    if late_runs > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests to a host until `stop` is set; counts those that were served and those that were not.
pub fn client_loop(
    client: usize,
    front: SocketAddr,
    interval: Duration,
    stop: &AtomicBool,
    counts: &[AtomicU64; 2],
) {
    let mut connection = None;
    let mut number = 0_u64;
    let mut next = Instant::now() + interval * client as u32 / CLIENTS as u32;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += interval;
        number += 1;
        let id = format!("{client:04x}{number:012x}");
        let line = format!("GET /records/{number} HTTP/1.1");
        let headers =
            [("host", "records.example"), ("request-id", id.as_str()), ("deadline-ms", "2000")];
        if connection.is_none() {
            connection = Connection::open(front, Duration::from_secs(3)).ok();
        }
        let answer =
            connection.as_mut().and_then(|connection| connection.call(&line, &headers, b""));
        let served = answer.as_ref().is_some_and(|answer| answer.status() == 200);
        if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
            connection = None;
        }
        counts[usize::from(!served)].fetch_add(1, Ordering::Relaxed);
    }
}
