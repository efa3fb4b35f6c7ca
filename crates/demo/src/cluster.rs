//! Deployments on loopback, whose hosts can be added, stopped and killed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kernel::{Error, Process, Result, ShutdownSignal};
use route::{Document, Host, Kind, Life};
use rules::Rules;
use standin::{Fleet, Platform, Recorder, Speed};
use store::CONFIG_KEY;

/// Returns the rule file of the Consortium.
pub fn consortium() -> &'static str {
    include_str!("../../../examples/consortium.rules")
}

/// Returns the rule file of Orzech-Pol.
pub fn orzech_pol() -> &'static str {
    include_str!("../../../examples/orzech-pol.rules")
}

/// Time by which the list of hosts from the platform stand-in lags behind.
const LIST_LAG: Duration = Duration::from_millis(1_000);

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Text of the rule file.
    pub rules: Box<str>,
    /// Number of hosts, each with a broker and an egress.
    pub hosts: usize,
    /// Whether fencing, slow start, hedging and snapshot pinning are off, which is the baseline of
    /// experiments.
    pub baseline: bool,
    /// Latencies of the upstream stand-ins.
    pub speed: Speed,
    /// Whether upstreams start warm.
    pub warm: bool,
}

/// One host, with a broker and an egress.
pub struct Node {
    /// Name of the host.
    pub name: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Broker on the host.
    pub broker: broker::Handle,
    /// Egress on the host.
    pub egress: egress::Handle,
    broker_process: Option<Process<kernel::Running>>,
    egress_process: Option<Process<kernel::Running>>,
}

/// A running deployment.
pub struct Cluster {
    /// Options that the deployment was started with.
    pub options: Options,
    /// Rules at the start.
    pub rules: Rules,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Stand-ins for the upstreams.
    pub fleet: Fleet,
    /// Recorder of the history.
    pub recorder: Recorder,
    /// Hosts, each with a broker and an egress.
    pub nodes: Vec<Node>,
    next_node: usize,
    /// Runtime of the HTTP servers of the brokers. Its threads are separate, so that their CPU time
    /// can be distinguished from that of the stand-ins. It lives as long as the process.
    http_runtime: tokio::runtime::Handle,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Cluster {
    /// Starts a deployment and waits until every upstream takes requests.
    ///
    /// # Errors
    ///
    /// Fails if the rules are invalid, an address cannot be bound, or the deployment is not ready
    /// within 30 s.
    pub async fn start(options: Options, recorder: Recorder) -> Result<Self> {
        let rules = rules::parse("rules", &options.rules).map_err(Error::other)?;
        let platform = Platform::start(loopback(), LIST_LAG).await.map_err(Error::other)?;
        let fleet = Fleet::start(&rules, loopback(), options.speed, &recorder).await;
        let fleet = fleet.map_err(Error::other)?;
        if options.warm {
            fleet.mark_warm();
        }
        let document = Document::default().next("start", "demo", &options.rules);
        let value = serde_json::to_string(&document).map_err(Error::other)?;
        platform.put(CONFIG_KEY, &value);
        platform.add_hosts(fleet.hosts());
        let nodes = Vec::new();
        let http_runtime = start_http_runtime()?;
        let mut cluster =
            Self { options, rules, platform, fleet, recorder, nodes, next_node: 0, http_runtime };
        for _ in 0..cluster.options.hosts {
            let domain = cluster.domain_of(cluster.next_node);
            cluster.add_node(&domain).await?;
        }
        cluster.wait_ready(Duration::from_secs(30)).await?;
        Ok(cluster)
    }

    /// Returns the failure domain of the host with this number; hosts are spread evenly.
    fn domain_of(&self, number: usize) -> Box<str> {
        let domains: Vec<_> = self.rules.domains.keys().collect();
        domains[number % domains.len()].clone()
    }

    /// Starts another host in a failure domain.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub async fn add_node(&mut self, domain: &str) -> Result<()> {
        let name = format!("host-{}", self.next_node);
        self.next_node += 1;
        let platform = self.platform.address().to_string();
        let baseline = self.options.baseline;
        let settings = egress::Builder::new(&name, domain, loopback(), &platform);
        let (mut egress_process, stop) = process(&name);
        let mut egress = egress::start(settings.baseline(baseline).build(), stop)?;
        let mut egresses = vec![egress.address];
        egresses.extend(self.nodes.iter().map(|node| node.egress.address));
        let settings = broker::Builder::new(&name, domain, loopback()).egresses(egresses);
        egress.threads.drain(..).for_each(|thread| egress_process.add_thread(thread));
        let (mut broker_process, stop) = process(&name);
        let starting = broker::start(settings.baseline(baseline).build(), stop);
        let mut broker = self.http_runtime.spawn(starting).await.map_err(Error::other)??;
        broker.threads.drain(..).for_each(|thread| broker_process.add_thread(thread));
        self.platform.add_hosts([Host {
            id: name.clone().into(),
            kind: Kind::Entry,
            address: egress.address,
            domain: domain.into(),
            life: Life::Live,
            place: None,
        }]);
        self.nodes.push(Node {
            name: name.into(),
            domain: domain.into(),
            broker,
            egress,
            broker_process: Some(broker_process.run()),
            egress_process: Some(egress_process.run()),
        });
        Ok(())
    }

    /// Waits until every broker sees all upstreams as ready.
    ///
    /// # Errors
    ///
    /// Fails if this takes longer than `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > timeout {
                let seen = self.nodes.iter().map(|node| ready_upstreams(&node.broker));
                let seen = seen.collect::<Vec<_>>();
                let total = self.fleet.upstreams.len();
                let message = format!(
                    "the deployment is not ready: the brokers see {seen:?} of {total} upstreams"
                );
                return Err(Error::other(message));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let total = self.fleet.upstreams.len();
        self.nodes.iter().all(|node| ready_upstreams(&node.broker) == total)
    }

    /// Stops an egress at once without a graceful shutdown, like a crash.
    pub fn kill_egress(&mut self, index: usize) {
        self.nodes[index].egress.kill();
    }

    /// Stops a host gracefully and then removes the host from the list, in the background.
    pub fn stop_node(&mut self, name: &str) {
        let Some(index) = self.nodes.iter().position(|node| *node.name == *name) else { return };
        let mut node = self.nodes.remove(index);
        let platform = self.platform.clone();
        std::thread::spawn(move || {
            // The broker stops first, since searches still need the egress of this host.
            let processes = [node.broker_process.take(), node.egress_process.take()];
            for process in processes.into_iter().flatten() {
                process.drain().join();
            }
            platform.remove_hosts(&[node.name]);
        });
    }
}

/// Starts the runtime of the HTTP servers of the brokers.
fn start_http_runtime() -> Result<tokio::runtime::Handle> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).thread_name("tier").enable_all().build();
    let runtime: &'static _ = Box::leak(Box::new(runtime.map_err(Error::other)?));
    Ok(runtime.handle().clone())
}

fn process(name: &str) -> (Process<kernel::Starting>, ShutdownSignal) {
    let process = Process::new(name);
    let stop = process.shutdown_signal();
    (process, stop)
}

/// Returns the number of upstreams that take requests, as known to one broker.
pub fn ready_upstreams(broker: &broker::Handle) -> usize {
    broker.state.borrow().candidates.values().map(Vec::len).sum()
}
