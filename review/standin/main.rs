//! Scripted cases of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. Without the disruption if `TROUBLE` is 0.

mod http;
mod json;
mod store;
mod world;

use std::io::Result;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use world::{Backend, Clients, Node, Proxy, Record, SIGKILL, SIGTERM, Spoil, World};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Result of a case: how often the rule was broken; `None` if the case could not run.
type Broken = Result<Option<usize>>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.note(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = match &*case {
        "spoiled" => spoiled(&record, trouble),
        "stop" => stop(&record, trouble),
        "leave" => leave(&record, trouble),
        "directory" => directory(&record, trouble),
        "cold" => cold(&record, trouble),
        "regress" => regress(&record, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    let (code, text) = match result {
        Ok(Some(0)) => (0, "the rule held".to_string()),
        Ok(Some(count)) => (1, format!("the rule was broken {count} times")),
        Ok(None) => (2, "the case could not run".into()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.note(&*text);
    println!("{case}: {text}");
    if let Err(error) = record.write(&path) {
        eprintln!("cannot write {path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

/// MIXED: two of five backends spoil 2 in 100 of their answers. A client gets a success without the
/// backend's signature, or with a body that is not the backend's.
fn spoiled(record: &Record, trouble: bool) -> Broken {
    let zones = ["zone-a", "zone-b"];
    let world = World::start(record, &zones)?;
    let routes = [
        World::route("book", "/book/", "non_idempotent", "archive", 2, (250, 4_000)),
        World::route("fetch", "/fetch/", "idempotent", "archive", 2, (250, 4_000)),
    ];
    world.configure(7, &routes, &[("archive", 110)]);
    let backends: Vec<Backend> = (0..5)
        .map(|index| Backend::start(&world, "archive", zones[index % 2], 6, MS(20)))
        .collect::<Result<_>>()?;
    let nodes = [
        world.node(0, "front-zone-a-1", "zone-a", world.store.address)?,
        world.node(1, "front-zone-b-1", "zone-b", world.store.address)?,
    ];
    if !world.wait_ready(&nodes) {
        return Ok(None);
    }
    thread::sleep(MS(2_000));
    if trouble {
        record.note("two backends begin to spoil 2 in 100 of their answers");
        backends[..2].iter().for_each(|backend| backend.set_spoil_ratio(0.02));
    }
    let clients = Clients::default();
    let end = Instant::now() + MS(70_000);
    thread::scope(|scope| {
        for index in 0..12 {
            let (node, clients) = (&nodes[index % 2], &clients);
            scope.spawn(move || {
                let request = if index < 8 { ("POST", "/book/1") } else { ("GET", "/fetch/1") };
                while Instant::now() < end {
                    clients.send(record, (&node.name, node.front()), request, MS(4_000));
                    thread::sleep(MS(40));
                }
            });
        }
    });
    let runs: Vec<_> = backends.iter().flat_map(Backend::runs).collect();
    let spoils = runs.iter().filter(|run| run.spoil != Spoil::No).count();
    let mut broken = 0;
    for sent in clients.all() {
        let Some(answer) = sent.answer.as_ref().filter(|answer| answer.status() / 100 == 2) else {
            continue;
        };
        let stamp = answer.header("server-stamp").unwrap_or_default();
        let signed = backends.iter().any(|backend| backend.stamp(&sent.id) == stamp);
        let whole = answer.body == Backend::body(&sent.id).into_bytes();
        if !signed || !whole || answer.header("content-encoding").is_some() {
            broken += 1;
            record.note(format!(
                "BROKEN: {} got {} from {}, signature {}, body {:?}",
                sent.id,
                answer.status(),
                sent.node,
                if signed { "present" } else { "missing" },
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }
    let count = clients.all().len();
    record.note(format!("{count} requests, {} runs, {spoils} spoiled answers", runs.len()));
    println!("{count} requests, {} runs, {spoils} spoiled answers, {broken} passed on as 2xx", runs.len());
    if count < 500 || trouble && spoils == 0 {
        return Ok(None);
    }
    Ok(Some(broken))
}

/// LOST: one machine gets SIGTERM. It takes requests until 3.3 s after it and cuts those that are
/// still at work 5.58 s after it.
fn stop(record: &Record, trouble: bool) -> Broken {
    let zones = ["zone-a", "zone-b"];
    let world = World::start(record, &zones)?;
    let routes = [World::route("book", "/book/", "non_idempotent", "archive", 2, (4_000, 10_000))];
    world.configure(7, &routes, &[("archive", 110)]);
    let backends: Vec<Backend> = (0..4)
        .map(|index| Backend::start(&world, "archive", zones[index % 2], 24, MS(2_700)))
        .collect::<Result<_>>()?;
    let mut nodes = [
        world.node(0, "front-zone-a-1", "zone-a", world.store.address)?,
        world.node(1, "front-zone-b-1", "zone-b", world.store.address)?,
    ];
    if !world.wait_ready(&nodes) {
        return Ok(None);
    }
    thread::sleep(MS(2_000));
    let clients = Clients::default();
    let start = Instant::now();
    let term_at = start + MS(3_000);
    let fronts = [("front-zone-a-1", nodes[0].front()), ("front-zone-b-1", nodes[1].front())];
    let mut stopped = None;
    let mut killed = false;
    thread::scope(|scope| {
        // A client keeps an answer of the directory, which it got before the SIGTERM, for as long as
        // the time in it, and some three times as long. The time is two seconds.
        let mut next = start;
        while Instant::now() < start + MS(13_000) {
            let now = Instant::now();
            if stopped.is_none() && now >= term_at {
                stopped = Some(now);
                if trouble {
                    stopped = Some(nodes[0].signal(SIGTERM));
                }
            }
            let grace_over = stopped.is_some_and(|at| now >= at + MS(6_000));
            if trouble && grace_over && !killed {
                killed = true;
                if nodes[0].has_ended() {
                    record.note("front-zone-a-1 has ended within its grace period");
                } else {
                    nodes[0].signal(SIGKILL);
                }
            }
            if now >= next && now < start + MS(9_000) {
                next += MS(80);
                let clients = &clients;
                scope.spawn(move || {
                    let sent = clients.send(record, fronts[0], ("POST", "/book/1"), MS(10_000));
                    if sent.sent.is_none() {
                        // The node takes no more connections; the client goes to the other one.
                        clients.send(record, fronts[1], ("POST", "/book/1"), MS(10_000));
                    }
                });
            }
            thread::sleep(MS(2));
        }
    });
    let stopped = stopped.unwrap_or(term_at);
    let runs: Vec<_> = backends.iter().flat_map(Backend::runs).collect();
    let mut broken = 0;
    let mut excused = 0;
    let mut answered = 0;
    for sent in clients.all() {
        let Some(sent_at) = sent.sent else { continue };
        if sent.answer.is_some() {
            answered += 1;
            continue;
        }
        let Some(run) = runs.iter().find(|run| run.id == sent.id) else { continue };
        let after = sent_at.saturating_duration_since(stopped);
        let at_work = run.ended.is_none_or(|ended| ended >= stopped + MS(5_000));
        if after <= MS(3_000) && at_work {
            excused += 1;
            continue;
        }
        broken += 1;
        record.note(format!(
            "BROKEN: {} was sent to {} {:.3} s after the SIGTERM and passed on; its connection \
             ended without an answer {:.3} s after the SIGTERM",
            sent.id,
            sent.node,
            after.as_secs_f64(),
            sent.ended.saturating_duration_since(stopped).as_secs_f64()
        ));
    }
    record.note(format!("{answered} requests answered, {excused} cut that are excused"));
    println!("{answered} requests answered, {excused} cut that are excused, {broken} lost");
    if answered < 50 {
        return Ok(None);
    }
    Ok(Some(broken))
}

/// DRAIN: the machine that the others follow is cut off from the store while a backend leaves whose
/// entry is removed. The others, which nothing disturbs, send to it later than `drain_ms` after that.
fn leave(record: &Record, trouble: bool) -> Broken {
    let world = World::start(record, &["zone-a"])?;
    let routes = [World::route("fetch", "/fetch/", "idempotent", "archive", 2, (250, 4_000))];
    world.configure(7, &routes, &[("archive", 110)]);
    let mut backends: Vec<Backend> = (0..4)
        .map(|_| Backend::start(&world, "archive", "zone-a", 6, MS(20)))
        .collect::<Result<_>>()?;
    let proxy = Proxy::start(world.store.address)?;
    let nodes = [
        world.node(0, "front-zone-a-1", "zone-a", proxy.address)?,
        world.node(1, "front-zone-a-2", "zone-a", world.store.address)?,
        world.node(2, "front-zone-a-3", "zone-a", world.store.address)?,
    ];
    if !world.wait_ready(&nodes) {
        return Ok(None);
    }
    thread::sleep(MS(5_000));
    let clients = Clients::default();
    let rounds = 3_u64;
    let round = MS(14_000);
    let start = Instant::now();
    let end = start + round * rounds as u32;
    let mut leaves = Vec::new();
    thread::scope(|scope| {
        for index in 0..12 {
            let (node, clients) = (&nodes[1 + index % 2], &clients);
            scope.spawn(move || {
                while Instant::now() < end {
                    clients.send(record, (&node.name, node.front()), ("GET", "/fetch/1"), MS(4_000));
                    thread::sleep(MS(40));
                }
            });
        }
        for _ in 0..rounds {
            thread::sleep(MS(1_000));
            if trouble {
                record.note("front-zone-a-1 is cut off from the store");
                proxy.set_silent(true);
            }
            thread::sleep(MS(100));
            let leaving = backends.remove(0);
            let at = world.store.remove(&format!("servers/{}", leaving.id));
            record.note_at(at, format!("backend {} leaves: its entry is removed", leaving.id));
            leaves.push((leaving, at));
            thread::sleep(MS(3_900));
            if trouble {
                record.note("front-zone-a-1 reaches the store again");
                proxy.set_silent(false);
            }
            let new = Backend::start(&world, "archive", "zone-a", 6, MS(20));
            backends.extend(new);
            thread::sleep(round - MS(5_000));
        }
    });
    let mut broken = 0;
    for (backend, at) in &leaves {
        for run in backend.runs().iter().filter(|run| run.arrived > *at + MS(3_000)) {
            broken += 1;
            let node = clients.sent.lock().unwrap().get(&run.id).map(|sent| sent.node.clone());
            record.note(format!(
                "BROKEN: {} reached {} by {} {:.3} s after its entry was removed",
                run.id,
                backend.id,
                node.unwrap_or_default(),
                (run.arrived - *at).as_secs_f64()
            ));
        }
    }
    for node in &nodes[1..] {
        for line in node.log().lines().filter(|line| line.contains("store is available again")) {
            record.note(format!("log of {}: {line}", node.name));
        }
    }
    let count = clients.all().iter().filter(|sent| sent.answer.is_some()).count();
    println!("{count} requests answered, {broken} reached a backend that had left");
    if count < 500 {
        return Ok(None);
    }
    Ok(Some(broken))
}

/// DRAIN: a machine is lost for good while the store is down. The directory names it beside running
/// machines more than `contact_ms` + 3 s later, when the machines that answer are in touch again.
fn directory(record: &Record, trouble: bool) -> Broken {
    let zones = ["zone-a", "zone-b", "zone-c"];
    let world = World::start(record, &zones)?;
    let routes = [World::route("fetch", "/fetch/", "idempotent", "archive", 2, (250, 4_000))];
    world.configure(7, &routes, &[("archive", 110)]);
    let _backends: Vec<Backend> = (0..3)
        .map(|index| Backend::start(&world, "archive", zones[index], 6, MS(20)))
        .collect::<Result<_>>()?;
    let nodes: Vec<Node> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| world.node(i as u8, &format!("front-{zone}-1"), zone, world.store.address))
        .collect::<Result<_>>()?;
    if !world.wait_ready(&nodes) {
        return Ok(None);
    }
    thread::sleep(MS(4_000));
    let lost = nodes[2].front().to_string();
    // Leases last 5.5 s and are renewed every 2.2 s. What is left of a lease when the store goes down
    // is left when it comes back, so the outage begins in the second after a renewal.
    let is_renewed = |(key, left): &(String, Option<Duration>)| {
        key.ends_with("front-zone-c-1") && left.is_some_and(|left| left > MS(4_600))
    };
    let end = Instant::now() + MS(10_000);
    while !world.store.leased("hosts/").iter().any(is_renewed) {
        if Instant::now() > end {
            return Ok(None);
        }
        thread::sleep(MS(10));
    }
    thread::sleep(MS(world::random() % 500));
    let down = Instant::now();
    if trouble {
        world.store.set_down(true);
        record.note("the store is down; leases pause");
        for (key, left) in world.store.leased("hosts/") {
            record.note(format!("{key}: its lease has {left:?} left"));
        }
    }
    thread::sleep(MS(200));
    let killed = if trouble { nodes[2].signal(SIGKILL) } else { Instant::now() };
    thread::sleep((down + MS(5_000)).saturating_duration_since(Instant::now()));
    world.store.set_down(false);
    let back = Instant::now();
    record.note("the store is up");
    let mut broken = 0;
    let mut answers = 0;
    while Instant::now() < back + MS(9_000) {
        for (node, zone) in nodes[..2].iter().zip(zones) {
            let Some(addresses) = node.resolve(zone) else { continue };
            let now = Instant::now();
            answers += 1;
            let names = trouble && addresses.contains(&lost) && addresses.len() > 1;
            record.note_at(now, format!("the directory of {} names {addresses:?}", node.name));
            let due = now > back + MS(4_000) && now > killed + MS(7_000);
            if names && due {
                broken += 1;
                record.note_at(
                    now,
                    format!(
                        "BROKEN: {} names {lost}, killed {:.3} s before, {:.3} s after the store \
                         came back",
                        node.name,
                        (now - killed).as_secs_f64(),
                        (now - back).as_secs_f64()
                    ),
                );
            }
        }
        thread::sleep(MS(100));
    }
    println!("{answers} answers, {broken} name the lost machine too late");
    if answers < 50 {
        return Ok(None);
    }
    // Three such answers are allowed.
    Ok(Some(if broken > 3 { broken } else { 0 }))
}

/// FAILBACK: a backend crashes and starts again, under its id and cold, while the store is down. The
/// nodes send to it as if it were warm.
fn cold(record: &Record, trouble: bool) -> Broken {
    let zones = ["zone-a", "zone-b"];
    let world = World::start(record, &zones)?;
    let routes = [World::route("fetch", "/fetch/", "idempotent", "archive", 2, (250, 4_000))];
    // `cold_per_s` of the service is 5, `cold_over` 1.5 and `cold_slack` 5.
    world.configure(7, &routes, &[("archive", 110)]);
    let backends: Vec<Backend> = (0..2)
        .map(|index| Backend::start(&world, "archive", zones[index], 6, MS(20)))
        .collect::<Result<_>>()?;
    let nodes = [
        world.node(0, "front-zone-a-1", "zone-a", world.store.address)?,
        world.node(1, "front-zone-b-1", "zone-b", world.store.address)?,
    ];
    if !world.wait_ready(&nodes) {
        return Ok(None);
    }
    thread::sleep(MS(3_000));
    let clients = Clients::default();
    let start = Instant::now();
    let end = start + MS(14_000);
    let mut started = start;
    thread::scope(|scope| {
        for index in 0..20 {
            let (node, clients) = (&nodes[index % 2], &clients);
            scope.spawn(move || {
                while Instant::now() < end {
                    clients.send(record, (&node.name, node.front()), ("GET", "/fetch/1"), MS(4_000));
                    thread::sleep(MS(60));
                }
            });
        }
        thread::sleep(MS(3_000));
        if trouble {
            world.store.set_down(true);
            record.note("the store is down");
        }
        thread::sleep(MS(500));
        backends[0].set_up(false);
        thread::sleep(MS(700));
        let entry = format!("servers/{}", backends[0].id);
        if !trouble {
            world.store.put(&entry, &backends[0].entry(3_000));
        }
        backends[0].set_cold_for(MS(3_000));
        started = backends[0].set_up(true);
        thread::sleep(MS(3_000));
        if trouble {
            world.store.set_down(false);
            record.note("the store is up");
            world.store.put(&entry, &backends[0].entry(0));
        }
    });
    let mut arrivals: Vec<Instant> = backends[0].runs().iter().map(|run| run.arrived).collect();
    arrivals.retain(|at| *at >= started && *at < started + MS(3_000));
    arrivals.sort();
    let bound = 5.0 * 1.5 + 5.0;
    let within = |first: &Instant| {
        arrivals.iter().filter(|at| *at >= first && **at < *first + MS(1_000)).count()
    };
    let most = arrivals.iter().map(within).max().unwrap_or(0);
    let broken = arrivals.iter().filter(|first| within(first) as f64 > bound).count();
    let text = format!(
        "{} requests reached the cold backend in 3 s, {most} in one second; {bound} are allowed",
        arrivals.len()
    );
    println!("{text}");
    record.note(text);
    let count = clients.all().iter().filter(|sent| sent.answer.is_some()).count();
    if count < 300 {
        return Ok(None);
    }
    Ok(Some(broken))
}

/// CONFIG: a small machine passes requests on to larger ones. While its own configuration lags behind,
/// it serves a request by the new version and refuses a later one with 404 by the old version.
fn regress(record: &Record, trouble: bool) -> Broken {
    let zones = ["zone-a", "zone-b"];
    let world = World::start(record, &zones)?;
    let route = |name: &str, service: &str| {
        World::route(name, &format!("/{name}/"), "idempotent", service, 2, (250, 4_000))
    };
    let services = [("before", 110), ("after", 110)];
    world.configure(7, &[route("fetch", "before")], &services);
    let mut backends = Vec::new();
    for (service, _) in services {
        for zone in zones {
            backends.push(Backend::start(&world, service, zone, 6, MS(20))?);
        }
    }
    let proxy = Proxy::start(world.store.address)?;
    // The machines of a deployment differ in size: 0.12 to 0.5 cores.
    let store = world.store.address;
    let nodes = [
        world.sized_node(0, "front-zone-a-1", "zone-a", proxy.address, 0.12)?,
        world.sized_node(1, "front-zone-a-2", "zone-a", store, 0.12)?,
        world.sized_node(2, "front-zone-b-1", "zone-b", store, 0.5)?,
        world.sized_node(3, "front-zone-b-2", "zone-b", store, 0.5)?,
        world.sized_node(4, "front-zone-b-3", "zone-b", store, 0.5)?,
    ];
    if !world.wait_ready(&nodes) {
        return Ok(None);
    }
    thread::sleep(MS(6_000 + world::random() % 1_500));
    let clients = Clients::default();
    let start = Instant::now();
    let end = start + MS(9_000);
    thread::scope(|scope| {
        for (path, pause) in [("/fetch/1", 40), ("/added/1", 40)] {
            let (node, clients) = (&nodes[1], &clients);
            scope.spawn(move || {
                while Instant::now() < end {
                    clients.send(record, (&node.name, node.front()), ("GET", path), MS(4_000));
                    thread::sleep(MS(pause));
                }
            });
        }
        thread::sleep(MS(2_000));
        if trouble {
            record.note("front-zone-a-1 is cut off from the store");
            proxy.set_silent(true);
        }
        thread::sleep(MS(100));
        world.configure(8, &[route("fetch", "after"), route("added", "after")], &services);
        thread::sleep(MS(3_900));
        proxy.set_silent(false);
        record.note("front-zone-a-1 reaches the store");
    });
    let sent = clients.all();
    let runs_of = |service: &str| {
        let backends = backends.iter().filter(|backend| backend.service == service);
        backends.flat_map(Backend::runs).collect::<Vec<_>>()
    };
    let effect = runs_of("after").iter().map(|run| run.arrived).min();
    let Some(effect) = effect else { return Ok(None) };
    record.note_at(effect, "a backend sees the effect of version 8 through front-zone-a-2");
    let late = |sent: &&world::Sent| sent.sent.is_some_and(|at| at > effect + MS(250));
    let before: Vec<String> = runs_of("before").into_iter().map(|run| run.id).collect();
    let mut broken = 0;
    for sent in sent.iter().filter(late) {
        let status = sent.answer.as_ref().map_or(0, |answer| answer.status());
        if status == 404 || before.contains(&sent.id) {
            broken += 1;
            let after = sent.sent.map_or(0.0, |at| (at - effect).as_secs_f64());
            let how = if status == 404 { "refused with 404" } else { "run by the old service" };
            record.note(format!("BROKEN: {} was {how}, sent {after:.3} s after that", sent.id));
        }
    }
    println!("{} requests to front-zone-a-2, {broken} handled by an older version", sent.len());
    if sent.len() < 200 {
        return Ok(None);
    }
    Ok(Some(broken))
}
