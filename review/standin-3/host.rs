//! The processes of the system, started with the command of the deploy file.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    process: Option<Child>,
}

pub struct Place<'a> {
    pub zone: &'a str,
    pub ip: String,
    pub store: SocketAddr,
    pub seeds: &'a [SocketAddr],
    pub folder: &'a Path,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("the listener is bound").port()
}

/// Returns addresses for the control ports of hosts, of which some are seeds.
pub fn control_address(ip: &str) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("a loopback address"), free_port(ip))
}

impl Host {
    pub fn new(name: &str, control: SocketAddr, place: &Place<'_>) -> Self {
        let Place { zone, ip, store, seeds, folder } = place;
        let address = || SocketAddr::new(ip.parse().expect("a loopback address"), free_port(ip));
        let (front, readiness, directory) = (address(), address(), address());
        let first = free_port(ip);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let text = format!(
            r#"node_name = "{name}"
role = "node"
machine_class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "perth-metro"
port_range = [{first},{last}]
seeds = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
swan-upper = "perth-metro"
canning-reach = "perth-metro"
fremantle-mouth = "perth-metro"
[listen]
front = "{front}"
readiness = "{readiness}"
control = "{control}"
directory = "{directory}"
[limits]
cpu_share = 0.25
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
            last = first.saturating_add(15),
        );
        let settings = folder.join(format!("{name}.toml"));
        let mut file = std::fs::File::create(&settings).expect("the temporary folder is writable");
        file.write_all(text.as_bytes()).expect("the temporary folder is writable");
        let folder = folder.to_path_buf();
        Self { name: name.into(), front, readiness, settings, folder, process: None }
    }

    pub fn start(&mut self) {
        let log = std::fs::File::create(self.folder.join(format!("{}.log", self.name)));
        let process = Command::new("target/release/pistachio-node")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("LANG", "C")
            .env("PISTACHIOROCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the temporary folder is writable"))
            .stderr(Stdio::inherit())
            .spawn();
        self.process = process.ok();
        // `run.sh` ends the processes in this file if it is stopped itself.
        if let (Some(process), Ok(path)) = (&self.process, std::env::var("PIDS")) {
            let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", process.id()));
        }
    }

    /// Returns whether the process runs and its readiness check succeeds within a time.
    pub fn wait_ready(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let connection = Connection::open(self.readiness, Duration::from_secs(1));
            let answer = connection.ok().and_then(|mut connection| {
                connection.call("GET /pistachiorock/ready HTTP/1.1", &[("host", "ready")], b"")
            });
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process, by the name of the signal.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let command = format!("kill -{name} {}", process.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => !matches!(process.try_wait(), Ok(None)),
            None => false,
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
