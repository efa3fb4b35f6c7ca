//! Starts an egress in this process.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::{Error, Result, Stop};
use member::Member;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control::{self, Wiring};
use crate::metrics::Metrics;
use crate::server;
use crate::settings::Settings;
use crate::state::Control;
use crate::traffic::Traffic;

/// Tries to find a port that is free for both TCP and UDP.
const PORT_TRIES: u32 = 20;

/// Longest time that a stopping egress waits for the parts on their way.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// A running egress.
pub struct Handle {
    /// Address of its calls and beats.
    pub address: SocketAddr,
    /// Its counters.
    pub metrics: Metrics,
    /// Its control state.
    pub control: watch::Receiver<Arc<Control>>,
    /// Its threads, which end after the stop.
    pub threads: Vec<JoinHandle<()>>,
    killed: watch::Sender<bool>,
}

/// Starts an egress that runs until `stop`.
///
/// # Errors
///
/// Fails when an address cannot be listened on or a thread cannot be started.
pub fn start(settings: Settings, stop: Stop) -> Result<Handle> {
    let (tcp, udp) = bind(settings.listen)?;
    let address = tcp.local_addr().map_err(|error| Error::bind(settings.listen, error))?;
    let metrics = Metrics::default();
    let (control, published) = watch::channel(Arc::default());
    let (events, inbox) = mpsc::unbounded_channel();
    let (commands, orders) = mpsc::unbounded_channel();
    let (left, has_left) = oneshot::channel();

    let (kill, killed) = watch::channel(false);
    let mut dead = killed.clone();
    let traffic = {
        let (control, metrics, events) = (published.clone(), metrics.clone(), events.clone());
        let baseline = settings.baseline;
        move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(tcp) else { return };
            let traffic = Traffic::new(control, events, metrics, baseline);
            tokio::task::spawn_local(server::serve(listener, traffic.clone()));
            tokio::task::spawn_local(traffic.clone().run(orders));
            // Serves until control has left the roster, then ends what is on its way.
            tokio::select! {
                _ = has_left => {}
                () = is_killed(&mut dead) => return,
            }
            let until = Instant::now() + DRAIN_TIME;
            while traffic.running() > 0 && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // The last answers and handovers leave before the sockets close.
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };

    let member = member(&settings, address);
    let wiring =
        Wiring { udp, control, events: (events, inbox), commands, metrics: metrics.clone(), stop };
    let name = settings.host.clone();
    let mut dead = killed;
    let control = move || async move {
        tokio::select! {
            () = control::run(settings, member, wiring) => { let _ = left.send(()); }
            // The other thread must not take this for a planned stop.
            () = is_killed(&mut dead) => std::mem::forget(left),
        }
    };
    let threads = vec![
        kernel::spawn_local(&format!("{name}-control"), control)?,
        kernel::spawn_local(&format!("{name}-traffic"), traffic)?,
    ];
    Ok(Handle { address, metrics, control: published, threads, killed: kill })
}

/// Waits for [`Handle::kill`]; a handle that was merely dropped kills nothing.
async fn is_killed(dead: &mut watch::Receiver<bool>) {
    if dead.wait_for(|dead| *dead).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn member(settings: &Settings, address: SocketAddr) -> Member {
    let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = life.as_micros() as u64;
    let mut inner = member::Settings::new(&settings.host, incarnation, &settings.domain, address);
    inner.fenced = !settings.baseline;
    Member::new(inner, Instant::now())
}

fn bind(listen: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let tcp = TcpListener::bind(listen).map_err(|error| Error::bind(listen, error))?;
        let address = tcp.local_addr().map_err(|error| Error::bind(listen, error))?;
        tries += 1;
        match UdpSocket::bind(address) {
            Ok(udp) => {
                let fail = |error| Error::bind(address, error);
                tcp.set_nonblocking(true).map_err(fail)?;
                udp.set_nonblocking(true).map_err(fail)?;
                return Ok((tcp, udp));
            }
            // The next free TCP port may be free for UDP as well.
            Err(_) if listen.port() == 0 && tries < PORT_TRIES => {}
            Err(error) => return Err(Error::bind(address, error)),
        }
    }
}

impl Handle {
    /// Ends the egress at once: its sockets close and nothing is handed over, as in a crash.
    pub fn kill(&self) {
        self.killed.send_replace(true);
    }

    /// Serves health and metrics over HTTP; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn serve_admin(&self, address: SocketAddr) -> Result<()> {
        crate::admin::serve(address, self.control.clone(), self.metrics.clone()).await
    }
}
