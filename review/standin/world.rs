//! A small deployment on loopback: nodes as separate processes, backends, clients and a proxy.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Result, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Message, Reader};
use crate::json::Json;
use crate::store::Store;

pub const HOST: &str = "search.example";
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const MILLISECOND: Duration = Duration::from_millis(1);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, path: &str) -> Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = std::io::BufWriter::new(File::create(path)?);
        for (at, text) in lines {
            writeln!(file, "{:9.4} {text}", self.seconds(at))?;
        }
        file.flush()
    }
}

/// A random number that differs between calls and runs.
pub fn random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_nanos() as u64;
    let mut x = time ^ COUNT.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x ^= u64::from(std::process::id()) << 32;
    for _ in 0..3 {
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
    }
    x
}

/// How a backend answers a request that it has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoil {
    No,
    /// A byte in the name of the signature's header is wrong.
    Stamp,
    /// The body is wrong, and a header says that it is encoded.
    Encoding,
}

/// A request that a backend has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub arrived: Instant,
    pub ended: Option<Instant>,
    pub answered: bool,
    pub spoil: Spoil,
}

struct BackendState {
    runs: Vec<Run>,
    running: usize,
    spoil_ratio: f64,
}

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    /// Whether the process runs. While it does not, connections are refused.
    up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Until when the backend is cold.
    cold_until: Arc<Mutex<Option<Instant>>>,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: usize,
    work: Duration,
    state: Arc<Mutex<BackendState>>,
    record: Record,
}

impl Backend {
    pub fn start(
        world: &World,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
    ) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let backend = Self {
            up: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
            cold_until: Arc::default(),
            id: format!("i-{:010x}", random() >> 24),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            slots,
            work,
            state: Arc::new(Mutex::new(BackendState {
                runs: Vec::new(),
                running: 0,
                spoil_ratio: 0.0,
            })),
            record: world.record.clone(),
        };
        let this = backend.clone();
        thread::spawn(move || this.accept(listener));
        world.record.note(format!("backend {} of {service} in {zone} starts", backend.id));
        world.store.put(&format!("servers/{}", backend.id), &backend.entry(0));
        Ok(backend)
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            thread::sleep(MILLISECOND);
            if !self.up.load(Ordering::SeqCst) {
                listener = None;
                let open = std::mem::take(&mut *self.open.lock().unwrap());
                open.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
                continue;
            }
            let bound = listener.take().or_else(|| TcpListener::bind(self.address).ok());
            listener = bound;
            let Some(listener) = &listener else { continue };
            let _ = listener.set_nonblocking(true);
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                self.open.lock().unwrap().extend(stream.try_clone());
                let this = self.clone();
                thread::spawn(move || this.serve(&stream));
            }
        }
    }

    /// Sets for how long the backend is cold, which its health responses state.
    pub fn set_cold_for(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Ends the process without a word, or starts it again under the same id and address.
    pub fn set_up(&self, up: bool) -> Instant {
        self.up.store(up, Ordering::SeqCst);
        self.record.note(format!("backend {} {}", self.id, if up { "starts again" } else { "crashes" }));
        Instant::now()
    }

    /// Returns the entry of the backend. One that is cold for some time has started anew.
    pub fn entry(&self, warmup_left_ms: u64) -> String {
        let Self { service, address, zone, slots, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"capacity\":{slots},\"state\":\"ready\",\
             \"warmup_left_ms\":{warmup_left_ms},\"sequence\":1,\"born\":{}}}",
            1_764_900_000_000 + warmup_left_ms
        )
    }

    pub fn set_spoil_ratio(&self, ratio: f64) {
        self.state.lock().unwrap().spoil_ratio = ratio;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn body(id: &str) -> String {
        format!("the whole body for {id}")
    }

    pub fn stamp(&self, id: &str) -> String {
        format!("{}.{id}", self.id)
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut reader) = Reader::new(stream) else { return };
        while let Ok(Some(request)) = reader.read() {
            if self.answer(stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message) -> Result<()> {
        let mut send = |head: String, body: &str| {
            let length = body.len();
            let head = format!("{head}Keep-Alive: timeout=15\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all((head + body).as_bytes())
        };
        if request.target().1 == "/health" {
            let cold = *self.cold_until.lock().unwrap();
            let left = cold.map(|until| until.saturating_duration_since(Instant::now()));
            let cold = left.filter(|left| !left.is_zero());
            let cold = cold.map_or_else(String::new, |left| {
                format!("Warmup-Ms: {}\r\n", left.as_millis())
            });
            return send(format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{cold}", self.id), "");
        }
        let Some(id) = request.header("request-id") else {
            return send("HTTP/1.1 400 No Id\r\nNot-Executed: 1\r\n".into(), "");
        };
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return send(format!("HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"), "");
        }
        let arrived = Instant::now();
        let (index, spoil) = {
            let mut state = self.state.lock().unwrap();
            if state.running >= self.slots {
                drop(state);
                return send(
                    format!("HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"),
                    "",
                );
            }
            state.running += 1;
            let spoiled = (random() % 10_000) as f64 / 10_000.0 < state.spoil_ratio;
            let spoil = match (spoiled, random() % 2) {
                (false, _) => Spoil::No,
                (true, 0) => Spoil::Stamp,
                (true, _) => Spoil::Encoding,
            };
            let run = Run { id: id.into(), arrived, ended: None, answered: false, spoil };
            state.runs.push(run);
            (state.runs.len() - 1, spoil)
        };
        self.record.note(format!("run {id} begins at {}", self.id));
        thread::sleep(self.work);
        let ended = Instant::now();
        {
            let mut state = self.state.lock().unwrap();
            state.running -= 1;
            state.runs[index].ended = Some(ended);
        }
        let stamp = self.stamp(id);
        let body = Self::body(id);
        let sent = match spoil {
            Spoil::No => send(
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n"),
                &body,
            ),
            Spoil::Stamp => send(
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-St0mp: {stamp}\r\n"),
                &body,
            ),
            Spoil::Encoding => send(
                format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n\
                     Content-Encoding: gzip\r\n"
                ),
                &body.replace("whole", "wr0ng"),
            ),
        };
        self.state.lock().unwrap().runs[index].answered = sent.is_ok();
        let spoiled = if spoil == Spoil::No { String::new() } else { format!(" ({spoil:?} spoiled)") };
        let result = if sent.is_ok() { "answered" } else { "could not be answered" };
        self.record.note(format!("run {id} ends at {}, {result}{spoiled}", self.id));
        sent
    }
}

/// A proxy in front of an address. While it is silent it passes nothing on, in both directions.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let proxy = Self { address: listener.local_addr()?, silent: Arc::default() };
        let silent = Arc::clone(&proxy.silent);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let silent = Arc::clone(&silent);
                thread::spawn(move || {
                    wait_while(&silent);
                    let Ok(server) = TcpStream::connect(target) else { return };
                    let _ = (server.set_nodelay(true), client.set_nodelay(true));
                    let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let other = Arc::clone(&silent);
                    thread::spawn(move || copy(client2, server2, &other));
                    copy(server, client, &silent);
                });
            }
        });
        Ok(proxy)
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

fn wait_while(silent: &AtomicBool) {
    while silent.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut block = [0; 16 * 1024];
    loop {
        let length = from.read(&mut block).unwrap_or(0);
        wait_while(silent);
        if length == 0 || to.write_all(&block[..length]).is_err() {
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
            return;
        }
    }
}

/// A node: the project's program as a separate process.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
    log: PathBuf,
    record: Record,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        (self.ip, 8104).into()
    }

    pub fn signal(&self, signal: i32) -> Instant {
        let at = Instant::now();
        if let Some(child) = &self.child {
            // The process was started here and has not been waited for, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
            self.record.note_at(at, format!("signal {signal} to {}", self.name));
        }
        at
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Calls one of the node's own interfaces; `None` without a complete answer within a second.
    pub fn get(&self, port: u16, target: &str) -> Option<Message> {
        let stream = TcpStream::connect_timeout(&(self.ip, port).into(), Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let mut out = &stream;
        write!(out, "GET {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ip).ok()?;
        Reader::new(&stream).ok()?.read().ok()?
    }

    pub fn is_ready(&self) -> bool {
        self.get(8108, "/pistachiorock/ready").is_some_and(|answer| answer.status() == 200)
    }

    /// Asks the directory; returns the addresses in its answer.
    pub fn resolve(&self, zone: &str) -> Option<Vec<String>> {
        let target = format!("/pistachiorock/resolve?name={HOST}&region=region-1&zone={zone}");
        let answer = self.get(8100, &target).filter(|answer| answer.status() == 200)?;
        let body = Json::parse(&String::from_utf8_lossy(&answer.body));
        Some(body.get("addrs").list().iter().map(|item| item.text().to_string()).collect())
    }

    /// Returns the log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = (child.kill(), child.wait());
        }
    }
}

/// The store, the record and the settings of one run.
pub struct World {
    pub record: Record,
    pub store: Store,
    folder: PathBuf,
    network: [u8; 2],
    zones: Vec<String>,
}

impl World {
    pub fn start(record: &Record, zones: &[&str]) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("pistachio-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start("127.0.0.1:0")?;
        let network = [60 + (random() % 60) as u8, (random() % 250) as u8];
        let zones = zones.iter().map(|zone| (*zone).to_string()).collect();
        Ok(Self { record: record.clone(), store, folder, network, zones })
    }

    /// Writes a configuration with routes as JSON, and the services that they name.
    pub fn configure(&self, version: u64, routes: &[String], services: &[(&str, u32)]) {
        let services: Vec<String> = services
            .iter()
            .map(|(name, max)| {
                format!(
                    "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":{max},\
                     \"warmup_s\":3.0,\"cold_per_s\":5.0}}"
                )
            })
            .collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &config);
        self.record.note(format!("configuration {version} written"));
    }

    pub fn route(
        name: &str,
        prefix: &str,
        kind: &str,
        service: &str,
        attempts: u32,
        (objective, timeout): (u32, u32),
    ) -> String {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"slo_ms\":{objective},\"priority\":1,\"attempts\":{attempts},\
             \"service\":\"{service}\"}}"
        )
    }

    /// Starts a node on a machine of the usual size with the command of the deploy file.
    pub fn node(&self, index: u8, name: &str, zone: &str, store: SocketAddr) -> Result<Node> {
        self.sized_node(index, name, zone, store, 0.25)
    }

    /// Starts a node on a machine with the given share of a core.
    pub fn sized_node(
        &self,
        index: u8,
        name: &str,
        zone: &str,
        store: SocketAddr,
        cpu_share: f64,
    ) -> Result<Node> {
        let [a, b] = self.network;
        let address = |index: u8| Ipv4Addr::new(127, a, b, 10 + index);
        let ip = address(index);
        let seeds: Vec<String> = (0..3).map(|i| format!("\"{}:8106\"", address(i))).collect();
        let seeds = seeds.join(",");
        let zones: Vec<String> =
            self.zones.iter().map(|zone| format!("{zone} = \"region-1\"\n")).collect();
        let zones = zones.concat();
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"node\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"region-1\"\nport_range = [7380,7395]\nseeds = [{seeds}]\nbootstrap = true\n\
             loss_counts = false\ndiscovery = \"platform\"\nentry = \"directory\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"platform\"]\n\
             [zones]\n{zones}[listen]\nfront = \"{ip}:8104\"\nreadiness = \"{ip}:8108\"\n\
             control = \"{ip}:8106\"\ndirectory = \"{ip}:8100\"\n[limits]\ncpu_share = {cpu_share}\n\
             cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n\
             reuse_after_s = 2\ncontact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n\
             grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n\
             outer_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 58\n\
             cold_over = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let output = File::create(&log)?;
        let mut command = Command::new("target/release/pistachio-node");
        command.env_clear().env("PISTACHIOROCK_CONFIG", &path).stdin(Stdio::null());
        command.stdout(output.try_clone()?).stderr(output);
        // The node is killed if this process ends first: PR_SET_PDEATHSIG, SIGKILL.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as usize);
                Ok(())
            });
        }
        let child = Some(command.spawn()?);
        self.record.note(format!("{name} starts at {ip} in {zone}"));
        Ok(Node { name: name.into(), ip, child, log, record: self.record.clone() })
    }

    /// Waits until all nodes are ready; returns whether they are within ten seconds.
    pub fn wait_ready(&self, nodes: &[Node]) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if nodes.iter().all(Node::is_ready) {
                self.record.note("all nodes are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.note("the nodes do not become ready");
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A request of a client and what came back.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub node: String,
    /// When the last byte was sent; `None` if no connection was established.
    pub sent: Option<Instant>,
    pub ended: Instant,
    /// The complete answer, if there is one.
    pub answer: Option<Message>,
}

/// The requests of all clients, by id.
#[derive(Clone, Default)]
pub struct Clients {
    pub sent: Arc<Mutex<BTreeMap<String, Sent>>>,
}

impl Clients {
    /// Sends one request on a new connection and waits for the answer until the deadline.
    pub fn send(&self, record: &Record, node: (&str, SocketAddr), request: (&str, &str), deadline: Duration) -> Sent {
        let id = format!("{:016x}", random());
        let (method, path) = request;
        let body = if method == "POST" { format!("body of {id}") } else { String::new() };
        let mut sent =
            Sent { id: id.clone(), node: node.0.into(), sent: None, ended: Instant::now(), answer: None };
        let mut exchange = || -> Result<Option<Message>> {
            let stream = TcpStream::connect_timeout(&node.1, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(deadline))?;
            let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{length}\r\n{body}",
                deadline.as_millis()
            );
            (&stream).write_all(text.as_bytes())?;
            let now = Instant::now();
            sent.sent = Some(now);
            record.note_at(now, format!("client sends {id} {method} {path} to {}", node.0));
            Reader::new(&stream)?.read()
        };
        let answer = exchange();
        sent.ended = Instant::now();
        match &answer {
            Ok(Some(answer)) => {
                let shown = ["server-stamp", "content-encoding", "retry-after"];
                let shown: Vec<String> = shown
                    .iter()
                    .filter_map(|name| Some(format!(" {name}={}", answer.header(name)?)))
                    .collect();
                record.note(format!("client gets {} for {id}{}", answer.status(), shown.concat()));
            }
            Ok(None) => record.note(format!("client gets no complete answer for {id}: connection closed")),
            Err(error) => record.note(format!("client gets no answer for {id}: {error}")),
        }
        sent.answer = answer.unwrap_or(None);
        self.sent.lock().unwrap().insert(id, sent.clone());
        sent
    }

    pub fn all(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().values().cloned().collect()
    }
}
