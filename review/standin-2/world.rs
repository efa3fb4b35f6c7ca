//! A small deployment: the store, the hosts as processes of their own, the backends and the record.

use std::fs::{self, File};
use std::io::{Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Client, Message};
use crate::store::Store;

/// Host name of all routes.
pub const HOST: &str = "search.example";

/// Interval at which a backend writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The lines of `record.txt`, each with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let millis = self.start.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{millis:10.1} {text}");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Numbers that differ with the seed.
#[derive(Clone)]
pub struct Random(Arc<AtomicU64>);

impl Random {
    pub fn new() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |now| now.as_nanos());
        Self(Arc::new(AtomicU64::new(now as u64)))
    }

    fn next(&self) -> u64 {
        let mut number = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ number >> 31
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&self) -> f64 {
        (self.next() >> 11) as f64 / ((1_u64 << 53) as f64)
    }

    /// Returns true with the given probability.
    pub fn happens(&self, share: f64) -> bool {
        self.fraction() < share
    }

    /// Returns a new request id.
    pub fn id(&self) -> String {
        format!("{:016x}", self.next())
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

/// Next port to try. The system picks ports of outgoing connections above these.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns a port that is free for TCP and UDP.
pub fn free_port() -> u16 {
    let first = u64::from(std::process::id()) % 180 * 110;
    loop {
        let port = 12_000 + ((first + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % 20_000) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

/// A host, which runs the command of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    metrics: u16,
    process: Option<Child>,
}

impl Machine {
    /// Writes the settings and starts the process.
    pub fn start(world: &World, name: &str, zone: &str, cpu_share: f64) -> Self {
        let [front, readiness, control, directory, relay, metrics] = [(); 6].map(|()| free_port());
        let seeds = world.seeds.lock().unwrap().join(",");
        let text = format!(
            r#"node_name = "{name}"
role = "node"
machine_class = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "perth-metro"
port_range = [{relay},{relay}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
swan-upper = "perth-metro"
canning-reach = "perth-metro"
fremantle-mouth = "perth-metro"
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{readiness}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpu_share = {cpu_share}
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
outer_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            store = world.address
        );
        let settings = world.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings are written");
        let mut seeds = world.seeds.lock().unwrap();
        if seeds.len() < 3 {
            seeds.push(format!("\"127.0.0.1:{control}\""));
        }
        drop(seeds);
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let mut machine = Self {
            name: name.into(),
            front: local(front),
            readiness: local(readiness),
            directory: local(directory),
            settings,
            metrics,
            process: None,
        };
        machine.run(world);
        machine
    }

    /// Starts the process, with `target/release/pistachio-node` as in the deploy file. The port for
    /// metrics differs, because all hosts have one address here.
    pub fn run(&mut self, world: &World) {
        let log = world.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let process = Command::new("target/release/pistachio-node")
            .args(["--metrics-port", &self.metrics.to_string()])
            .env("PISTACHIOROCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        let process = process.expect("the program of the deploy file starts");
        if let Some(pids) = std::env::var_os("PIDS") {
            let pids = File::options().append(true).open(pids);
            let _ = pids.and_then(|mut pids| writeln!(pids, "{}", process.id()));
        }
        self.process = Some(process);
        world.record.line(&format!("{} starts", self.name));
    }

    /// Ends the process at once, as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks the process to end, as the platform does before planned work.
    pub fn terminate(&self) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = http::message("GET /pistachiorock/ready HTTP/1.1", "Host: x\r\n", b"");
        let answer = Client::new(self.readiness).call(&request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What all parts of a deployment share.
pub struct World {
    pub record: Record,
    pub random: Random,
    pub store: Store,
    /// Address of the store.
    pub address: SocketAddr,
    pub folder: PathBuf,
    /// Whether the disruption of the case is played.
    pub trouble: bool,
    seeds: Mutex<Vec<String>>,
}

impl World {
    pub fn new(record: Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new();
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        record.say(if trouble { "with the disruption" } else { "without the disruption" });
        Self {
            record,
            random: Random::new(),
            address: store.open(),
            store,
            folder,
            trouble,
            seeds: Mutex::default(),
        }
    }

    /// Waits until all machines are ready; returns false if one isn't within ten seconds.
    pub fn wait_ready(&self, machines: &[Machine]) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if machines.iter().all(Machine::is_ready)
                && self.store.keys("hosts/").len() >= machines.len()
            {
                thread::sleep(Duration::from_secs(1));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.say("not all machines are ready");
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Arrival or start of a request at a backend.
#[derive(Clone)]
pub struct Event {
    pub at: Instant,
    pub id: String,
}

/// How a backend answers a request that it has room for.
pub struct Manners {
    /// Time that a request runs.
    pub work: Duration,
    /// Share of the answers, rejections too, of which a second copy comes late, at the point where the
    /// next answer on that connection is expected.
    pub doubled: f64,
    /// Requests that run at a time, and that wait beyond them.
    pub capacity: usize,
    pub queue: usize,
}

impl Default for Manners {
    fn default() -> Self {
        Self { work: Duration::from_millis(10), doubled: 0.0, capacity: 2, queue: 2 }
    }
}

pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Start of the process in Unix milliseconds, and as a moment.
    started: Mutex<(u64, Instant)>,
    warmup: Duration,
    up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    manners: Manners,
    /// Requests that run, and that wait.
    load: Mutex<(usize, usize)>,
    pub arrivals: Mutex<Vec<Event>>,
    pub runs: Mutex<Vec<Event>>,
    random: Random,
    record: Record,
}

impl Backend {
    /// Starts a backend that stays cold for `warmup`, and registers it.
    pub fn start(
        world: &World,
        id: &str,
        service: &str,
        zone: &str,
        warmup: Duration,
        manners: Manners,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("an address"),
            started: Mutex::new((unix_millis(), Instant::now())),
            warmup,
            up: AtomicBool::new(true),
            connections: Mutex::default(),
            manners,
            load: Mutex::default(),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            random: world.random.clone(),
            record: world.record.clone(),
        });
        let serving = Arc::clone(&backend);
        thread::spawn(move || serving.accept(listener));
        let (beating, store) = (Arc::clone(&backend), world.store.clone());
        thread::spawn(move || {
            let mut sequence = 1;
            loop {
                thread::sleep(Duration::from_millis(1));
                if !beating.up.load(Ordering::SeqCst) {
                    // The entry stays for three heartbeats of silence.
                    sequence = 1;
                    continue;
                }
                let warmup_left = beating.warmup_left().as_millis();
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"capacity\":2,\"state\":\"ready\",\"warmup_left_ms\":{warmup_left},\
                     \"sequence\":{sequence},\"born\":{}}}",
                    beating.service,
                    beating.address,
                    beating.zone,
                    beating.started.lock().unwrap().0
                );
                store.put(&format!("servers/{}", beating.id), &entry);
                sequence += 1;
                thread::sleep(HEARTBEAT);
            }
        });
        world.record.line(&format!("backend {id} of {service} in {zone} starts"));
        backend
    }

    pub fn warmup_left(&self) -> Duration {
        self.warmup.saturating_sub(self.started.lock().unwrap().1.elapsed())
    }

    /// Returns the times between which the backend has been cold since its last start.
    pub fn cold_span(&self) -> (Instant, Instant) {
        let started = self.started.lock().unwrap().1;
        (started, started + self.warmup)
    }

    /// Crashes and starts again after `down` under the same id, cold. The entry is written again at
    /// the next heartbeat.
    pub fn restart(&self, down: Duration) {
        self.up.store(false, Ordering::SeqCst);
        self.record.line(&format!("{} crashes", self.id));
        thread::sleep(down);
        *self.started.lock().unwrap() = (unix_millis(), Instant::now());
        self.up.store(true, Ordering::SeqCst);
        self.record.line(&format!("{} starts again, cold", self.id));
    }

    /// Accepts connections. A crashed process refuses them, and those it had are closed.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            if !self.up.load(Ordering::SeqCst) {
                drop(listener);
                for stream in self.connections.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                while !self.up.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_micros(200));
                }
                listener = TcpListener::bind(self.address).expect("the port is free again");
            }
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    self.connections.lock().unwrap().extend(stream.try_clone());
                    let backend = Arc::clone(&self);
                    thread::spawn(move || {
                        let _ = backend.serve(stream);
                    });
                }
                Err(_) => thread::sleep(Duration::from_micros(200)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        // Bytes that a faulty backend sends at the point where the next answer is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Some(message) = http::read(&mut stream, &mut buffer)? {
            if let Some(bytes) = late.take() {
                self.record.line(&format!("{} sends further bytes of its last answer", self.id));
                stream.write_all(&bytes)?;
            }
            if message.target() == "/health" {
                let left = self.warmup_left().as_millis();
                let headers = format!("Instance-Id: {}\r\nWarmup-Ms: {left}\r\n", self.id);
                stream.write_all(&http::message("HTTP/1.1 200 OK", &headers, b""))?;
                continue;
            }
            let answer = self.answer(&message);
            if self.random.happens(self.manners.doubled) {
                late = Some(answer.clone());
            }
            stream.write_all(&answer)?;
        }
        Ok(())
    }

    /// Runs a request if there is room, and returns the answer.
    fn answer(&self, message: &Message) -> Vec<u8> {
        let id = message.header("request-id").unwrap_or("").to_string();
        self.arrivals.lock().unwrap().push(Event { at: Instant::now(), id: id.clone() });
        let echo = format!("Request-Id: {id}\r\n");
        if message.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = format!("{echo}Not-Executed: 1\r\nInstance-Id: {}\r\n", self.id);
            return http::message("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if !self.enter() {
            self.record.line(&format!("{} rejects {id}", self.id));
            let headers = format!("{echo}Not-Executed: 1\r\n");
            return http::message("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.runs.lock().unwrap().push(Event { at: Instant::now(), id: id.clone() });
        self.record.line(&format!("{} runs {id} {}", self.id, message.target()));
        thread::sleep(self.manners.work);
        self.load.lock().unwrap().0 -= 1;
        let headers = format!("{echo}Server-Stamp: {}.{id}\r\n", self.id);
        http::message("HTTP/1.1 200 OK", &headers, id.as_bytes())
    }

    /// Waits for a slot; returns false if the queue is full.
    fn enter(&self) -> bool {
        let (capacity, queue) = (self.manners.capacity, self.manners.queue);
        let mut load = self.load.lock().unwrap();
        if load.0 < capacity {
            load.0 += 1;
            return true;
        }
        if load.1 >= queue {
            return false;
        }
        load.1 += 1;
        loop {
            drop(load);
            thread::sleep(Duration::from_millis(1));
            load = self.load.lock().unwrap();
            if load.0 < capacity {
                load.0 += 1;
                load.1 -= 1;
                return true;
            }
        }
    }
}

/// One route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub slo_ms: u64,
}

/// Writes a configuration, as the operator does.
pub fn configure(world: &World, version: u64, routes: &[Route<'_>], services: &[&str]) {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"type\":\"{}\",\
             \"timeout_ms\":{},\"slo_ms\":{},\"priority\":1,\"service\":\"{}\",\"attempts\":2}}",
            route.name, route.prefix, route.kind, route.timeout_ms, route.slo_ms, route.service
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\
             \"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":0.0}}"
        )
    });
    let (routes, services): (Vec<_>, Vec<_>) = (routes.collect(), services.collect());
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    world.store.put("op/config", &config);
    world.record.line(&format!("the store has acknowledged configuration {version}"));
}

/// What a caller got for one request.
#[derive(Clone)]
pub struct Answer {
    pub id: String,
    /// 0 if the connection ended without an answer.
    pub status: u16,
}

/// Sends one request on a kept connection and records the answer.
pub fn ask(
    world: &World,
    client: &mut Client,
    machine: &str,
    method: &str,
    path: &str,
    deadline: Duration,
) -> Answer {
    let id = world.random.id();
    let headers =
        format!("Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n", deadline.as_millis());
    let request = if method == "GET" {
        format!("GET {path} HTTP/1.1\r\n{headers}\r\n").into_bytes()
    } else {
        http::message(&format!("{method} {path} HTTP/1.1"), &headers, id.as_bytes())
    };
    world.record.line(&format!("a client sends {id} {method} {path} to {machine}"));
    let status = client.call(&request, deadline).map_or(0, |answer| answer.status());
    world.record.line(&format!("{id} is answered {status}"));
    Answer { id, status }
}
