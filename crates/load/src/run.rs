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

/// Time before the measurement, in which connections are opened and latency quantiles converge.
const WARM_UP_DELAY: Duration = Duration::from_secs(6);

/// Number of hosts of the deployment.
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
            kernel::flag(
                "policy",
                "The product, or it without fencing, slow start, hedging and pinning",
            )
            .value_parser(["full", "baseline"])
            .default_value("full"),
        )
        .arg(
            kernel::number_flag("seed", 0, u64::MAX, "Seed of the random faults and arrivals")
                .default_value("1"),
        )
        .arg(
            kernel::number_flag("seconds", 4, 3_600, "Measured time in seconds")
                .default_value("20"),
        )
        .arg(
            kernel::flag("break", "Violation that a stand-in commits, to show that it is counted")
                .value_parser(VIOLATIONS),
        )
}

/// A running deployment with its callers.
pub(crate) struct Run {
    pub(crate) cluster: Cluster,
    /// Callers, by service.
    pub(crate) callers: BTreeMap<Box<str>, Arc<Caller>>,
    /// Addresses of the brokers, at which callers ask for the directory.
    pub(crate) seeds: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    /// Phase of the run: 0 is the warm-up, 1 the time before the first fault, 2 the time after it,
    /// and 3 the time after the measurement.
    pub(crate) phase: Arc<AtomicUsize>,
    /// Load in thousandths of the capacity of the upstreams.
    pub(crate) load_per_mille: Arc<AtomicU32>,
    pub(crate) rng: StdRng,
    /// Duration of the measurement.
    pub(crate) duration: Duration,
    /// Failure domain that faults take out.
    pub(crate) domain: Box<str>,
    pub(crate) snapshot: u64,
    pub(crate) killed_at: Option<Instant>,
    /// Seconds from the kill of an egress until all brokers could send to every upstream again.
    pub(crate) recovery_s: Arc<Mutex<Option<f64>>>,
    pub(crate) node_states: Arc<Mutex<Vec<NodeState>>>,
}

/// State of a node, from which its configuration is recorded in the history.
pub(crate) struct NodeState {
    name: Box<str>,
    egress: watch::Receiver<Arc<egress::Control>>,
    broker: watch::Receiver<Arc<broker::ControlState>>,
}

/// Runs the command.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (name, deployment, policy) = (text("scenario"), text("deployment"), text("policy"));
    let (seed, duration) = (number("seed"), Duration::from_secs(number("seconds")));
    let scenario = scenario::by_name(&name, seed);
    let mut run = Run::start(&scenario, &deployment, &policy, seed, duration).await?;
    let violation = matches.get_one::<String>("break");
    if let Some(violation) = violation {
        run.inject_at_upstreams(violation);
    }
    let direct = if name == "steady" { Some(run.measure_direct().await) } else { None };
    let cpu_us = run.play(&scenario).await?;
    if let Some(violation) = violation {
        run.inject_after_run(violation).await;
    }
    let mut figures = run.figures(&name, &deployment, &policy, seed);
    figures.extra.insert("tier_cpu_us_per_part".into(), json!(cpu_us));
    if let Some(direct) = direct {
        figures.extra.insert("direct_p50_ms".into(), json!(direct.quantile_ms(0.5)));
        figures.extra.insert("direct_p99_ms".into(), json!(direct.quantile_ms(0.99)));
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
        duration: Duration,
    ) -> Result<Self> {
        let rules = match deployment {
            "consortium" => demo::consortium(),
            _ => demo::orzech_pol(),
        };
        let usual = Speed::default();
        let speed = Speed {
            base: usual.base * scenario.slowdown,
            spread: usual.spread * scenario.slowdown,
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
            load_per_mille: Arc::new(AtomicU32::new(scenario.load_per_mille)),
            rng: StdRng::seed_from_u64(seed),
            duration,
            domain,
            snapshot: 1,
            killed_at: None,
            recovery_s: Arc::default(),
            node_states: Arc::default(),
        };
        run.update_nodes();
        run.create_callers();
        Ok(run)
    }

    /// Updates the addresses and the states of the nodes after a change of the hosts.
    pub(crate) fn update_nodes(&self) {
        let addresses = self.cluster.nodes.iter().map(|node| node.broker.address).collect();
        if let Ok(mut seeds) = self.seeds.lock() {
            *seeds = addresses;
        }
        let states = self.cluster.nodes.iter().map(|node| NodeState {
            name: node.name.clone(),
            egress: node.egress.control.clone(),
            broker: node.broker.state.clone(),
        });
        *self.node_states.lock().unwrap_or_else(PoisonError::into_inner) = states.collect();
    }

    fn create_callers(&mut self) {
        let directory = Arc::default();
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        for (name, service) in &self.cluster.rules.services {
            let caller = Caller {
                service: name.clone(),
                shards: service.shards,
                once_operation: service.never_repeat.first().cloned(),
                recorder: self.cluster.recorder.clone(),
                client: client.clone(),
                directory: Arc::clone(&directory),
                seeds: self.seeds.clone(),
                tallies: Mutex::new(vec![Tally::default(); 4]),
                phase: self.phase.clone(),
            };
            self.callers.insert(name.clone(), Arc::new(caller));
        }
    }

    /// Measures a caller that fans out to the upstreams directly, on the service with the most
    /// shards.
    async fn measure_direct(&self) -> crate::figures::Latencies {
        let service = self.cluster.rules.services.iter().max_by_key(|(_, s)| s.shards);
        let name = service.map(|(name, _)| name.clone()).unwrap_or_default();
        direct::measure(&self.cluster.fleet, &name, 400, Duration::from_millis(8)).await
    }

    /// Plays the scenario; returns the CPU time of the brokers and egresses per part in
    /// microseconds.
    ///
    /// # Errors
    ///
    /// Returns an error when a fault cannot be injected.
    async fn play(&mut self, scenario: &Scenario) -> Result<f64> {
        let mut arrivals = Vec::new();
        for (name, caller) in &self.callers {
            let service = &self.cluster.rules.services[name];
            let speed = self.cluster.options.speed;
            let time = speed.base + speed.spread / 2;
            let capacity = f64::from(service.replicas * service.limit.slots) / time.as_secs_f64();
            let seed = self.rng.random();
            arrivals.push(tokio::spawn(generate_load(
                caller.clone(),
                capacity,
                self.load_per_mille.clone(),
                seed,
            )));
        }
        let configs =
            tokio::spawn(record_configs(self.cluster.recorder.clone(), self.node_states.clone()));
        let refresh = tokio::spawn(refresh_directory(self.callers.values().next().cloned()));
        tokio::time::sleep(WARM_UP_DELAY).await;
        let (start, parts, cpu_time) = (Instant::now(), self.parts(), node_cpu_time());
        self.phase.store(1, Ordering::Relaxed);
        for step in &scenario.steps {
            let due = start + scenario::fraction(self.duration, step.at_per_mille);
            tokio::time::sleep_until(due.into()).await;
            self.phase.store(2, Ordering::Relaxed);
            self.inject(step.fault).await?;
        }
        tokio::time::sleep_until((start + self.duration).into()).await;
        let (parts, cpu_time) = (self.parts() - parts, node_cpu_time().saturating_sub(cpu_time));
        self.phase.store(3, Ordering::Relaxed);
        arrivals.iter().for_each(tokio::task::JoinHandle::abort);
        refresh.abort();
        configs.abort();
        // Requests in flight may still be answered.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Ok(cpu_time.as_secs_f64() * 1e6 / (parts.max(1)) as f64)
    }

    /// Returns the number of parts that the brokers have sent so far.
    fn parts(&self) -> u64 {
        self.cluster.nodes.iter().map(|node| node.broker.metrics.parts.get()).sum()
    }

    fn figures(&self, name: &str, deployment: &str, policy: &str, seed: u64) -> Figures {
        let history = self.cluster.recorder.events();
        let mut sums = vec![Tally::default(); 4];
        for caller in self.callers.values() {
            let tallies = caller.tallies.lock().unwrap_or_else(PoisonError::into_inner);
            for (sum, tally) in sums.iter_mut().zip(tallies.iter()) {
                sum.merge(tally);
            }
        }
        let mut measured = sums[1].clone();
        measured.merge(&sums[2]);
        let is_through_broker =
            |k: &EventKind| matches!(k, EventKind::Arrived(w) if !w.request.ends_with("-direct"));
        let arrived = history.iter().filter(|event| is_through_broker(&event.kind)).count();
        let requested: u64 = sums.iter().map(|sum| sum.requested_shards).sum();
        let mut extra = serde_json::Map::new();
        extra.insert("p99_before_ms".into(), json!(sums[1].latencies.quantile_ms(0.99)));
        extra.insert("p99_after_ms".into(), json!(sums[2].latencies.quantile_ms(0.99)));
        extra.insert("reasons".into(), json!(measured.reasons));
        extra.insert("complete_before".into(), json!(sums[1].complete));
        extra.insert("complete_after".into(), json!(sums[2].complete));
        self.add_services(&mut extra);
        if self.killed_at.is_some() {
            let recovery_s = *self.recovery_s.lock().unwrap_or_else(PoisonError::into_inner);
            extra.insert("recovered_s".into(), json!(recovery_s));
        }
        let (calls, writes) = self.cluster.platform.calls();
        extra.insert("platform_calls".into(), json!(calls));
        extra.insert("platform_writes".into(), json!(writes));
        Figures {
            scenario: name.into(),
            deployment: deployment.into(),
            policy: policy.into(),
            seed,
            requests: measured.requests,
            per_second: measured.requests as f64 / self.duration.as_secs_f64(),
            p50_ms: measured.latencies.quantile_ms(0.5),
            p99_ms: measured.latencies.quantile_ms(0.99),
            coverage: measured.covered_shards as f64 / measured.requested_shards.max(1) as f64,
            extra_load: arrived as f64 / requested.max(1) as f64 - 1.0,
            complete: measured.complete,
            partial: measured.partial,
            not_run: measured.not_run,
            unknown: measured.unknown,
            refusal_p99_ms: measured.refusals.quantile_ms(0.99),
            violations: history::check(&history),
            extra,
        }
    }

    fn add_services(&self, extra: &mut serde_json::Map<String, serde_json::Value>) {
        let mut services = serde_json::Map::new();
        for (name, caller) in &self.callers {
            let tallies = caller.tallies.lock().unwrap_or_else(PoisonError::into_inner);
            let mut sum = tallies[1].clone();
            sum.merge(&tallies[2]);
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
        extra.insert("services".into(), services.into());
    }
}

/// Sends requests with exponentially distributed intervals; `capacity` is the number of requests a
/// second at a load of 1000 per mille.
async fn generate_load(
    caller: Arc<Caller>,
    capacity: f64,
    load_per_mille: Arc<AtomicU32>,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut due = Instant::now();
    for number in 0.. {
        let rate = capacity * f64::from(load_per_mille.load(Ordering::Relaxed)) / 1_000.0;
        let draw: f64 = rng.random();
        due += Duration::from_secs_f64(-(1.0 - draw).ln() / rate.max(0.1));
        tokio::time::sleep_until(due.into()).await;
        let caller = caller.clone();
        tokio::spawn(async move { caller.search(number).await });
    }
}

/// Refreshes the directory of the callers periodically.
async fn refresh_directory(caller: Option<Arc<Caller>>) {
    let Some(caller) = caller else { return };
    loop {
        caller.refresh().await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}

/// Records periodically which configuration each running node has in force.
async fn record_configs(recorder: Recorder, states: Arc<Mutex<Vec<NodeState>>>) {
    loop {
        for node in states.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let record = |role: &str, revision| {
                let node = format!("{role} {}", node.name).into();
                recorder.record(EventKind::ConfigInForce { node, revision });
            };
            // A stopped node has dropped its sender, and its last configuration is out of date.
            if node.egress.has_changed().is_ok() {
                record("egress", node.egress.borrow().config.revision);
            }
            if node.broker.has_changed().is_ok() {
                record("broker", node.broker.borrow().config.revision);
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Returns the CPU time that the threads of the brokers and egresses have used so far, without the
/// threads of the stand-ins.
pub(crate) fn node_cpu_time() -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let mut total_ns = 0;
    for task in tasks.flatten() {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let name = read("comm");
        if name.starts_with("host-") || name.starts_with("tier") {
            let used = read("schedstat");
            total_ns += used.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0_u64);
        }
    }
    Duration::from_nanos(total_ns)
}
