//! A run: hosts, clients and faults, and the checks of each answer.

use std::collections::BTreeSet;
use std::io::Result;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use standin::{Fault, Impairment, StoreFault};

use crate::check::check_history;
use crate::client::{Client, Exchange, Route};
use crate::environment::{Environment, HOST_DOMAINS, MAX_UPDATE_LAG};
use crate::faults::{Injection, Kind, draw};
use crate::host::{Host, SHUTDOWN_GRACE};
use crate::report::{Report, Violation};
use crate::scenario::Scenario;

/// Time for which the store, a host and the connections between them must have been undisturbed
/// before time limits are checked on the host.
pub const UNDISTURBED_WINDOW: Duration = Duration::from_secs(4);

/// Added to time limits, since one busy machine runs all hosts, upstreams and clients.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(1_500);

/// Time after the last fault within which every host must serve requests again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time between the shutdown of a host and its start when hosts are replaced.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(700);

/// Number of configurations that a restored store has lost.
const LOST_CONFIGURATIONS: usize = 8;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Random seed from which the faults are drawn.
    pub seed: u64,
    /// Time during which new faults begin.
    pub duration: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of clients per host.
    pub clients_per_host: usize,
    /// Whether to inject no faults, for measurements.
    pub no_faults: bool,
    /// The scenarios to play after the random faults; all of them if there are none.
    pub scenarios: Vec<Scenario>,
    /// Path of the host program.
    pub binary: PathBuf,
    /// Path of an earlier version of the host program, with which the hosts start. They are replaced
    /// one by one during the run.
    pub upgrade_from: Option<PathBuf>,
    /// Folder for the settings and logs of the hosts.
    pub folder: PathBuf,
}

/// State that the tasks of a run share.
pub struct Run {
    pub environment: Mutex<Environment>,
    pub hosts: Mutex<Vec<Host>>,
    exchanges: Mutex<Vec<Exchange>>,
    pub report: Mutex<Report>,
    /// When an outage of the store or the expiry of its leases last began or ended.
    store_disturbed: Mutex<Instant>,
    /// Whether the clients are to stop.
    done: AtomicBool,
    /// Number of request ids that have been issued.
    id_count: AtomicU64,
    seed: u64,
}

/// Locks a mutex, also after a task has panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the environment, the hosts and the clients, injects faults and returns the report.
///
/// # Errors
///
/// Returns an error when the environment or a host cannot be started, or when a task panics.
pub async fn run(plan: Plan) -> Result<Report> {
    let environment = Environment::start(Duration::from_millis(3)).await?;
    let mut hosts = Vec::new();
    let mut bootstrap_addresses = Vec::new();
    for number in 0..plan.hosts {
        let domain = HOST_DOMAINS[number % HOST_DOMAINS.len()];
        let store = environment.store.address();
        let binary = plan.upgrade_from.as_ref().unwrap_or(&plan.binary);
        let (mut host, peer) =
            Host::start(number, domain, store, binary, &plan.folder, &bootstrap_addresses).await?;
        host.set_binary(&plan.binary);
        if bootstrap_addresses.len() < 3 {
            bootstrap_addresses.push(peer);
        }
        hosts.push(host);
    }
    let run = Arc::new(Run {
        environment: Mutex::new(environment),
        hosts: Mutex::new(hosts),
        exchanges: Mutex::default(),
        report: Mutex::default(),
        store_disturbed: Mutex::new(Instant::now()),
        done: AtomicBool::new(false),
        id_count: AtomicU64::new(0),
        seed: plan.seed,
    });
    run.wait_serving(RECOVERY_TIMEOUT).await;
    let clients: Vec<_> = (0..plan.hosts * plan.clients_per_host)
        .map(|number| tokio::spawn(Arc::clone(&run).run_client(number, number % plan.hosts)))
        .collect();
    let mut random = StdRng::seed_from_u64(plan.seed);
    let is_upgrade = plan.upgrade_from.is_some();
    if is_upgrade {
        run.replace(0..plan.hosts / 2).await;
        run.change_undisturbed(random.random_range(0..1_000)).await;
    }
    let end = Instant::now() + plan.duration;
    let mut injections = Vec::new();
    if plan.no_faults {
        tokio::time::sleep(plan.duration).await;
    }
    while Instant::now() < end {
        let injection = draw(&mut random);
        // Versions before eras are not expected to survive a restored store.
        if is_upgrade && injection.kind == Kind::RestoreStore {
            continue;
        }
        lock(&run.report).faults.push(format!("{injection:?}"));
        injections.push(tokio::spawn(Arc::clone(&run).inject(injection)));
        tokio::time::sleep(injection.pause).await;
    }
    if is_upgrade {
        run.replace(plan.hosts / 2..plan.hosts).await;
    }
    for injection in injections {
        injection.await?;
    }
    if !run.wait_serving(RECOVERY_TIMEOUT).await {
        lock(&run.report).add_violation(
            Violation::NotRecovered,
            "a host does not serve requests after all faults have ended",
        );
    }
    Scenario::play(&run, &mut random, &plan.scenarios).await;
    run.done.store(true, Ordering::Relaxed);
    for client in clients {
        client.await?;
    }
    let mut report = lock(&run.report);
    check_history(&lock(&run.environment), &lock(&run.exchanges), &mut report);
    Ok(report.clone())
}

impl Run {
    /// Waits until every host serves the query and the newest configuration. Returns false if one
    /// does not after `timeout`.
    async fn wait_serving(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let fronts: Vec<_> = lock(&self.hosts).iter().map(|host| host.front.address()).collect();
        for (index, front) in fronts.into_iter().enumerate() {
            let mut client = Client::new(index, front);
            loop {
                let version = lock(&self.environment).version.0;
                let all_shards = client.send(&self.next_id(), Route::AllShards).await;
                let newest = client.send(&self.next_id(), Route::Version(version)).await;
                if all_shards.status == 200 && newest.status == 200 {
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

    pub fn next_id(&self) -> String {
        format!("{}-{}", self.seed, self.id_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends requests to a host until the run is over. `number` tells with which route to begin.
    async fn run_client(self: Arc<Self>, number: usize, host: usize) {
        let front = lock(&self.hosts)[host].front.address();
        let mut client = Client::new(host, front);
        let mut turn = number;
        while !self.done.load(Ordering::Relaxed) {
            turn += 1;
            let (version, written) = lock(&self.environment).version;
            let route = match turn % 4 {
                0 | 1 => Route::AllShards,
                2 => Route::NonIdempotent,
                _ => Route::Version(version),
            };
            let incarnation = lock(&self.hosts)[host].incarnation;
            let exchange = client.send(&self.next_id(), route).await;
            self.check_answer(&exchange, incarnation, written);
            if exchange.status != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            lock(&self.exchanges).push(exchange);
        }
    }

    /// Counts an answer and checks what depends on the present state of the host and of the store:
    /// late configurations and cut answers. `incarnation` is that of the host when the request was
    /// sent, and `written` the time at which the configuration of that moment had been written.
    fn check_answer(&self, exchange: &Exchange, incarnation: u32, written: Instant) {
        let (last_disturbed, same_process, grace_end, callers_impaired) = {
            let host = &lock(&self.hosts)[exchange.host];
            let same_process = host.incarnation == incarnation;
            (host.last_disturbed, same_process, host.grace_end, host.callers_impaired)
        };
        let undisturbed = exchange.sent.saturating_duration_since(last_disturbed)
            > UNDISTURBED_WINDOW
            && same_process;
        let store_disturbed = *lock(&self.store_disturbed);
        let store_stable =
            exchange.sent.saturating_duration_since(store_disturbed) > UNDISTURBED_WINDOW;
        let due =
            exchange.sent.saturating_duration_since(written) > MAX_UPDATE_LAG + SCHEDULING_SLACK;
        let mut report = lock(&self.report);
        report.count_answer(exchange.status);
        if matches!(exchange.route, Route::Version(_))
            && exchange.status == 404
            && due
            && undisturbed
            && store_stable
        {
            report.add_violation(
                Violation::ConfigLate,
                format!("{} {:?}", exchange.id, exchange.route),
            );
        }
        // A host must not cut answers in the first half of its grace period. A cut shortly after an
        // impairment of the connection to the caller is not counted.
        let half = grace_end.map(|end| end.checked_sub(SHUTDOWN_GRACE / 2).unwrap_or(end));
        let impaired = callers_impaired + SCHEDULING_SLACK > exchange.sent;
        if exchange.cut && !impaired && half.is_some_and(|half| exchange.ended < half) {
            report.add_violation(
                Violation::CutAnswer,
                format!("{} at a host that is shutting down", exchange.id),
            );
        }
    }

    /// Injects a fault and ends it after its duration.
    async fn inject(self: Arc<Self>, injection: Injection) {
        let Injection { kind, target, duration, .. } = injection;
        match kind {
            Kind::Kill => self.restart(target, Signal::KILL, duration).await,
            Kind::KillAll => {
                let count = lock(&self.hosts).len();
                for host in lock(&self.hosts).iter_mut() {
                    host.signal(Signal::KILL);
                }
                tokio::time::sleep(duration).await;
                for host in 0..count {
                    self.relaunch(host).await;
                }
            }
            Kind::Terminate => self.restart(target, Signal::TERM, duration).await,
            Kind::Pause => {
                self.signal(target, Signal::STOP);
                tokio::time::sleep(duration).await;
                self.signal(target, Signal::CONT);
            }
            Kind::Reload => self.signal(target, Signal::HUP),
            Kind::PeerLink(impairment) => {
                self.impair_peer_links(target, impairment);
                tokio::time::sleep(duration).await;
                self.impair_peer_links(target, Impairment::None);
            }
            Kind::CallerLink(impairment) => {
                self.impair_caller_link(target, impairment);
                tokio::time::sleep(duration).await;
                self.impair_caller_link(target, Impairment::None);
            }
            Kind::StoreLink(impairment) => {
                self.impair_store_link(target, impairment);
                tokio::time::sleep(duration).await;
                self.impair_store_link(target, Impairment::None);
            }
            Kind::StoreOutage(fault) => {
                self.set_store_fault(fault);
                tokio::time::sleep(duration).await;
                self.set_store_fault(StoreFault::None);
            }
            Kind::CompactStore => lock(&self.environment).store.compact(),
            Kind::RestoreStore => self.restore_store(target, duration).await,
            Kind::ExpireLeases => {
                self.mark_store_disturbed();
                lock(&self.environment).store.expire_leases();
            }
            Kind::UpstreamFault(fault) => {
                self.with_upstream(target, |upstream| upstream.shard.set_fault(fault));
                tokio::time::sleep(duration).await;
                self.with_upstream(target, |upstream| upstream.shard.set_fault(Fault::None));
            }
            Kind::UpstreamLink(impairment) => {
                self.with_upstream(target, |upstream| upstream.proxy.set(impairment));
                tokio::time::sleep(duration).await;
                self.with_upstream(target, |upstream| upstream.proxy.set(Impairment::None));
            }
            Kind::Drain => self.drain(target).await,
            Kind::Evacuate => self.evacuate(target).await,
            Kind::ConfigEdits => {
                for _ in 0..3 {
                    lock(&self.environment).configure();
                    tokio::time::sleep(duration / 3).await;
                }
            }
        }
    }

    fn signal(&self, target: usize, signal: Signal) {
        let mut hosts = lock(&self.hosts);
        let index = target % hosts.len();
        hosts[index].signal(signal);
    }

    async fn restart(&self, target: usize, signal: Signal, duration: Duration) {
        self.signal(target, signal);
        tokio::time::sleep(duration).await;
        let index = target % lock(&self.hosts).len();
        self.relaunch(index).await;
    }

    /// Shuts hosts down and starts them again, one after the other.
    async fn replace(&self, hosts: Range<usize>) {
        for host in hosts {
            self.restart(host, Signal::TERM, REPLACEMENT_INTERVAL).await;
        }
    }

    /// Starts a host again as soon as its process has exited. A process that is still running after
    /// its grace period is killed.
    pub async fn relaunch(&self, index: usize) {
        let end = Instant::now() + SHUTDOWN_GRACE + SCHEDULING_SLACK;
        loop {
            {
                let host = &mut lock(&self.hosts)[index];
                if host.has_exited() {
                    if let Err(error) = host.launch() {
                        log::error!("cannot start {}: {error}", host.name);
                    }
                    return;
                }
                // Another fault has already started the host again.
                if host.grace_end.is_none() && Instant::now() > end {
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

    /// Sets the impairment of the connections from a host to the store.
    pub fn impair_store_link(&self, target: usize, impairment: Impairment) {
        let mut hosts = lock(&self.hosts);
        let index = target % hosts.len();
        hosts[index].store.set(impairment);
        hosts[index].mark_disturbed();
    }

    /// Sets the impairment of the connections on which other hosts follow the updates of a host and
    /// send it relay requests.
    fn impair_peer_links(&self, target: usize, impairment: Impairment) {
        let mut hosts = lock(&self.hosts);
        let index = target % hosts.len();
        hosts[index].peers.iter().for_each(|proxy| proxy.set(impairment));
        hosts[index].mark_disturbed();
    }

    /// Sets the impairment of the connections from callers to a host.
    fn impair_caller_link(&self, target: usize, impairment: Impairment) {
        let mut hosts = lock(&self.hosts);
        let index = target % hosts.len();
        hosts[index].front.set(impairment);
        hosts[index].callers_impaired = Instant::now();
        hosts[index].mark_disturbed();
    }

    /// Makes the store come back, after an outage, from a copy that it has at the beginning.
    async fn restore_store(&self, target: usize, duration: Duration) {
        let snapshot = lock(&self.environment).store.snapshot();
        // The store loses more revisions than are written again, so that later changes reuse them.
        for _ in 0..LOST_CONFIGURATIONS {
            lock(&self.environment).configure();
        }
        let drain = self.drain(target);
        let restore = async {
            tokio::time::sleep(duration).await;
            self.set_store_fault(StoreFault::Silent);
            tokio::time::sleep(duration / 2).await;
            self.mark_store_disturbed();
            lock(&self.environment).restore(&snapshot);
            self.set_store_fault(StoreFault::None);
        };
        tokio::join!(drain, restore);
    }

    pub fn set_store_fault(&self, fault: StoreFault) {
        self.mark_store_disturbed();
        lock(&self.environment).store.set_fault(fault);
    }

    /// Sets `store_disturbed` to now.
    fn mark_store_disturbed(&self) {
        *lock(&self.store_disturbed) = Instant::now();
    }

    fn with_upstream(&self, target: usize, action: impl FnOnce(&crate::environment::Upstream)) {
        action(lock(&self.environment).upstream(target));
    }

    /// Returns whether no host and not the store has been disturbed since shortly before `start`.
    pub fn was_undisturbed(&self, start: Instant) -> bool {
        let disturbed = lock(&self.hosts).iter().map(|host| host.last_disturbed).max();
        let disturbed = disturbed.max(Some(*lock(&self.store_disturbed)));
        disturbed.is_some_and(|at| at + UNDISTURBED_WINDOW < start)
    }

    /// Returns how many of these requests clients have sent to hosts other than `host`.
    pub fn count_sent_by_others(&self, ids: &BTreeSet<Box<str>>, host: usize) -> usize {
        let exchanges = lock(&self.exchanges);
        let others = exchanges.iter().filter(|exchange| exchange.host != host);
        others.filter(|exchange| ids.contains(&exchange.id)).count()
    }

    /// Adds exchanges to the history that is checked at the end.
    pub fn add_exchanges(&self, added: Vec<Exchange>) {
        for exchange in &added {
            lock(&self.report).count_answer(exchange.status);
        }
        lock(&self.exchanges).extend(added);
    }

    /// Returns the number of requests that these upstreams have received so far.
    pub fn arrivals(&self, ids: &[Box<str>]) -> usize {
        let environment = lock(&self.environment);
        let selected = environment.upstreams.iter().filter(|upstream| ids.contains(&upstream.id));
        selected.map(|upstream| upstream.shard.arrivals()).sum()
    }
}
