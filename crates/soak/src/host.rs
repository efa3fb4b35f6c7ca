//! One host as a process of its own, which the soak may signal, kill and start again.

use std::fs;
use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use standin::free_address;

use crate::proxy::Proxy;

/// Grace period of the hosts.
pub const GRACE: Duration = Duration::from_secs(3);

/// One host.
pub struct Host {
    /// Its name.
    pub name: Box<str>,
    /// The way of callers to it.
    pub front: Proxy,
    /// The ways of other hosts to it: for news and for parts.
    pub peers: [Proxy; 2],
    /// Its way to the store.
    pub store: Proxy,
    /// When its callers' way was last harmed.
    pub callers_harmed: Instant,
    /// Since when nothing has been done to it or its way to the store.
    pub calm_since: Instant,
    /// Number of its present process, counted from 1.
    pub incarnation: u32,
    /// Until when it ends its requests, after SIGTERM.
    pub stopping: Option<Instant>,
    binary: PathBuf,
    folder: PathBuf,
    process: Option<Child>,
}

impl Host {
    /// Writes the settings of a host and starts it.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written, no port can be had or the program cannot start.
    pub async fn start(
        number: usize,
        domain: &str,
        store: SocketAddr,
        binary: &Path,
        folder: &Path,
        seeds: &[SocketAddr],
    ) -> Result<(Self, SocketAddr)> {
        let store = Proxy::start(store).await?;
        let [front, readiness, peer, directory, relay] = [(); 5].map(|()| free_address());
        let peers = [Proxy::start(peer).await?, Proxy::start(relay).await?];
        let callers = Proxy::start(front).await?;
        let (metrics, relay) = (free_address().port(), relay.port());
        let name = format!("host-{number}");
        let folder = folder.join(&name);
        fs::create_dir_all(&folder)?;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (seeds, grace) = (seeds.join(","), GRACE.as_secs());
        let settings = format!(
            "node_name = \"{name}\"\nzone = \"{domain}\"\nport_range = [{relay}, {relay}]\n\
             seeds = [{seeds}]\n[listen]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\ncontrol = \"{peer}\"\n\
             directory = \"{directory}\"\n[limits]\ncpu_share = 1.0\n[bounds]\n\
             config_apply_ms = 3000\ndrain_ms = 3000\nevacuate_ms = 5000\ngrace_s = {grace}\n\
             ttl_max_s = 5\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 58\n\
             cold_over = 1.5\ncold_slack = 5\n[platform]\naddress = \"{}\"\n",
            store.address()
        );
        fs::write(folder.join("settings.toml"), settings)?;
        fs::write(folder.join("metrics-port"), metrics.to_string())?;
        let mut host = Self {
            name: name.into(),
            front: callers,
            peers,
            store,
            callers_harmed: Instant::now(),
            calm_since: Instant::now(),
            incarnation: 0,
            stopping: None,
            binary: binary.into(),
            folder,
            process: None,
        };
        host.launch()?;
        let peer = host.peers[0].address();
        Ok((host, peer))
    }

    /// Starts the process again.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot start.
    pub fn launch(&mut self) -> Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let port = fs::read_to_string(self.folder.join("metrics-port"))?;
        let settings = self.folder.join("settings.toml");
        let mut command = Command::new(&self.binary);
        command.arg("--settings").arg(settings).args(["--metrics-port", &port]);
        let [peer, relay] = self.peers.each_ref().map(|proxy| proxy.address().to_string());
        command.args(["--advertise-peer", &peer, "--advertise-relay", &relay]);
        self.process = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        self.incarnation += 1;
        self.stopping = None;
        self.disturbed();
        Ok(())
    }

    /// Notes that something has been done to the host.
    pub fn disturbed(&mut self) {
        self.calm_since = Instant::now();
    }

    /// Sends a signal to the process that the soak started.
    pub fn signal(&mut self, signal: Signal) {
        self.disturbed();
        if signal == Signal::TERM {
            self.stopping = Some(Instant::now() + GRACE);
        }
        let Some(process) = &self.process else { return };
        let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            log::info!("{} has ended before a signal: {error}", self.name);
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => !matches!(process.try_wait(), Ok(None)),
            None => true,
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // It may have ended already, and there is nothing else to do at the end of a run.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
