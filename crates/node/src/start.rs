//! Start of the threads of the process, and the state that they share.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use kernel::{Error, Process, Result, ShutdownSignal};
use platform::Settings;
use table::View;
use tokio::sync::{mpsc, watch};

use crate::control::Control;
use crate::front::Front;
use crate::metrics::Metrics;
use crate::reporter::MAX_WAITING;
use crate::server::{bind_datagrams, listen};

/// Maximum number of departures of upstreams that wait for the control thread. Further ones are
/// dropped, since each answer of a leaving upstream states its departure again.
const MAX_DEPARTURES: usize = 256;

/// State that the threads share.
#[derive(Clone)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Signals that the process is to stop.
    pub stop: ShutdownSignal,
    /// Whether the traffic thread has a configuration.
    pub configured: Arc<AtomicBool>,
}

/// Options of a process that are not in its settings file.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Port for metrics.
    pub metrics_port: u16,
    /// Address at which other hosts follow this one, if it differs from the listen address.
    pub advertised_peer: Option<SocketAddr>,
    /// Address for relay requests of other hosts, if it differs from the listen address.
    pub advertised_relay: Option<SocketAddr>,
}

/// Starts the control and traffic threads of a process.
///
/// # Errors
///
/// Returns an error when an address cannot be bound, the client of the store cannot be created, or
/// a thread cannot be started.
pub fn start(
    mut settings: Settings,
    options: &Options,
    process: &mut Process<kernel::Starting>,
) -> Result<()> {
    let relay = listen(settings.relay)?;
    let alerts = bind_datagrams(settings.relay)?;
    let peer = listen(settings.peer)?;
    settings.relay = options.advertised_relay.unwrap_or(settings.relay);
    settings.peer = options.advertised_peer.unwrap_or(settings.peer);
    let metrics = Arc::new(Metrics::default());
    process.registry().register("metrics", Arc::clone(&metrics));
    let shared = Shared {
        settings: Arc::new(settings),
        metrics,
        stop: process.shutdown_signal(),
        configured: Arc::default(),
    };
    let settings = &shared.settings;
    let front = listen(settings.front)?;
    let readiness = listen(settings.readiness)?;
    let directory = listen(settings.directory)?;
    let metrics =
        listen(SocketAddr::from((metrics_address(settings.front), options.metrics_port)))?;
    let store = platform::Client::new(settings.store).map_err(Error::other)?;
    let (view, views) = watch::channel(Arc::new(View::default()));
    let (confirmed, confirmations) = watch::channel(None);
    let (reports, reported) = mpsc::channel(MAX_WAITING);
    let (isolated, isolation) = watch::channel(false);
    let (departures, departed) = mpsc::channel(MAX_DEPARTURES);

    let traffic = shared.clone();
    let channels = crate::front::Channels {
        views,
        confirmed: confirmations,
        reports: reports.clone(),
        isolated,
        departures,
    };
    let thread = kernel::spawn_local("traffic", move || {
        let listeners = crate::front::Listeners { front, relay, alerts };
        Front::run(traffic, listeners, channels)
    })?;
    process.add_thread(thread);
    let control = shared.clone();
    let listeners = crate::control::Listeners { readiness, peer, directory, metrics };
    let channels = crate::control::Channels {
        view,
        confirmed,
        reports,
        reported,
        isolated: isolation,
        departures: departed,
    };
    // The control thread serves until the process ends, so the process does not wait for it.
    kernel::spawn_local("control", move || Control::run(control, store, listeners, channels))?;
    log::info!(
        host = settings.host,
        domain = settings.domain,
        front:% = settings.front,
        store:% = settings.store;
        "started"
    );
    Ok(())
}

/// Returns the address on which metrics are served: the address for callers, or loopback if that is
/// an IPv6 address.
fn metrics_address(front: SocketAddr) -> Ipv4Addr {
    match front {
        SocketAddr::V4(front) => *front.ip(),
        SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
    }
}
