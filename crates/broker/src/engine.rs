//! The engine of a traffic thread, which runs searches according to the control state.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use limit::Window;
use query::{Outcome, Policy, Service};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

use crate::connections::Connections;
use crate::metrics::Metrics;
use crate::request::Request;
use crate::search;
use crate::state::ControlState;

/// A search to be run by a traffic thread: the request, and where to send the outcome.
pub(crate) struct SearchJob {
    pub(crate) request: Request,
    pub(crate) received: std::time::Instant,
    pub(crate) reply: oneshot::Sender<Outcome>,
}

/// State that one traffic thread keeps of one service.
pub(crate) struct ServiceState {
    pub(crate) service: Service,
    pub(crate) window: Window,
}

/// State of one traffic thread.
pub(crate) struct Engine {
    pub(crate) state: watch::Receiver<Arc<ControlState>>,
    pub(crate) connections: Connections,
    pub(crate) metrics: Metrics,
    pub(crate) baseline: bool,
    services: RefCell<BTreeMap<Box<str>, Rc<RefCell<ServiceState>>>>,
}

impl Engine {
    pub(crate) fn new(
        state: watch::Receiver<Arc<ControlState>>,
        metrics: Metrics,
        baseline: bool,
    ) -> Rc<Self> {
        let connections = Connections::default();
        Rc::new(Self { state, connections, metrics, baseline, services: RefCell::default() })
    }

    /// Runs jobs until every sender of jobs has been dropped.
    pub(crate) async fn run(self: Rc<Self>, mut jobs: mpsc::UnboundedReceiver<SearchJob>) {
        let mut state = self.state.clone();
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Some(job) => _ = spawn_local(search::run(self.clone(), job)),
                    None => return,
                },
                changed = state.changed() => {
                    if changed.is_err() {
                        // The control thread ends before the HTTP server, which still sends jobs.
                        while let Some(job) = jobs.recv().await {
                            spawn_local(search::run(self.clone(), job));
                        }
                        return;
                    }
                    self.apply_state();
                }
            }
        }
    }

    /// Returns the state of a service, which is created on first use.
    pub(crate) fn service_state(&self, service: &str) -> Rc<RefCell<ServiceState>> {
        let mut services = self.services.borrow_mut();
        let new = || {
            let policy = if self.baseline { Policy::baseline() } else { Policy::default() };
            let state = ServiceState { service: Service::new(policy), window: Window::default() };
            Rc::new(RefCell::new(state))
        };
        services.entry(service.into()).or_insert_with(new).clone()
    }

    /// Passes the latest control state on to the connections and services.
    fn apply_state(&self) {
        let state = self.state.borrow().clone();
        let owners = state.candidates.values().flatten().map(|c| c.owner.clone());
        let owners = owners.filter_map(|owner| owner.parse::<SocketAddr>().ok());
        let mut addresses: Vec<_> = state.egresses.values().copied().chain(owners).collect();
        addresses.sort();
        addresses.dedup();
        self.connections.set_addresses(&addresses);
        for service in state.rules.services.keys() {
            let candidates = state.candidates.get(service).cloned().unwrap_or_default();
            self.service_state(service).borrow_mut().service.set_candidates(candidates);
        }
    }
}
