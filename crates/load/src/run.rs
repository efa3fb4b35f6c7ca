//! `pistachio-load run`: one scenario under one policy.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::{ArgMatches, Command};
use demo::{Cluster, Options};
use history::EventKind;
use kernel::{Error, Result};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use standin::{Recorder, Speed};
use tokio::sync::watch;

use crate::caller::{Caller, Tally};
use crate::direct;
use crate::figures::Figures;
use crate::scenario::{self, Scenario};
use crate::violations::VIOLATIONS;

/// Time before the measured part, in which connections open and quantiles settle.
const WARM_UP: Duration = Duration::from_secs(6);

/// Hosts of the deployment.
const HOSTS: usize = 6;

/// Describes the command line.
pub(crate) fn command() -> Command {
    Command::new("run")
        .about("Runs one scenario and prints its figures as one JSON object")
        .arg(
            kernel::flag("scenario", "What happens during the run")
                .value_parser(scenario::NAMES)
                .default_value("steady"),
        )
        .arg(
            kernel::flag("deployment", "Whose rule file is used")
                .value_parser(["consortium", "orzech-pol"])
                .default_value("consortium"),
        )
        .arg(
            kernel::flag("policy", "The product, or it without fences, ramps, hedges and pins")
                .value_parser(["full", "baseline"])
                .default_value("full"),
        )
        .arg(kernel::number("seed", 0, u64::MAX, "Draws faults and arrivals").default_value("1"))
        .arg(kernel::number("seconds", 4, 3_600, "Measured time").default_value("20"))
        .arg(
            kernel::flag("break", "A violation that a stand-in commits, to see its count rise")
                .value_parser(VIOLATIONS),
        )
}

pub(crate) struct Run {
    pub(crate) cluster: Cluster,
    pub(crate) callers: BTreeMap<Box<str>, Arc<Caller>>,
    pub(crate) seeds: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    pub(crate) phase: Arc<AtomicUsize>,
    pub(crate) load: Arc<AtomicU32>,
    pub(crate) random: StdRng,
    pub(crate) length: Duration,
    pub(crate) domain: Box<str>,
    pub(crate) snapshot: u64,
    pub(crate) killed_at: Option<Instant>,
    pub(crate) recovered: Arc<Mutex<Option<f64>>>,
    pub(crate) told: Arc<Mutex<Vec<Told>>>,
}

/// A node whose configuration is written into the history.
pub(crate) struct Told {
    name: Box<str>,
    egress: watch::Receiver<Arc<egress::Control>>,
    broker: watch::Receiver<Arc<broker::ControlState>>,
}

/// Runs the command.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (name, deployment, policy) = (text("scenario"), text("deployment"), text("policy"));
    let (seed, length) = (number("seed"), Duration::from_secs(number("seconds")));
    let scenario = scenario::named(&name, seed);
    let mut run = Run::start(&scenario, &deployment, &policy, seed, length).await?;
    let broken = matches.get_one::<String>("break");
    if let Some(broken) = broken {
        run.commit(broken);
    }
    let direct = if name == "steady" { Some(run.direct().await) } else { None };
    let processor = run.play(&scenario).await?;
    if let Some(broken) = broken {
        run.commit_after(broken).await;
    }
    let mut figures = run.figures(&name, &deployment, &policy, seed);
    figures.more.insert("tier_cpu_us_per_part".into(), json!(processor));
    if let Some(direct) = direct {
        figures.more.insert("direct_p50_ms".into(), json!(direct.quantile_ms(0.5)));
        figures.more.insert("direct_p99_ms".into(), json!(direct.quantile_ms(0.99)));
    }
    let line = serde_json::to_string(&figures).map_err(Error::other)?;
    println!("{line}");
    Ok(ExitCode::SUCCESS)
}

impl Run {
    async fn start(
        scenario: &Scenario,
        deployment: &str,
        policy: &str,
        seed: u64,
        length: Duration,
    ) -> Result<Self> {
        let rules = match deployment {
            "consortium" => demo::consortium(),
            _ => demo::orzech_pol(),
        };
        let usual = Speed::default();
        let speed = Speed {
            base: usual.base * scenario.pace,
            spread: usual.spread * scenario.pace,
            ..usual
        };
        let baseline = policy == "baseline";
        let options = Options { rules: rules.into(), hosts: HOSTS, baseline, speed, warm: true };
        let cluster = Cluster::start(options, Recorder::new()).await?;
        let domain = cluster.rules.domains.keys().nth(1).cloned().unwrap_or_default();
        let mut run = Self {
            cluster,
            callers: BTreeMap::new(),
            seeds: Arc::default(),
            phase: Arc::default(),
            load: Arc::new(AtomicU32::new(scenario.load)),
            random: StdRng::seed_from_u64(seed),
            length,
            domain,
            snapshot: 1,
            killed_at: None,
            recovered: Arc::default(),
            told: Arc::default(),
        };
        run.note_seeds();
        run.make_callers();
        Ok(run)
    }

    pub(crate) fn note_seeds(&self) {
        let addresses = self.cluster.nodes.iter().map(|node| node.broker.address).collect();
        if let Ok(mut seeds) = self.seeds.lock() {
            *seeds = addresses;
        }
        let told = self.cluster.nodes.iter().map(|node| Told {
            name: node.name.clone(),
            egress: node.egress.control.clone(),
            broker: node.broker.state.clone(),
        });
        *self.told.lock().unwrap_or_else(PoisonError::into_inner) = told.collect();
    }

    fn make_callers(&mut self) {
        let entries = Arc::default();
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        for (name, service) in &self.cluster.rules.services {
            let caller = Caller {
                service: name.clone(),
                shards: service.shards,
                once: service.never_repeat.first().cloned(),
                recorder: self.cluster.recorder.clone(),
                client: client.clone(),
                entries: Arc::clone(&entries),
                seeds: self.seeds.clone(),
                tallies: Mutex::new(vec![Tally::default(); 4]),
                phase: self.phase.clone(),
            };
            self.callers.insert(name.clone(), Arc::new(caller));
        }
    }

    /// Measures a caller that fans out itself, on the service with the most urgent searches.
    async fn direct(&self) -> crate::figures::Latencies {
        let service = self.cluster.rules.services.iter().max_by_key(|(_, s)| s.shards);
        let name = service.map(|(name, _)| name.clone()).unwrap_or_default();
        direct::run(&self.cluster.fleet, &name, 400, Duration::from_millis(8)).await
    }

    /// Plays the scenario; returns our processor time per part in microseconds.
    async fn play(&mut self, scenario: &Scenario) -> Result<f64> {
        let mut arrivals = Vec::new();
        for (name, caller) in &self.callers {
            let service = &self.cluster.rules.services[name];
            let speed = self.cluster.options.speed;
            let time = speed.base + speed.spread / 2;
            let bears = f64::from(service.replicas * service.limit.slots) / time.as_secs_f64();
            let seed = self.random.random();
            arrivals.push(tokio::spawn(arrive(caller.clone(), bears, self.load.clone(), seed)));
        }
        let nodes = tokio::spawn(tell_configs(self.cluster.recorder.clone(), self.told.clone()));
        let refresh = tokio::spawn(refresh(self.callers.values().next().cloned()));
        tokio::time::sleep(WARM_UP).await;
        let (start, parts, processor) = (Instant::now(), self.parts(), tier_time());
        self.phase.store(1, Ordering::Relaxed);
        for timed in &scenario.faults {
            let due = start + scenario::share(self.length, timed.at);
            tokio::time::sleep_until(due.into()).await;
            self.phase.store(2, Ordering::Relaxed);
            self.fault(timed.fault).await?;
        }
        tokio::time::sleep_until((start + self.length).into()).await;
        let (parts, processor) = (self.parts() - parts, tier_time().saturating_sub(processor));
        self.phase.store(3, Ordering::Relaxed);
        arrivals.iter().for_each(tokio::task::JoinHandle::abort);
        refresh.abort();
        nodes.abort();
        // The last answers come in.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Ok(processor.as_secs_f64() * 1e6 / (parts.max(1)) as f64)
    }

    fn parts(&self) -> u64 {
        self.cluster.nodes.iter().map(|node| node.broker.metrics.parts.get()).sum()
    }

    fn figures(&self, name: &str, deployment: &str, policy: &str, seed: u64) -> Figures {
        let history = self.cluster.recorder.events();
        let mut sums = vec![Tally::default(); 4];
        for caller in self.callers.values() {
            let tallies = caller.tallies.lock().unwrap_or_else(PoisonError::into_inner);
            for (sum, tally) in sums.iter_mut().zip(tallies.iter()) {
                sum.add(tally);
            }
        }
        let mut measured = sums[1].clone();
        measured.add(&sums[2]);
        let is_ours =
            |k: &EventKind| matches!(k, EventKind::Arrived(w) if !w.request.ends_with("-direct"));
        let arrived = history.iter().filter(|event| is_ours(&event.kind)).count();
        let all_asked: u64 = sums.iter().map(|sum| sum.asked).sum();
        let mut more = serde_json::Map::new();
        more.insert("p99_before_ms".into(), json!(sums[1].latencies.quantile_ms(0.99)));
        more.insert("p99_after_ms".into(), json!(sums[2].latencies.quantile_ms(0.99)));
        more.insert("reasons".into(), json!(measured.reasons));
        more.insert("complete_before".into(), json!(sums[1].complete));
        more.insert("complete_after".into(), json!(sums[2].complete));
        self.by_service(&mut more);
        if self.killed_at.is_some() {
            let recovered = *self.recovered.lock().unwrap_or_else(PoisonError::into_inner);
            more.insert("recovered_s".into(), json!(recovered));
        }
        let (calls, writes) = self.cluster.platform.calls();
        more.insert("platform_calls".into(), json!(calls));
        more.insert("platform_writes".into(), json!(writes));
        Figures {
            scenario: name.into(),
            deployment: deployment.into(),
            policy: policy.into(),
            seed,
            requests: measured.requests,
            per_second: measured.requests as f64 / self.length.as_secs_f64(),
            p50_ms: measured.latencies.quantile_ms(0.5),
            p99_ms: measured.latencies.quantile_ms(0.99),
            coverage: measured.covered as f64 / measured.asked.max(1) as f64,
            extra_load: arrived as f64 / all_asked.max(1) as f64 - 1.0,
            complete: measured.complete,
            partial: measured.partial,
            not_run: measured.not_run,
            unknown: measured.unknown,
            refusal_p99_ms: measured.refusals.quantile_ms(0.99),
            counts: history::check(&history),
            more,
        }
    }

    fn by_service(&self, more: &mut serde_json::Map<String, serde_json::Value>) {
        let mut services = serde_json::Map::new();
        for (name, caller) in &self.callers {
            let tallies = caller.tallies.lock().unwrap_or_else(PoisonError::into_inner);
            let mut sum = tallies[1].clone();
            sum.add(&tallies[2]);
            let figures = json!({
                "p50_ms": sum.latencies.quantile_ms(0.5),
                "p99_ms": sum.latencies.quantile_ms(0.99),
                "requests": sum.requests,
                "partial": sum.partial,
                "not_run": sum.not_run,
                "unknown": sum.unknown,
            });
            services.insert(name.to_string(), figures);
        }
        more.insert("services".into(), services.into());
    }
}

/// Sends requests at random times, `bears` times the load each second.
async fn arrive(caller: Arc<Caller>, bears: f64, load: Arc<AtomicU32>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut due = Instant::now();
    for number in 0.. {
        let rate = bears * f64::from(load.load(Ordering::Relaxed)) / 1_000.0;
        let draw: f64 = random.random();
        due += Duration::from_secs_f64(-(1.0 - draw).ln() / rate.max(0.1));
        tokio::time::sleep_until(due.into()).await;
        let caller = caller.clone();
        tokio::spawn(async move { caller.ask(number).await });
    }
}

/// Keeps the callers' answer of the directory fresh.
async fn refresh(caller: Option<Arc<Caller>>) {
    let Some(caller) = caller else { return };
    loop {
        caller.refresh().await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}

/// Writes which configuration each live node holds.
async fn tell_configs(recorder: Recorder, told: Arc<Mutex<Vec<Told>>>) {
    loop {
        for node in told.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let write = |role: &str, revision| {
                let node = format!("{role} {}", node.name).into();
                recorder.record(EventKind::ConfigInForce { node, revision });
            };
            // The sender of a dead node is gone, and what it held last says nothing.
            if node.egress.has_changed().is_ok() {
                write("egress", node.egress.borrow().config.revision);
            }
            if node.broker.has_changed().is_ok() {
                write("broker", node.broker.borrow().config.revision);
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Returns the processor time that our own threads have used so far.
pub(crate) fn tier_time() -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let mut total = 0;
    for task in tasks.flatten() {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let name = read("comm");
        if name.starts_with("host-") || name.starts_with("tier") {
            let used = read("schedstat");
            total += used.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0_u64);
        }
    }
    Duration::from_nanos(total)
}
