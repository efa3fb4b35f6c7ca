//! Starts the threads of an egress.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::{Error, Result, ShutdownSignal};
use member::Member;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control::{self, Context};
use crate::metrics::Metrics;
use crate::server;
use crate::settings::Settings;
use crate::state::Control;
use crate::traffic::Traffic;

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 20;

/// Maximum time for which an egress that shuts down waits for the parts in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// A running egress.
pub struct Handle {
    /// Address for calls and heartbeats.
    pub address: SocketAddr,
    /// Metrics of the egress.
    pub metrics: Metrics,
    /// Control state, as last published by the control thread.
    pub control: watch::Receiver<Arc<Control>>,
    /// Threads of the egress, which end after the shutdown signal.
    pub threads: Vec<JoinHandle<()>>,
    kill: watch::Sender<bool>,
}

/// Starts an egress that runs until `shutdown` is set, and returns its handle.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn start(settings: Settings, shutdown: ShutdownSignal) -> Result<Handle> {
    let (tcp, udp) = bind(settings.listen)?;
    let address = tcp.local_addr().map_err(|error| Error::bind(settings.listen, error))?;
    let metrics = Metrics::default();
    let (control, published) = watch::channel(Arc::default());
    let (events, inbox) = mpsc::unbounded_channel();
    let (commands, command_inbox) = mpsc::unbounded_channel();
    let (control_ended, ended) = oneshot::channel();

    let (kill, killed) = watch::channel(false);
    let mut traffic_killed = killed.clone();
    let traffic = {
        let (control, metrics, events) = (published.clone(), metrics.clone(), events.clone());
        let baseline = settings.baseline;
        move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(tcp) else { return };
            let traffic = Traffic::new(control, events, metrics, baseline);
            tokio::task::spawn_local(server::serve(listener, traffic.clone()));
            tokio::task::spawn_local(traffic.clone().run(command_inbox));
            // Serves until this host has left the roster, and then waits for the parts in flight.
            tokio::select! {
                _ = ended => {}
                () = wait_for_kill(&mut traffic_killed) => return,
            }
            let until = Instant::now() + DRAIN_TIMEOUT;
            while traffic.in_flight() > 0 && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // Lets the last answers and handovers be sent before the sockets close.
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };

    let member = new_member(&settings, address);
    let context = Context {
        udp,
        control,
        events: (events, inbox),
        commands,
        metrics: metrics.clone(),
        shutdown,
    };
    let name = settings.host.clone();
    let mut control_killed = killed;
    let control = move || async move {
        tokio::select! {
            () = control::run(settings, member, context) => { let _ = control_ended.send(()); }
            // Dropping the sender would make the traffic thread drain as in a graceful shutdown.
            () = wait_for_kill(&mut control_killed) => std::mem::forget(control_ended),
        }
    };
    let threads = vec![
        kernel::spawn_local(&format!("{name}-control"), control)?,
        kernel::spawn_local(&format!("{name}-traffic"), traffic)?,
    ];
    Ok(Handle { address, metrics, control: published, threads, kill })
}

/// Waits for [`Handle::kill`]. Never returns if the handle is dropped without a call of it.
async fn wait_for_kill(killed: &mut watch::Receiver<bool>) {
    if killed.wait_for(|killed| *killed).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Creates the membership state, with the current time in microseconds as the incarnation.
fn new_member(settings: &Settings, address: SocketAddr) -> Member {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since_epoch.as_micros() as u64;
    let mut inner = member::Settings::new(&settings.host, incarnation, &settings.domain, address);
    inner.fenced = !settings.baseline;
    Member::new(inner, Instant::now())
}

/// Binds a TCP listener and a UDP socket to the same port.
fn bind(listen: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let tcp = TcpListener::bind(listen).map_err(|error| Error::bind(listen, error))?;
        let address = tcp.local_addr().map_err(|error| Error::bind(listen, error))?;
        attempts += 1;
        match UdpSocket::bind(address) {
            Ok(udp) => {
                let fail = |error| Error::bind(address, error);
                tcp.set_nonblocking(true).map_err(fail)?;
                udp.set_nonblocking(true).map_err(fail)?;
                return Ok((tcp, udp));
            }
            // The port was chosen by the system; the next choice may be free for UDP as well.
            Err(_) if listen.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(error) => return Err(Error::bind(address, error)),
        }
    }
}

impl Handle {
    /// Ends the egress immediately, as a crash would: the sockets close and nothing is handed over.
    pub fn kill(&self) {
        self.kill.send_replace(true);
    }

    /// Starts an HTTP server for health and metrics. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when `address` cannot be bound.
    pub async fn serve_admin(&self, address: SocketAddr) -> Result<()> {
        crate::admin::serve(address, self.control.clone(), self.metrics.clone()).await
    }
}
