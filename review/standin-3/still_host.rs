//! A host that others follow stands still while a backend becomes cold again.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cold_again::{HEARTBEAT, MAX_PER_SECOND, WARMUP, most_in_a_second};
use crate::deployment::{ZONES, backend, config, ip, start_hosts};
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
    let backends: Vec<_> = (0..3).map(backend).collect();
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
        thread::sleep(Duration::from_millis(7_000 + 157 * round as u64));
        let zone = round % ZONES.len();
        let (backend, host) = (&backends[zone], &hosts[zone * PER_ZONE]);
        let id = &backend.settings.id;
        let before = backend.runs_after(Instant::now() - Duration::from_secs(1)).len();
        if trouble {
            host.signal("STOP");
            record.line(&format!("round {round}: {} stands still", host.name));
            thread::sleep(Duration::from_millis(100));
        }
        let begin = Instant::now();
        backend.set_cold(WARMUP);
        backend.register(&store, "ready");
        record.line(&format!(
            "{id} is cold and has written so; {before} requests in the second before"
        ));
        while begin.elapsed() < WARMUP {
            thread::sleep(HEARTBEAT.min(WARMUP.saturating_sub(begin.elapsed())));
            backend.register(&store, "ready");
        }
        if trouble {
            host.signal("CONT");
            record.line(&format!("{} runs again", host.name));
        }
        broken += usize::from(most_in_a_second(record, backend, begin) > MAX_PER_SECOND);
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
