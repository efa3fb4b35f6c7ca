//! `pistachio-load slope`: the cost of one more node, change, upstream or part.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{ArgMatches, Command};
use demo::{Cluster, Options};
use egress::Builder;
use kernel::{Error, Process, Result};
use route::{Document, Host, Hosts, Kind, Life, Placement, Report, Status};
use serde_json::{Value, json};
use standin::{Platform, Recorder, Speed};
use store::CONFIG_KEY;

use crate::figures::Latencies;
use crate::run::node_cpu_time;

/// Time for which the cost of steady membership is measured.
const STEADY_WINDOW: Duration = Duration::from_secs(8);

/// Maximum number of members of a cell.
const MAX_CELL_SIZE: usize = 9;

/// Bytes of the IP and UDP headers of a heartbeat.
const HEADER_BYTES: u64 = 28;

/// Describes the command line.
pub(crate) fn command() -> Command {
    Command::new("slope")
        .about("Measures the cost of one more node, change, upstream or part, at several sizes")
        .arg(
            kernel::flag("of", "What to measure")
                .value_parser(["membership", "config", "query", "view"])
                .required(true),
        )
        .arg(
            kernel::number_flag("nodes", 3, 1_000, "Maximum number of nodes in one process")
                .default_value("90"),
        )
}

/// Runs the command.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let max_nodes = matches.get_one::<u64>("nodes").copied().unwrap_or(90) as usize;
    let figures = match matches.get_one::<String>("of").map(String::as_str) {
        Some("membership") => membership(max_nodes).await?,
        Some("config") => config(max_nodes).await?,
        Some("query") => query().await?,
        _ => view()?,
    };
    println!("{figures}");
    Ok(ExitCode::SUCCESS)
}

/// Fits a line by least squares; returns the slope, the intercept, the largest absolute residual
/// and the points.
fn fit(points: &[(f64, f64)]) -> Value {
    let count = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x_mean, y_mean) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xx: f64 = points.iter().map(|p| (p.0 - x_mean).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|p| (p.0 - x_mean) * (p.1 - y_mean)).sum();
    let slope = sum_xy / sum_xx.max(f64::MIN_POSITIVE);
    let intercept = y_mean - slope * x_mean;
    let residuals = points.iter().map(|p| (p.1 - slope * p.0 - intercept).abs());
    let worst = residuals.fold(0.0, f64::max);
    json!({ "slope": slope, "intercept": intercept, "worst_residual": worst, "points": points })
}

/// Returns the resident memory of this process in KiB, or 0 if it is unknown.
fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|text| text.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}

/// Egresses without upstreams, divided into cells.
struct Cells {
    platform: Platform,
    egresses: Vec<egress::Handle>,
    /// Kept because a process stops when it is dropped.
    _processes: Vec<Process<kernel::Running>>,
}

const RULES: &str = "domain d0 # asked by: x\ndomain d1 # asked by: x\ndomain d2 # asked by: x\n";

impl Cells {
    async fn start(nodes: usize) -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any, Duration::ZERO).await.map_err(Error::other)?;
        put_config(&platform, 0)?;
        let (mut egresses, mut processes) = (Vec::new(), Vec::new());
        let address = platform.address().to_string();
        for number in 0..nodes {
            let process = Process::new("slope");
            let builder =
                Builder::new(&format!("host-{number}"), &format!("d{}", number % 3), any, &address);
            let builder = builder.cell(&format!("cell-{}", number / MAX_CELL_SIZE));
            egresses.push(egress::start(builder.build(), process.shutdown_signal())?);
            processes.push(process.run());
        }
        let hosts = egresses.iter().enumerate().map(|(number, egress)| Host {
            id: format!("host-{number}").into(),
            kind: Kind::Entry,
            address: egress.address,
            domain: format!("d{}", number % 3).into(),
            life: Life::Live,
            place: None,
        });
        platform.add_hosts(hosts);
        let cells = Self { platform, egresses, _processes: processes };
        let start = Instant::now();
        while !cells.is_converged() {
            if start.elapsed() > Duration::from_secs(60) {
                return Err(Error::other(format!(
                    "{nodes} nodes have not formed their cells within 60 s"
                )));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(cells)
    }

    /// Returns whether every egress knows all members of its cell.
    fn is_converged(&self) -> bool {
        let nodes = self.egresses.len();
        self.egresses.iter().enumerate().all(|(number, egress)| {
            let size = (nodes - number / MAX_CELL_SIZE * MAX_CELL_SIZE).min(MAX_CELL_SIZE);
            egress.control.borrow().egresses.len() == size
        })
    }

    fn sum(&self, pick: impl Fn(&egress::Metrics) -> u64) -> u64 {
        self.egresses.iter().map(|egress| pick(&egress.metrics)).sum()
    }
}

/// Writes a configuration that differs from all earlier ones in its comment; returns its revision.
fn put_config(platform: &Platform, number: u64) -> Result<u64> {
    let text = format!("## {number}\n{RULES}");
    let document = Document::default().next(&format!("edit-{number}"), "slope", &text);
    Ok(platform.put(CONFIG_KEY, &serde_json::to_string(&document).map_err(Error::other)?))
}

/// Returns the numbers of nodes to measure, up to a maximum.
fn sizes(max_nodes: usize) -> Vec<usize> {
    [3, 6, 9, 27, 90, 180, 300].into_iter().filter(|size| *size <= max_nodes).collect()
}

/// Measures the cost of steady membership at several numbers of nodes.
async fn membership(max_nodes: usize) -> Result<Value> {
    let (mut rows, mut bytes_points, mut cpu_points) = (Vec::new(), Vec::new(), Vec::new());
    for nodes in sizes(max_nodes) {
        let before = resident_kib();
        let cells = Cells::start(nodes).await?;
        // Leaves out the work that follows the start.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let count = |cells: &Cells| {
            let heartbeats = cells.sum(|metrics| metrics.heartbeats.get());
            (
                heartbeats,
                cells.sum(|metrics| metrics.heartbeat_bytes.get()),
                cells.platform.calls().0,
            )
        };
        let (start, cpu) = (count(&cells), node_cpu_time());
        tokio::time::sleep(STEADY_WINDOW).await;
        let (end, cpu) = (count(&cells), node_cpu_time().saturating_sub(cpu));
        let per_node = |n: u64| n as f64 / nodes as f64 / STEADY_WINDOW.as_secs_f64();
        // The bytes of each heartbeat are counted by the sender and by the receiver, so its headers
        // count twice.
        let bytes =
            per_node(end.1 - start.1) + 2.0 * per_node(end.0 - start.0) * HEADER_BYTES as f64;
        let cell_size = nodes.min(MAX_CELL_SIZE) as f64;
        let cpu_percent = cpu.as_secs_f64() / STEADY_WINDOW.as_secs_f64() / nodes as f64 * 100.0;
        if nodes <= MAX_CELL_SIZE {
            bytes_points.push((cell_size, bytes));
            cpu_points.push((cell_size, cpu_percent));
        }
        rows.push(json!({
            "nodes": nodes,
            "cell": cell_size,
            "beat_bytes_per_s_per_node": bytes,
            "cpu_percent_of_core_per_node": cpu_percent,
            "resident_kib_per_node": (resident_kib() - before) / nodes as f64,
            "platform_calls_per_s": (end.2 - start.2) as f64 / STEADY_WINDOW.as_secs_f64(),
        }));
    }
    Ok(json!({
        "of": "membership",
        "rows": rows,
        "bytes_by_cell_size": fit(&bytes_points),
        "cpu_percent_by_cell_size": fit(&cpu_points),
    }))
}

/// Measures the time and the cost until a change of the configuration is in force everywhere.
async fn config(max_nodes: usize) -> Result<Value> {
    const CHANGES: u64 = 40;
    let mut rows = Vec::new();
    for nodes in sizes(max_nodes) {
        let cells = Cells::start(nodes).await?;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let (calls, cpu) = (cells.platform.calls().0, node_cpu_time());
        let started = Instant::now();
        let mut latencies = Latencies::default();
        for number in 1..=CHANGES {
            let start = Instant::now();
            let revision = put_config(&cells.platform, number)?;
            let in_force = |e: &egress::Handle| e.control.borrow().config.revision >= revision;
            while !cells.egresses.iter().all(in_force) {
                if start.elapsed() > Duration::from_secs(11) {
                    return Err(Error::other("a change was not in force everywhere within 11 s"));
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            latencies.record(start.elapsed());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        let cpu = node_cpu_time().saturating_sub(cpu);
        rows.push(json!({
            "nodes": nodes,
            "in_force_everywhere_p50_ms": latencies.quantile_ms(0.5),
            "in_force_everywhere_max_ms": latencies.quantile_ms(1.0),
            "platform_calls_per_change":
                (cells.platform.calls().0 - calls) as f64 / CHANGES as f64,
            "seconds": seconds,
            "cpu_ms_per_change_and_node": cpu.as_secs_f64() * 1e3 / (CHANGES * nodes as u64) as f64,
        }));
    }
    Ok(json!({ "of": "config", "changes": CHANGES, "rows": rows }))
}

/// Number of concurrent searches, more than one so that messages share wake-ups as they do under
/// load.
const CONCURRENCY: u32 = 8;

/// Sends `count` searches and returns their latencies.
async fn send_searches(url: &str, count: u32) -> Result<Latencies> {
    let client = reqwest::Client::builder().no_proxy().build().map_err(Error::other)?;
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENCY {
        let (client, url) = (client.clone(), url.to_string());
        workers.spawn(async move {
            let mut latencies = Latencies::default();
            for _ in 0..count / CONCURRENCY {
                let start = Instant::now();
                let call = client.post(&url).json(&json!({ "query": "slope" })).send().await?;
                call.bytes().await?;
                latencies.record(start.elapsed());
            }
            Ok::<_, reqwest::Error>(latencies)
        });
    }
    let mut all = Latencies::default();
    for latencies in workers.join_all().await {
        all.merge(&latencies.map_err(Error::other)?);
    }
    Ok(all)
}

/// Measures the CPU time of a search at several numbers of shards.
async fn query() -> Result<Value> {
    const SEARCHES: u32 = 6_000;
    const WARM_UP_SEARCHES: u32 = 500;
    let (mut rows, mut points) = (Vec::new(), Vec::new());
    for shards in [1_u32, 10, 20, 40, 60] {
        let rules = format!(
            "domain d0 # asked by: x\nservice wide --shards {shards} --replicas 1 # asked by: x\n\
             limit wide --slots 8 --connections 30 --cold-slots 8 # asked by: x\n"
        );
        let speed = Speed { tail_per_mille: 0, ..Speed::default() };
        let options = Options { rules: rules.into(), hosts: 2, baseline: false, speed, warm: true };
        let mut cluster = Cluster::start(options, Recorder::disabled()).await?;
        let url = format!("http://{}/v1/search/wide", cluster.nodes[0].broker.address);
        send_searches(&url, WARM_UP_SEARCHES).await?;
        // The CPU time that idle hosts use is measured first and subtracted below.
        let (start, cpu) = (Instant::now(), node_cpu_time());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let idle =
            node_cpu_time().saturating_sub(cpu).as_secs_f64() / start.elapsed().as_secs_f64();
        let (start, cpu) = (Instant::now(), node_cpu_time());
        let latencies = send_searches(&url, SEARCHES).await?;
        let used = node_cpu_time().saturating_sub(cpu).as_secs_f64();
        let search_time = used - idle * start.elapsed().as_secs_f64();
        let micros = search_time * 1e6 / f64::from(SEARCHES);
        points.push((f64::from(shards), micros));
        rows.push(json!({
            "shards": shards,
            "cpu_us_per_search": micros,
            "idle_percent_of_core": idle * 100.0,
            "p50_ms": latencies.quantile_ms(0.5),
            "p99_ms": latencies.quantile_ms(0.99),
            "parts_per_call": cluster.nodes[0].broker.metrics.parts.get() as f64
                / cluster.nodes[0].broker.metrics.batches.get().max(1) as f64,
        }));
        for node in cluster.nodes.iter().map(|node| node.name.clone()).collect::<Vec<_>>() {
            cluster.stop_node(&node);
        }
        // Lets the threads of this size end before the next size is measured.
        tokio::time::sleep(Duration::from_secs(9)).await;
    }
    Ok(json!({ "of": "query", "rows": rows, "cpu_us_by_parts": fit(&points) }))
}

/// Returns a list of hosts and a report with `count` upstreams.
fn synthetic_view(count: u32) -> (Hosts, Report) {
    let placement = |n: u32| Placement { service: "svc".into(), shard: n % 520, shards: 520 };
    let host = |n: u32| Host {
        id: format!("svc-{n}").into(),
        kind: Kind::Upstream,
        address: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 80)),
        domain: format!("d{}", n % 18).into(),
        life: Life::Live,
        place: Some(placement(n)),
    };
    let status = |n: u32| Status {
        upstream: format!("svc-{n}").into(),
        service: "svc".into(),
        domain: format!("d{}", n % 18).into(),
        shard: n % 520,
        shards: 520,
        snapshot: 1,
        phase: "warm".into(),
    };
    let hosts = Hosts { version: 1, hosts: (0..count).map(host).collect() };
    let report = Report { version: 1, epoch: 1, upstreams: (0..count).map(status).collect() };
    (hosts, report)
}

/// Measures the size of the list of hosts and of a report, and the time to read the list.
fn view() -> Result<Value> {
    let (mut bytes, mut reports, mut cpu, mut memory) = (vec![], vec![], vec![], vec![]);
    for count in [1_000, 5_000, 20_000, 75_000] {
        let before = resident_kib();
        let (hosts, report) = synthetic_view(count);
        let resident = resident_kib() - before;
        let text = serde_json::to_string(&hosts).map_err(Error::other)?;
        let report_text = serde_json::to_string(&report).map_err(Error::other)?;
        let start = Instant::now();
        let parsed: Hosts = serde_json::from_str(&text).map_err(Error::other)?;
        let read_ms = start.elapsed().as_secs_f64() * 1e3;
        let count = f64::from(count);
        bytes.push((count, text.len() as f64));
        reports.push((count, report_text.len() as f64));
        cpu.push((count, read_ms));
        memory.push((count, resident));
        drop((parsed, hosts, report));
    }
    Ok(json!({
        "of": "view",
        "list_bytes_by_upstreams": fit(&bytes),
        "report_bytes_by_upstreams": fit(&reports),
        "list_read_ms_by_upstreams": fit(&cpu),
        "resident_kib_by_upstreams": fit(&memory),
    }))
}
