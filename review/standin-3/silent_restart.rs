//! Backends restart, cold, while their open connections fall silent.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cold_again::{HEARTBEAT, MAX_PER_SECOND, WARMUP, most_in_a_second};
use crate::deployment::{backend, config, ip, start_hosts};
use crate::host::Host;
use crate::store::Store;
use crate::watch_cut::client_loop;
use crate::{Record, Verdict};

const PER_ZONE: usize = 3;
const CLIENTS: usize = 45;
const REQUEST_INTERVAL: Duration = Duration::from_millis(145);
const ROUNDS: usize = 8;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(&ip(1));
    store.put("op/config", &config(7));
    let backends: Vec<_> = (0..2).map(backend).collect();
    backends.iter().for_each(|backend| backend.register(&store, "ready"));
    let Some(mut hosts) = start_hosts(record, folder, &store, PER_ZONE) else {
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
        thread::sleep(Duration::from_millis(6_000 + 157 * round as u64));
        let begin = Instant::now();
        backends.iter().for_each(|backend| backend.restart(trouble, WARMUP));
        record.line(&format!("round {round}: the backends have restarted, cold"));
        thread::sleep(HEARTBEAT / 2);
        while begin.elapsed() < WARMUP {
            backends.iter().for_each(|backend| backend.register(&store, "ready"));
            thread::sleep(HEARTBEAT.min(WARMUP.saturating_sub(begin.elapsed())));
        }
        let most = backends.iter().map(|backend| most_in_a_second(record, backend, begin)).max();
        broken += usize::from(most.unwrap_or(0) > MAX_PER_SECOND);
        backends.iter().for_each(|backend| backend.register(&store, "ready"));
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
