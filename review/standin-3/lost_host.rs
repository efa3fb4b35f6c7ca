//! A host is lost for good while the store is down.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{HOSTS_PER_ZONE, ZONES, backend, config, ip, start_hosts};
use crate::host::Host;
use crate::http::Connection;
use crate::store::{Mode, Store};
use crate::{Record, Verdict};

const CLIENTS: usize = 48;
/// Time for which clients keep an answer of the directory.
const TTL: Duration = Duration::from_secs(2);
fn outage(round: usize) -> Duration { let base: u64 = std::env::var("OUT").ok().and_then(|t| t.parse().ok()).unwrap_or(5000); Duration::from_millis(base + 150 * round as u64) }
/// `contact_ms` in the settings.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time for which a host that is gone may still be named.
const NAMED: Duration = Duration::from_millis(7_000);
/// Hosts that are lost, one after the other.
const LOST: [usize; 4] = [0, 3, 4, 1];

/// An answer of the directory: when it arrived, which host gave it, and what it names.
struct Answer {
    at: Instant,
    host: usize,
    body: String,
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(&ip(1));
    store.put("op/config", &config(7, "records"));
    let backends: Vec<_> = (0..3).map(backend).collect();
    backends.iter().for_each(|backend| backend.register(&store, "ready"));
    let Some(mut hosts) = start_hosts(record, folder, &store, HOSTS_PER_ZONE, |_| 0.25) else {
        return Verdict::CouldNotRun;
    };
    let directories: Arc<[SocketAddr]> = hosts.iter().map(|host| host.directory).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(usize::MAX));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
            let (lost, directories) = (Arc::clone(&lost), Arc::clone(&directories));
            thread::spawn(move || client_loop(client, &directories, &lost, &stop, &answers))
        })
        .collect();
    let mut broken = 0;
    for (round, index) in LOST.into_iter().enumerate() {
        thread::sleep(Duration::from_secs(1));
        answers.lock().expect("no thread panics").clear();
        lost.store(index, Ordering::Relaxed);
        hosts[index].kill();
        let killed = Instant::now();
        record.line(&format!("{} is killed for good", hosts[index].name));
        let mut judged_from = killed + NAMED;
        if trouble {
            store.set_mode(if std::env::var("BUSY").is_ok() { Mode::Busy } else { Mode::Silent });
            record.line("the store is silent");
            thread::sleep(outage(round));
            store.set_mode(Mode::Normal);
            let returned = Instant::now();
            record.line("the store answers again");
            judged_from = judged_from.max(returned + CONTACT);
        } else {
            thread::sleep(outage(round));
        }
        thread::sleep((judged_from + Duration::from_secs(3)).saturating_duration_since(Instant::now()));
        let name = format!("\"{}\"", hosts[index].front);
        let answers = answers.lock().expect("no thread panics");
        let naming: Vec<&Answer> =
            answers.iter().filter(|answer| answer.body.contains(&name)).collect();
        let late: Vec<_> = naming.iter().filter(|answer| answer.at > judged_from).collect();
        for answer in &late {
            let text = format!("{} names {}: {}", hosts[answer.host].name, hosts[index].name, answer.body);
            record.line_at(answer.at, &text);
        }
        let last = naming.last().map_or(0, |answer| (answer.at - killed).as_millis());
        let from = (judged_from - killed).as_millis();
        record.line(&format!(
            "{} answers; the last that names {} came {last} ms after its end; {} came later than {from} ms",
            answers.len(), hosts[index].name, late.len()
        ));
        broken += usize::from(late.len() > 3);
        drop(answers);
        hosts[index].start();
        lost.store(usize::MAX, Ordering::Relaxed);
        if !hosts[index].wait_ready(Duration::from_secs(8)) {
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if hosts.iter_mut().any(Host::has_ended) {
        return Verdict::CouldNotRun;
    }
    record.line(&format!("{broken} of {} losses with more than three such answers", LOST.len()));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

fn client_loop(
    client: usize,
    directories: &[SocketAddr],
    lost: &AtomicUsize,
    stop: &AtomicBool,
    answers: &Mutex<Vec<Answer>>,
) {
    let mut next = Instant::now() + TTL * client as u32 / CLIENTS as u32;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += TTL;
        let mut host = client % directories.len();
        if host == lost.load(Ordering::Relaxed) {
            host = (host + 1) % directories.len();
        }
        let line = format!(
            "GET /pistachiorock/resolve?name=records.example&region=perth-metro&zone={} HTTP/1.1",
            ZONES[client % ZONES.len()]
        );
        let connection = Connection::open(directories[host], Duration::from_secs(1));
        let Ok(mut connection) = connection else { continue };
        let Some(answer) = connection.call(&line, &[("host", "directory")], b"") else { continue };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        answers.lock().expect("no thread panics").push(Answer { at: Instant::now(), host, body });
    }
}
