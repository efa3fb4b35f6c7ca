//! Starts the threads of a broker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize};
use std::thread::JoinHandle;
use std::time::Duration;

use kernel::{Error, Result, ShutdownSignal};
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control::{self, Context};
use crate::engine::Engine;
use crate::http::{self, Front};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::ControlState;

/// Time for which the HTTP server waits during the shutdown for answers in flight. Deadlines of
/// requests are shorter.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A running broker.
pub struct Handle {
    /// Address for callers.
    pub address: SocketAddr,
    /// Metrics of the broker.
    pub metrics: Metrics,
    /// Control state, as last published by the control thread.
    pub state: watch::Receiver<Arc<ControlState>>,
    /// Threads of the broker, which end after the shutdown signal.
    pub threads: Vec<JoinHandle<()>>,
}

/// Starts a broker that runs until `shutdown` is set, and returns the handle of the broker.
///
/// The HTTP server runs on the current Tokio runtime.
///
/// # Errors
///
/// Fails if the address cannot be bound or a thread cannot be started.
pub async fn start(settings: Settings, shutdown: ShutdownSignal) -> Result<Handle> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(|error| Error::bind(settings.listen, error))?;
    let address = listener.local_addr().map_err(|error| Error::bind(settings.listen, error))?;
    let acceptor = TcpAcceptor::try_from(listener).map_err(|e| Error::bind(address, e))?;

    let metrics = Metrics::default();
    let in_flight = Arc::new(AtomicU32::new(0));
    let (publish, state) = watch::channel(Arc::<ControlState>::default());
    let mut threads = Vec::new();
    let mut engines = Vec::new();
    for number in 0..settings.threads {
        let (jobs, inbox) = mpsc::unbounded_channel();
        let (state, metrics, baseline) = (state.clone(), metrics.clone(), settings.baseline);
        let name = format!("{}-traffic-{number}", settings.host);
        let run = move || async move { Engine::new(state, metrics, baseline).run(inbox).await };
        threads.push(kernel::spawn_local(&name, run)?);
        engines.push(jobs);
    }

    let front = Arc::new(Front {
        domain: settings.domain.clone(),
        state: state.clone(),
        engines,
        next: AtomicUsize::new(0),
        in_flight: in_flight.clone(),
        metrics: metrics.clone(),
    });
    let server = Server::new(acceptor);
    let server_handle = server.handle();
    tokio::spawn(server.serve(http::service(&front)));

    let (control_ended, ended) = oneshot::channel();
    tokio::spawn(async move {
        let _ = ended.await;
        server_handle.stop_graceful(DRAIN_TIMEOUT);
    });
    let context =
        Context { address, state: publish, in_flight, metrics: metrics.clone(), shutdown };
    let name = format!("{}-control", settings.host);
    let run = move || async move {
        control::run(settings, context).await;
        let _ = control_ended.send(());
    };
    threads.push(kernel::spawn_local(&name, run)?);
    Ok(Handle { address, metrics, state, threads })
}
