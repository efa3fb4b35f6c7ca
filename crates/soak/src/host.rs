//! A host that runs as a separate process and can be signalled, killed and restarted.

use std::fs;
use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use standin::{Proxy, free_address};

/// Time for which a host may finish its requests after SIGTERM.
pub const SHUTDOWN_GRACE: Duration = Duration::from_secs(3);

/// A host process with its settings and the proxies for its connections.
pub struct Host {
    /// Name of the host.
    pub name: Box<str>,
    /// Address that callers are told.
    pub front_address: SocketAddr,
    /// Address for lookups.
    pub directory: SocketAddr,
    /// Proxy for the connections of callers.
    pub front: Proxy,
    /// Proxies for the connections of other hosts: for updates and for relay requests.
    pub peers: [Proxy; 2],
    /// Proxy for the connections of the host to the store.
    pub store: Proxy,
    /// When the connections of callers were last impaired or restored.
    pub callers_impaired: Instant,
    /// When the process was last started or signalled, or a proxy of the host last changed.
    pub last_disturbed: Instant,
    /// Number of times that the process has been started.
    pub incarnation: u32,
    /// End of the grace period, if SIGTERM was sent to the present process.
    pub grace_end: Option<Instant>,
    binary: PathBuf,
    folder: PathBuf,
    process: Option<Child>,
}

impl Host {
    /// Writes the settings of a host and starts it. Also returns the address at which
    /// other hosts follow this one, which they can use as a bootstrap address.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings cannot be written, no port can be bound or the program
    /// cannot be started.
    pub async fn start(
        number: usize,
        domain: &str,
        store: SocketAddr,
        binary: &Path,
        folder: &Path,
        bootstrap_addresses: &[SocketAddr],
    ) -> Result<(Self, SocketAddr)> {
        let store = Proxy::start(store).await?;
        let [front, readiness, peer, directory, relay] = [(); 5].map(|()| free_address());
        let peers = [Proxy::start(peer).await?, Proxy::start(relay).await?];
        let front_proxy = Proxy::start(front).await?;
        let (metrics, relay) = (free_address().port(), relay.port());
        let name = format!("host-{number}");
        let folder = folder.join(&name);
        fs::create_dir_all(&folder)?;
        let quoted: Vec<String> =
            bootstrap_addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let (seeds, grace) = (quoted.join(","), SHUTDOWN_GRACE.as_secs());
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
            front_address: front,
            directory,
            front: front_proxy,
            peers,
            store,
            callers_impaired: Instant::now(),
            last_disturbed: Instant::now(),
            incarnation: 0,
            grace_end: None,
            binary: binary.into(),
            folder,
            process: None,
        };
        host.launch()?;
        let peer = host.peers[0].address();
        Ok((host, peer))
    }

    /// Starts a process of the host with the settings and the metrics port on disk.
    ///
    /// # Errors
    ///
    /// Returns an error when the log or the metrics port cannot be opened or the program cannot be
    /// started.
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
        self.grace_end = None;
        self.mark_disturbed();
        Ok(())
    }

    /// Replaces the program that the next process of the host runs.
    pub fn set_binary(&mut self, binary: &Path) {
        self.binary = binary.into();
    }

    /// Sets [`last_disturbed`](Self::last_disturbed) to now.
    pub fn mark_disturbed(&mut self) {
        self.last_disturbed = Instant::now();
    }

    /// Sends a signal to the process. SIGTERM also starts the grace period.
    pub fn signal(&mut self, signal: Signal) {
        self.mark_disturbed();
        if signal == Signal::TERM {
            self.grace_end = Some(Instant::now() + SHUTDOWN_GRACE);
        }
        let Some(process) = &self.process else { return };
        let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            log::info!("cannot signal the process of {}: {error}", self.name);
        }
    }

    /// Returns whether the process has exited or was never started.
    pub fn has_exited(&mut self) -> bool {
        match &mut self.process {
            Some(process) => !matches!(process.try_wait(), Ok(None)),
            None => true,
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // These calls fail if the process has already exited, which needs no handling.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
