//! A host with a small processor share forwards requests while the store turns some hosts away.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{HOSTS_PER_ZONE, backend, backend_of, config, ip, start_hosts};
use crate::host::Host;
use crate::http::Connection;
use crate::store::Store;
use crate::{Record, Verdict};

/// Index of the host with a small processor share, the second one of the first failure domain.
const SMALL: usize = 1;
/// Entrances of the first hosts of the first and the last failure domain.
const TURNED_AWAY: [usize; 2] = [1, 5];
/// Time for which the store turns them away.
const OUTAGE: Duration = Duration::from_millis(4_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// `rollback_slack_ms` in the settings.
const SLACK: Duration = Duration::from_millis(250);
const ROUNDS: u32 = 8;

/// An answer to a request of the client.
struct Answer {
    sent: Instant,
    received: Instant,
    id: String,
    /// Stamp of the backend that ran the request.
    stamp: String,
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(&ip(1));
    store.put("op/config", &config(10, "records"));
    let old: Vec<_> = (0..3).map(backend).collect();
    let new: Vec<_> = (3..6).map(|number| backend_of("records-new", number)).collect();
    old.iter().chain(&new).for_each(|backend| backend.register(&store, "ready"));
    let cpu_share = |index| if index == SMALL { 0.12 } else { 0.5 };
    let Some(mut hosts) = start_hosts(record, folder, &store, HOSTS_PER_ZONE, cpu_share) else {
        return Verdict::CouldNotRun;
    };
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let client = {
        let (stop, answers, front) = (Arc::clone(&stop), Arc::clone(&answers), hosts[SMALL].front);
        thread::spawn(move || client_loop(front, &stop, &answers))
    };
    let mut regressed = 0;
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_secs(5));
        answers.lock().expect("no thread panics").clear();
        let moves_to_new = round % 2 == 0;
        let service = if moves_to_new { "records-new" } else { "records" };
        if trouble {
            store.turn_away(&TURNED_AWAY);
            record.line("the store turns away two hosts");
        }
        thread::sleep(Duration::from_millis(100));
        let version = 20 + 10 * round;
        store.put("op/config", &config(version, service));
        record.line(&format!("version {version} moves the route to {service}"));
        thread::sleep(OUTAGE);
        store.turn_away(&[]);
        record.line("the store turns no host away");
        let newer = if moves_to_new { &new } else { &old };
        let is_newer = |answer: &Answer| {
            newer
                .iter()
                .any(|backend| answer.stamp.starts_with(&format!("{}.", backend.settings.id)))
        };
        let answers = answers.lock().expect("no thread panics");
        let first =
            answers.iter().filter(|answer| is_newer(answer)).map(|answer| answer.received).min();
        let Some(first) = first else { return Verdict::CouldNotRun };
        record.line_at(first, &format!("first answer as of version {version}"));
        let mut late = 0;
        for answer in answers.iter().filter(|answer| answer.sent > first + SLACK) {
            if !is_newer(answer) && !answer.stamp.is_empty() {
                let Answer { id, stamp, .. } = answer;
                let text = format!("request {id} sent; run as of an older version, stamp {stamp}");
                record.line_at(answer.sent, &text);
                late += 1;
            }
        }
        record.line(&format!(
            "{} answers, {late} as of an older version later than that",
            answers.len()
        ));
        regressed += late;
    }
    stop.store(true, Ordering::Relaxed);
    drop(client.join());
    if hosts.iter_mut().any(Host::has_ended) {
        return Verdict::CouldNotRun;
    }
    record.line(&format!("{regressed} requests as of an older version"));
    if regressed > 0 { Verdict::Broken } else { Verdict::Held }
}

fn client_loop(front: SocketAddr, stop: &AtomicBool, answers: &Mutex<Vec<Answer>>) {
    let mut connection = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        number += 1;
        let id = format!("{number:016x}");
        let line = format!("GET /records/{number} HTTP/1.1");
        let headers =
            [("host", "records.example"), ("request-id", id.as_str()), ("deadline-ms", "2000")];
        if connection.is_none() {
            connection = Connection::open(front, Duration::from_secs(3)).ok();
        }
        let sent = Instant::now();
        let answer =
            connection.as_mut().and_then(|connection| connection.call(&line, &headers, b""));
        let received = Instant::now();
        let Some(answer) = answer else {
            connection = None;
            continue;
        };
        let stamp = answer.header("server-stamp").unwrap_or("").to_string();
        answers.lock().expect("no thread panics").push(Answer { sent, received, id, stamp });
    }
}
