//! Starts deployments, and stops and replaces their hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kernel::{Error, Process, Result, ShutdownSignal};
use route::{Document, Host, Kind, Life};
use rules::Rules;
use standin::{Fleet, Platform, Recorder, Speed};
use store::CONFIG_KEY;

/// The Consortium's rule file.
pub fn consortium() -> &'static str {
    include_str!("../../../examples/consortium.rules")
}

/// Orzech-Pol's rule file.
pub fn orzech_pol() -> &'static str {
    include_str!("../../../examples/orzech-pol.rules")
}

/// Time by which the stand-in's list of hosts lags.
const LIST_LAG: Duration = Duration::from_millis(1_000);

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Text of the rule file.
    pub rules: Box<str>,
    /// Number of hosts, each with a broker and an egress.
    pub hosts: usize,
    /// Whether fences, ramps, hedges and pins are off.
    pub baseline: bool,
    /// How fast the upstreams work.
    pub speed: Speed,
    /// Whether upstreams start warm.
    pub warm: bool,
}

/// One host of ours.
pub struct Node {
    /// Name of the host.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its broker.
    pub broker: broker::Handle,
    /// Its egress.
    pub egress: egress::Handle,
    broker_process: Option<Process<kernel::Running>>,
    egress_process: Option<Process<kernel::Running>>,
}

/// A running deployment.
pub struct Cluster {
    /// What was started.
    pub options: Options,
    /// Its rules at the start.
    pub rules: Rules,
    /// The platform's stand-in.
    pub platform: Platform,
    /// The upstreams' stand-ins.
    pub fleet: Fleet,
    /// Where the history is written.
    pub recorder: Recorder,
    /// Our hosts.
    pub nodes: Vec<Node>,
    next_node: usize,
    /// Runs the brokers' HTTP, on threads of its own so that their processor time can be told
    /// from the stand-ins'; it lives as long as the process.
    tier: tokio::runtime::Handle,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Cluster {
    /// Starts a deployment and waits until every upstream takes work.
    ///
    /// # Errors
    ///
    /// Fails when the rules have a fault, when an address cannot be listened on, or when the
    /// deployment is not ready within 30 s.
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
        let tier = tier()?;
        let mut cluster =
            Self { options, rules, platform, fleet, recorder, nodes, next_node: 0, tier };
        for _ in 0..cluster.options.hosts {
            let domain = cluster.domain_of(cluster.next_node);
            cluster.add_node(&domain).await?;
        }
        cluster.wait_ready(Duration::from_secs(30)).await?;
        Ok(cluster)
    }

    fn domain_of(&self, number: usize) -> Box<str> {
        let domains: Vec<_> = self.rules.domains.keys().collect();
        domains[number % domains.len()].clone()
    }

    /// Starts one more host in a failure domain.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
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
        let mut broker = self.tier.spawn(starting).await.map_err(Error::other)??;
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

    /// Waits until every upstream that may take work does, as every broker sees it.
    ///
    /// # Errors
    ///
    /// Fails when `limit` passes first.
    pub async fn wait_ready(&self, limit: Duration) -> Result<()> {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > limit {
                let seen = self.nodes.iter().map(|node| ready_upstreams(&node.broker));
                let seen = seen.collect::<Vec<_>>();
                let wanted = self.fleet.upstreams.len();
                let message =
                    format!("the deployment is not ready: {seen:?} of {wanted} upstreams");
                return Err(Error::other(message));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let all = self.fleet.upstreams.len();
        self.nodes.iter().all(|node| ready_upstreams(&node.broker) == all)
    }

    /// Ends an egress at once and without a word, as a crash would.
    pub fn kill_egress(&mut self, place: usize) {
        self.nodes[place].egress.kill();
    }

    /// Stops a host as planned and takes it off the list; the rest is done in the background.
    pub fn stop_node(&mut self, name: &str) {
        let Some(place) = self.nodes.iter().position(|node| *node.name == *name) else { return };
        let mut node = self.nodes.remove(place);
        let platform = self.platform.clone();
        std::thread::spawn(move || {
            // The broker leaves first: callers' searches still need this host's egress.
            let processes = [node.broker_process.take(), node.egress_process.take()];
            for process in processes.into_iter().flatten() {
                process.drain().join();
            }
            platform.remove_hosts(&[node.name]);
        });
    }
}

/// Starts the runtime of the brokers' HTTP.
fn tier() -> Result<tokio::runtime::Handle> {
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

/// Returns the number of upstreams that take work, as one broker sees it.
pub fn ready_upstreams(broker: &broker::Handle) -> usize {
    broker.state.borrow().candidates.values().map(Vec::len).sum()
}
