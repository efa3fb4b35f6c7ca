//! One run: hosts, clients and faults together, and the checks at its end.

use std::collections::BTreeMap;
use std::io::Result;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use gather::greatest;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use standin::{Fault, Outage};

use crate::client::{Client, Kind as Asked, Record};
use crate::environment::{DOMAINS, HOST_DOMAINS, NEWS_TIME, SHARDS, TOP_K, World};
use crate::faults::{Drawn, Kind, draw};
use crate::host::{GRACE, Host};
use crate::proxy::Harm;
use crate::report::{Broken, Report};

/// Time for which a host and its way to the store must be calm before bounds hold for it.
const CONTACT: Duration = Duration::from_secs(4);

/// Added to bounds for a busy machine that runs the whole world at once.
const MACHINE_SLACK: Duration = Duration::from_millis(1_500);

/// Time after the last fault in which service must be back.
const RECOVERY: Duration = Duration::from_secs(12);

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Draws the faults.
    pub seed: u64,
    /// For how long faults begin.
    pub time: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Clients of each host.
    pub clients: usize,
    /// Whether to play no faults, for measurements.
    pub calm: bool,
    /// The program to run.
    pub binary: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

struct Stage {
    world: Mutex<World>,
    hosts: Mutex<Vec<Host>>,
    records: Mutex<Vec<Record>>,
    report: Mutex<Report>,
    /// When the store was last harmed, for all hosts.
    store_harmed: Mutex<Instant>,
    done: AtomicBool,
    ids: AtomicU64,
    seed: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a plan.
///
/// # Errors
///
/// Fails when the world or the hosts cannot be started.
pub async fn run(plan: Plan) -> Result<Report> {
    let world = World::start(Duration::from_millis(3)).await?;
    let mut hosts = Vec::new();
    let mut seeds = Vec::new();
    for number in 0..plan.hosts {
        let domain = HOST_DOMAINS[number % HOST_DOMAINS.len()];
        let store = world.kv.address();
        let (host, peer) =
            Host::start(number, domain, store, &plan.binary, &plan.folder, &seeds).await?;
        if seeds.len() < 3 {
            seeds.push(peer);
        }
        hosts.push(host);
    }
    let stage = Arc::new(Stage {
        world: Mutex::new(world),
        hosts: Mutex::new(hosts),
        records: Mutex::default(),
        report: Mutex::default(),
        store_harmed: Mutex::new(Instant::now()),
        done: AtomicBool::new(false),
        ids: AtomicU64::new(0),
        seed: plan.seed,
    });
    stage.wait_serving(RECOVERY).await;
    let clients: Vec<_> = (0..plan.hosts * plan.clients)
        .map(|number| tokio::spawn(Arc::clone(&stage).client(number, number % plan.hosts)))
        .collect();
    let mut random = StdRng::seed_from_u64(plan.seed);
    let end = Instant::now() + plan.time;
    let mut playing = Vec::new();
    if plan.calm {
        tokio::time::sleep(plan.time).await;
    }
    while Instant::now() < end {
        let drawn = draw(&mut random);
        lock(&stage.report).faults.push(format!("{drawn:?}"));
        playing.push(tokio::spawn(Arc::clone(&stage).play(drawn)));
        tokio::time::sleep(drawn.pause).await;
    }
    for fault in playing {
        fault.await?;
    }
    if !stage.wait_serving(RECOVERY).await {
        lock(&stage.report).breaks(Broken::NotRecovered, "a host does not serve after all faults");
    }
    stage.calm_changes(random.random_range(0..1_000)).await;
    stage.done.store(true, Ordering::Relaxed);
    for client in clients {
        client.await?;
    }
    stage.check();
    Ok(lock(&stage.report).clone())
}

impl Stage {
    /// Waits until every host serves the query and the newest configuration.
    async fn wait_serving(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let fronts: Vec<_> = lock(&self.hosts).iter().map(|host| host.front.address()).collect();
        for (number, front) in fronts.into_iter().enumerate() {
            let mut client = Client::new(number, front);
            loop {
                let version = lock(&self.world).version.0;
                let all = client.ask(&self.next_id(), Asked::All).await;
                let newest = client.ask(&self.next_id(), Asked::Version(version)).await;
                if all.status == 200 && newest.status == 200 {
                    break;
                }
                if Instant::now() > end {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        true
    }

    /// Makes changes once every host has been calm for long enough to be held to bounds in time, which
    /// hardly happens while faults overlap.
    async fn calm_changes(&self, place: usize) {
        tokio::time::sleep(CONTACT + MACHINE_SLACK).await;
        lock(&self.world).configure();
        tokio::join!(self.drain(place), self.domain_out(place + 1));
    }

    fn next_id(&self) -> String {
        format!("{}-{}", self.seed, self.ids.fetch_add(1, Ordering::Relaxed))
    }

    async fn client(self: Arc<Self>, number: usize, host: usize) {
        let front = lock(&self.hosts)[host].front.address();
        let mut client = Client::new(host, front);
        let mut turn = number;
        while !self.done.load(Ordering::Relaxed) {
            turn += 1;
            let (version, written) = lock(&self.world).version;
            let kind = match turn % 4 {
                0 | 1 => Asked::All,
                2 => Asked::Once,
                _ => Asked::Version(version),
            };
            let before = lock(&self.hosts)[host].incarnation;
            let record = client.ask(&self.next_id(), kind).await;
            self.judge(&record, before, written);
            if record.status != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            lock(&self.records).push(record);
        }
    }

    /// Checks what can only be checked while the run goes on.
    fn judge(&self, record: &Record, incarnation: u32, written: Instant) {
        let (calm_since, same, stopping, callers_harmed) = {
            let host = &lock(&self.hosts)[record.host];
            let same = host.incarnation == incarnation;
            (host.calm_since, same, host.stopping, host.callers_harmed)
        };
        let calm = record.sent.saturating_duration_since(calm_since) > CONTACT && same;
        let harmed = *lock(&self.store_harmed);
        let stable = record.sent.saturating_duration_since(harmed) > CONTACT;
        let due = record.sent.saturating_duration_since(written) > NEWS_TIME + MACHINE_SLACK;
        let mut report = lock(&self.report);
        report.answer(record.status);
        if matches!(record.kind, Asked::Version(_)) && record.status == 404 && due && calm && stable
        {
            report.breaks(Broken::Overdue, format!("{} {:?}", record.id, record.kind));
        }
        let last = stopping.map(|end| end.checked_sub(GRACE / 2).unwrap_or(end));
        let harmed = callers_harmed + MACHINE_SLACK > record.sent;
        if record.cut && !harmed && last.is_some_and(|last| record.ended < last) {
            report.breaks(Broken::Cut, format!("{} at a stopping host", record.id));
        }
    }

    async fn play(self: Arc<Self>, drawn: Drawn) {
        let Drawn { kind, place, time, .. } = drawn;
        match kind {
            Kind::Kill => self.restart(place, Signal::KILL, time).await,
            Kind::KillAll => {
                let count = lock(&self.hosts).len();
                for host in lock(&self.hosts).iter_mut() {
                    host.signal(Signal::KILL);
                }
                tokio::time::sleep(time).await;
                for host in 0..count {
                    self.relaunch(host).await;
                }
            }
            Kind::Stop => self.restart(place, Signal::TERM, time).await,
            Kind::Pause => {
                self.signal(place, Signal::STOP);
                tokio::time::sleep(time).await;
                self.signal(place, Signal::CONT);
            }
            Kind::Reload => self.signal(place, Signal::HUP),
            Kind::HostWay(harm) => {
                self.harm_host_ways(place, harm);
                tokio::time::sleep(time).await;
                self.harm_host_ways(place, Harm::None);
            }
            Kind::CallerWay(harm) => {
                self.harm_caller_way(place, harm);
                tokio::time::sleep(time).await;
                self.harm_caller_way(place, Harm::None);
            }
            Kind::StoreWay(harm) => {
                self.harm_store_way(place, harm);
                tokio::time::sleep(time).await;
                self.harm_store_way(place, Harm::None);
            }
            Kind::Store(mood) => {
                self.set_outage(mood);
                tokio::time::sleep(time).await;
                self.set_outage(Outage::None);
            }
            Kind::Compact => lock(&self.world).kv.compact(),
            Kind::Lapse => {
                self.store_harmed();
                lock(&self.world).kv.expire_leases();
            }
            Kind::Upstream(fault) => {
                self.upstream(place, |upstream| upstream.shard.set_fault(fault));
                tokio::time::sleep(time).await;
                self.upstream(place, |upstream| upstream.shard.set_fault(Fault::None));
            }
            Kind::UpstreamWay(harm) => {
                self.upstream(place, |upstream| upstream.proxy.set(harm));
                tokio::time::sleep(time).await;
                self.upstream(place, |upstream| upstream.proxy.set(Harm::None));
            }
            Kind::Drain => self.drain(place).await,
            Kind::DomainOut => self.domain_out(place).await,
            Kind::Edits => {
                for _ in 0..3 {
                    lock(&self.world).configure();
                    tokio::time::sleep(time / 3).await;
                }
            }
        }
    }

    fn signal(&self, place: usize, signal: Signal) {
        let mut hosts = lock(&self.hosts);
        let number = place % hosts.len();
        hosts[number].signal(signal);
    }

    async fn restart(&self, place: usize, signal: Signal, time: Duration) {
        self.signal(place, signal);
        tokio::time::sleep(time).await;
        let number = place % lock(&self.hosts).len();
        self.relaunch(number).await;
    }

    /// Starts a host again once its process has ended, whoever ended it.
    async fn relaunch(&self, number: usize) {
        let end = Instant::now() + GRACE + MACHINE_SLACK;
        loop {
            {
                let host = &mut lock(&self.hosts)[number];
                if host.has_ended() {
                    if let Err(error) = host.launch() {
                        log::error!("{} cannot be started: {error}", host.name);
                    }
                    return;
                }
                // Another fault has started it again already.
                if host.stopping.is_none() && Instant::now() > end {
                    return;
                }
                if Instant::now() > end {
                    host.signal(Signal::CONT);
                    host.signal(Signal::KILL);
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn harm_store_way(&self, place: usize, harm: Harm) {
        let mut hosts = lock(&self.hosts);
        let number = place % hosts.len();
        hosts[number].store.set(harm);
        hosts[number].disturbed();
    }

    /// Harms the ways to a host; others that hear news or order parts there must do without.
    fn harm_host_ways(&self, place: usize, harm: Harm) {
        let mut hosts = lock(&self.hosts);
        let number = place % hosts.len();
        hosts[number].peers.iter().for_each(|proxy| proxy.set(harm));
        hosts[number].disturbed();
    }

    fn harm_caller_way(&self, place: usize, harm: Harm) {
        let mut hosts = lock(&self.hosts);
        let number = place % hosts.len();
        hosts[number].front.set(harm);
        hosts[number].callers_harmed = Instant::now();
        hosts[number].disturbed();
    }

    fn set_outage(&self, mood: Outage) {
        self.store_harmed();
        lock(&self.world).kv.set_outage(mood);
    }

    fn store_harmed(&self) {
        *lock(&self.store_harmed) = Instant::now();
    }

    fn upstream(&self, place: usize, act: impl FnOnce(&crate::environment::Upstream)) {
        act(lock(&self.world).upstream(place));
    }

    /// Lets an upstream leave; once all calm hosts must know, it gets nothing more.
    async fn drain(&self, place: usize) {
        let ids = {
            let world = lock(&self.world);
            let upstream = world.upstream(place);
            world.register(upstream, "draining");
            vec![upstream.id.clone()]
        };
        self.expect_quiet(&ids, "leaving").await;
        let world = lock(&self.world);
        world.register(world.upstream(place), "ready");
    }

    async fn domain_out(&self, place: usize) {
        let domain = DOMAINS[place % DOMAINS.len()];
        let key = format!("op/evacuate/{domain}");
        let ids: Vec<Box<str>> = {
            let world = lock(&self.world);
            world.kv.put(&key, b"{}");
            let of = world.upstreams.iter().filter(|upstream| upstream.domain == domain);
            of.map(|upstream| upstream.id.clone()).collect()
        };
        self.expect_quiet(&ids, "out").await;
        lock(&self.world).kv.remove(&key);
    }

    /// Waits for the bound, and then for a second in which the upstreams must get nothing, unless a
    /// host or the store has been disturbed.
    async fn expect_quiet(&self, ids: &[Box<str>], why: &str) {
        let written = Instant::now();
        tokio::time::sleep(NEWS_TIME + MACHINE_SLACK).await;
        let before = self.arrivals(ids);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = self.arrivals(ids);
        let disturbed = lock(&self.hosts).iter().map(|host| host.calm_since).max();
        let disturbed = disturbed.max(Some(*lock(&self.store_harmed)));
        let calm = disturbed.is_some_and(|at| at + CONTACT < written);
        if calm && after != before {
            let detail = format!("{} requests to {ids:?}, which are {why}", after - before);
            lock(&self.report).breaks(Broken::Unwanted, detail);
        }
    }

    fn arrivals(&self, ids: &[Box<str>]) -> usize {
        let world = lock(&self.world);
        let named = world.upstreams.iter().filter(|upstream| ids.contains(&upstream.id));
        named.map(|upstream| upstream.shard.arrivals()).sum()
    }

    /// Checks the whole history.
    fn check(&self) {
        let world = lock(&self.world);
        let records = lock(&self.records);
        let mut report = lock(&self.report);
        let mut ran: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
        for (number, upstream) in world.upstreams.iter().enumerate() {
            for run in upstream.shard.runs() {
                if !run.body.is_empty() || !run.line.starts_with("GET /") {
                    report.breaks(Broken::Unasked, format!("{run:?}"));
                }
                ran.entry(run.id).or_default().push(number);
            }
        }
        for record in records.iter() {
            let runs = ran.get(&record.id).map_or(&[][..], Vec::as_slice);
            check_record(&world, record, runs, &mut report);
        }
        check_versions(&records, &mut report);
    }
}

fn check_record(world: &World, record: &Record, runs: &[usize], report: &mut Report) {
    let id = &record.id;
    if record.kind == Asked::Once && runs.len() > 1 {
        report.breaks(Broken::Twice, format!("{id} ran {} times", runs.len()));
    }
    if matches!(record.status, 408 | 421 | 429 | 503) && !runs.is_empty() {
        report.breaks(Broken::FalseRefusal, format!("{id} got {} and ran", record.status));
    }
    if record.status != 200 || record.cut {
        return;
    }
    if record.answered_id.as_ref() != Some(id) {
        report.breaks(Broken::Mixed, format!("{id} got an answer to {:?}", record.answered_id));
    }
    let stamp = |number: &usize| {
        let upstream = &world.upstreams[*number];
        format!("{}.{id}.{}", upstream.id, upstream.records.len())
    };
    let named: Vec<usize> = runs
        .iter()
        .filter(|number| record.stamps.contains(stamp(number).as_str()))
        .copied()
        .collect();
    let mut services: Vec<_> =
        named.iter().map(|number| &world.upstreams[*number].service).collect();
    services.sort_unstable();
    services.dedup();
    if services.len() != record.stamps.len() {
        report.breaks(Broken::Coverage, format!("{id} names {:?}", record.stamps));
    }
    let bodies = || named.iter().map(|number| &*world.upstreams[*number].records);
    let right = match record.kind {
        Asked::All => {
            if record.stamps.len() + record.missing != SHARDS || record.stamps.len() * 2 < SHARDS {
                report.breaks(Broken::Coverage, format!("{id} leaves out {}", record.missing));
            }
            // An upstream that ran a request twice counts once.
            let mut distinct = named.clone();
            distinct.sort_unstable();
            distinct.dedup();
            let bodies = distinct.iter().map(|number| &*world.upstreams[*number].records);
            greatest(bodies, TOP_K) == record.body
        }
        Asked::Once | Asked::Version(_) => bodies().any(|body| *body == *record.body),
    };
    if !right {
        report.breaks(Broken::Mixed, format!("{id} got another body than its upstreams gave"));
    }
}

/// Checks that no client saw an older configuration after a newer one at the same process. A route
/// of version N answers only while N is in force, so answers must come in the order of versions.
fn check_versions(records: &[Record], report: &mut Report) {
    let mut newest: BTreeMap<usize, (u64, Instant)> = BTreeMap::new();
    let mut served: Vec<_> = records
        .iter()
        .filter(|record| record.status == 200)
        .filter_map(|record| match record.kind {
            Asked::Version(version) => Some((record, version)),
            _ => None,
        })
        .collect();
    served.sort_by_key(|(record, _)| record.ended);
    for (record, version) in served {
        let seen = newest.entry(record.host).or_insert((version, record.ended));
        if version < seen.0 && record.sent > seen.1 {
            let detail = format!("{}: version {version} after {}", record.id, seen.0);
            report.breaks(Broken::Reverted, detail);
        }
        if version >= seen.0 {
            *seen = (version, record.ended);
        }
    }
}
