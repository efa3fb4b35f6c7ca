//! The cases: what is played, and the check of the rule. Each returns whether the rule was broken, or
//! `None` if the case couldn't run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::world::{Answer, Backend, HOST, Machine, Manners, Record, Route, World, ask, configure};

pub fn play(case: &str, record: Record) -> Option<bool> {
    match case {
        "second-answer" => second_answer(&World::new(record)),
        "all-backends" => all_backends(&World::new(record)),
        "lost-host" => lost_host(&World::new(record)),
        "quick-restart" => quick_restart(&World::new(record)),
        _ => None,
    }
}

const ZONES: [&str; 3] = ["swan-upper", "canning-reach", "fremantle-mouth"];

/// Starts machines in each zone and waits until they are ready.
fn start_machines(world: &World, per_zone: usize) -> Option<Vec<Machine>> {
    let mut machines = Vec::new();
    for zone in ZONES {
        for number in 1..=per_zone {
            let name = format!("front-{zone}-{number}");
            machines.push(Machine::start(world, &name, zone, 0.25));
        }
    }
    world.wait_ready(&machines).then_some(machines)
}

/// Has one caller a machine send one request after the other until `end`, one in each `interval` on
/// average.
fn load(
    world: &World,
    machines: &[Machine],
    interval: Duration,
    end: Instant,
    (method, path, deadline): (&str, &str, Duration),
) -> Vec<Answer> {
    thread::scope(|scope| {
        let call = |machine: &Machine| {
            let mut client = Client::new(machine.front);
            let mut answers = Vec::new();
            thread::sleep(interval.mul_f64(world.random.fraction()));
            while Instant::now() < end {
                let path = format!("{path}{}", world.random.id());
                let sent = Instant::now();
                answers.push(ask(world, &mut client, &machine.name, method, &path, deadline));
                let next = interval.mul_f64(0.5 + world.random.fraction());
                thread::sleep(next.saturating_sub(sent.elapsed()));
            }
            answers
        };
        let callers = machines.iter().map(|machine| scope.spawn(move || call(machine)));
        let callers: Vec<_> = callers.collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

fn count_statuses(world: &World, answers: &[Answer]) {
    let mut statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    statuses.sort_unstable();
    statuses.dedup();
    for status in statuses {
        let count = answers.iter().filter(|answer| answer.status == status).count();
        world.record.say(&format!("answers with status {status}: {count}"));
    }
}

fn second_answer(world: &World) -> Option<bool> {
    let manners = Manners {
        work: Duration::from_millis(25),
        capacity: 4,
        queue: 2,
        doubled: if world.trouble { 0.04 } else { 0.0 },
        ..Manners::default()
    };
    let backend = Backend::start(world, "i-1", "tender", ZONES[0], Duration::ZERO, manners);
    let route = Route {
        name: "bids",
        prefix: "/bids/",
        kind: "non_idempotent",
        service: "tender",
        timeout_ms: 4_000,
        slo_ms: 250,
    };
    configure(world, 3, &[route], &["tender"]);
    let machines = start_machines(world, 3)?;
    let end = Instant::now() + Duration::from_secs(40);
    let kind = ("POST", "/bids/", Duration::from_secs(4));
    let answers = load(world, &machines, Duration::from_millis(40), end, kind);
    thread::sleep(Duration::from_millis(500));
    drop(machines);
    count_statuses(world, &answers);
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in &*backend.runs.lock().unwrap() {
        *runs.entry(run.id.clone()).or_default() += 1;
    }
    let mut broken = false;
    for answer in &answers {
        let count = runs.get(&answer.id).copied().unwrap_or(0);
        if count > 1 {
            world.record.say(&format!("TWICE: {} ran {count} times", answer.id));
        }
        let is_promise = [429, 503, 408, 421].contains(&answer.status);
        if is_promise && count > 0 {
            let status = answer.status;
            world.record.say(&format!("REFUSED: {} was answered {status} and has run", answer.id));
        }
        broken |= count > 1 || is_promise && count > 0;
    }
    Some(broken)
}

fn quick_restart(world: &World) -> Option<bool> {
    let calm = || Manners { capacity: 6, queue: 24, ..Manners::default() };
    let warmup = Duration::from_secs(3);
    let backends: Vec<Arc<Backend>> = (1..=2)
        .map(|number| {
            let (id, zone) = (format!("i-{number}"), ZONES[number - 1]);
            Backend::start(world, &id, "archive", zone, warmup, calm())
        })
        .collect();
    let route = Route {
        name: "files",
        prefix: "/files/",
        kind: "idempotent",
        service: "archive",
        timeout_ms: 4_000,
        slo_ms: 250,
    };
    configure(world, 3, &[route], &["archive"]);
    let machines = start_machines(world, 3)?;
    thread::sleep(warmup);
    let end = Instant::now() + Duration::from_secs(60);
    let kind = ("GET", "/files/", Duration::from_secs(4));
    let mut cold = Vec::new();
    let answers = thread::scope(|scope| {
        let clients = scope.spawn(|| load(world, &machines, Duration::from_millis(200), end, kind));
        let mut turns = backends.iter().cycle();
        while Instant::now() + Duration::from_secs(8) < end {
            thread::sleep(Duration::from_secs(3));
            let backend = turns.next().expect("there are backends");
            if world.trouble {
                backend.restart(Duration::from_millis(100));
            }
            cold.push((backend, backend.cold_span()));
            thread::sleep(Duration::from_secs(4));
        }
        clients.join().unwrap()
    });
    drop(machines);
    count_statuses(world, &answers);
    Some(is_flooded(world, &cold))
}

fn lost_host(world: &World) -> Option<bool> {
    let calm = || Manners { capacity: 6, queue: 24, ..Manners::default() };
    for (number, zone) in ZONES[..2].iter().enumerate() {
        Backend::start(world, &format!("i-{number}"), "archive", zone, Duration::ZERO, calm());
    }
    let route = Route {
        name: "files",
        prefix: "/files/",
        kind: "idempotent",
        service: "archive",
        timeout_ms: 4_000,
        slo_ms: 250,
    };
    configure(world, 3, &[route], &["archive"]);
    let mut machines = start_machines(world, 3)?;
    let end = Instant::now() + Duration::from_secs(95);
    let bound = Duration::from_millis(4_000 + 3_000);
    let mut broken = false;
    for round in (0..).take_while(|_| Instant::now() + Duration::from_secs(15) < end) {
        let zone = round % ZONES.len();
        let (stopped, lost, asked) = (zone * 3, zone * 3 + 1, (zone * 3 + 3) % 9);
        // The first machine of a zone registers the others of the zone, which follow it.
        let key = format!("hosts/{}", machines[lost].name);
        let registrar = format!("\"registrar\":\"{}\"", machines[stopped].name);
        let until = Instant::now() + Duration::from_secs(10);
        while !world.store.get(&key).is_some_and(|value| value.contains(&registrar)) {
            if Instant::now() > until {
                world.record.say("a machine was not registered by the first one of its zone");
                return None;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let address = machines[lost].front.to_string();
        if world.trouble {
            machines[lost].kill();
            world.record.line(&format!("{} is lost", machines[lost].name));
        }
        let lost_at = Instant::now();
        thread::sleep(Duration::from_millis(3_300));
        machines[stopped].terminate();
        world.record.line(&format!("{} gets SIGTERM", machines[stopped].name));
        let mut client = Client::new(machines[asked].directory);
        let query = format!("name={HOST}&region=perth-metro&zone={}", ZONES[zone]);
        let request = format!("GET /pistachiorock/resolve?{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        let mut named = 0;
        while lost_at.elapsed() < Duration::from_millis(9_500) {
            let age = lost_at.elapsed();
            let answer = client.call(request.as_bytes(), Duration::from_secs(1));
            let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            let text = text.unwrap_or_default();
            world.record.line(&format!(
                "{} ms later the directory of {} answers {text}",
                age.as_millis(),
                machines[asked].name
            ));
            named += usize::from(world.trouble && text.contains(&address) && age > bound);
            thread::sleep(Duration::from_millis(100));
        }
        world.record.say(&format!(
            "{named} answers name {} ({address}) over {} ms after its loss",
            machines[lost].name,
            bound.as_millis()
        ));
        if named > 3 {
            world.record.say("DRAIN: more than three answers name a machine that was lost");
            broken = true;
        }
        for machine in [stopped, lost] {
            machines[machine].kill();
            machines[machine].run(world);
        }
        thread::sleep(Duration::from_secs(2));
    }
    Some(broken)
}

/// Checks FAILBACK for backends and the times in which they were cold.
fn is_flooded(world: &World, cold: &[(&Arc<Backend>, (Instant, Instant))]) -> bool {
    let allowed = 5;
    let mut broken = false;
    for (backend, (from, until)) in cold {
        let arrivals = backend.arrivals.lock().unwrap();
        let times = arrivals.iter().map(|event| event.at).filter(|at| (*from..*until).contains(at));
        let times: Vec<Instant> = times.collect();
        let in_second = |first: &Instant| {
            let second = *first..*first + Duration::from_secs(1);
            times.iter().filter(|at| second.contains(at)).count()
        };
        let most = times.iter().map(in_second).max().unwrap_or(0);
        world
            .record
            .say(&format!("{}: at most {most} requests in a second while cold", backend.id));
        if most > allowed {
            world
                .record
                .say(&format!("FAILBACK: {} got {most}, {allowed} are allowed", backend.id));
            broken = true;
        }
    }
    broken
}

fn all_backends(world: &World) -> Option<bool> {
    let calm = || Manners { capacity: 6, queue: 24, ..Manners::default() };
    let warmup = Duration::from_secs(3);
    let start = |(zone, number): (&&str, i32)| {
        Backend::start(world, &format!("i-{number}"), "archive", zone, warmup, calm())
    };
    let backends: Vec<Arc<Backend>> = ZONES.iter().zip(1..).map(start).collect();
    let route = Route {
        name: "files",
        prefix: "/files/",
        kind: "idempotent",
        service: "archive",
        timeout_ms: 4_000,
        slo_ms: 250,
    };
    configure(world, 3, &[route], &["archive"]);
    let machines = start_machines(world, 3)?;
    thread::sleep(warmup);
    let end = Instant::now() + Duration::from_secs(40);
    let kind = ("GET", "/files/", Duration::from_secs(4));
    let mut cold = Vec::new();
    let answers = thread::scope(|scope| {
        let clients = scope.spawn(|| load(world, &machines, Duration::from_millis(100), end, kind));
        while Instant::now() + Duration::from_secs(12) < end {
            thread::sleep(Duration::from_secs(5));
            if world.trouble {
                thread::scope(|crashes| {
                    for backend in &backends {
                        crashes.spawn(|| backend.restart(Duration::from_secs(3)));
                    }
                });
            }
            cold.extend(backends.iter().map(|backend| (backend, backend.cold_span())));
            thread::sleep(Duration::from_secs(4));
        }
        clients.join().unwrap()
    });
    drop(machines);
    count_statuses(world, &answers);
    Some(is_flooded(world, &cold))
}
