//! Crashes of upstreams during requests of this host, and the requests that cause them.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quarantine::{Fingerprint, Quarantine, Strike, attempt_id};
use table::View;
use tokio::sync::mpsc;

use crate::attempt::Outgoing;
use crate::endpoint::Endpoint;
use crate::metrics::Metrics;

/// Delay after which a crash is reported to the other hosts, unless the upstream turns out to be
/// alive or another one answers the request. It is shorter than the restart of an upstream.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(250);

/// The requests in quarantine, as the traffic thread keeps them.
pub struct Crashes {
    quarantine: RefCell<Quarantine>,
    reports: mpsc::Sender<Strike>,
    metrics: Arc<Metrics>,
}

impl Crashes {
    /// Creates an empty quarantine, whose confirmed crashes are sent to `reports`.
    pub fn new(reports: mpsc::Sender<Strike>, metrics: Arc<Metrics>) -> Rc<Self> {
        Rc::new(Self { quarantine: RefCell::default(), reports, metrics })
    }

    /// Adds the crashes that all hosts have reported.
    pub fn update(&self, now: Instant, view: &View) {
        let mut quarantine = self.quarantine.borrow_mut();
        view.strikes.iter().for_each(|strike| quarantine.learn(now, *strike));
    }

    /// Records that a connection to an upstream broke during an attempt.
    pub fn record_broken(
        self: &Rc<Self>,
        now: Instant,
        outgoing: &Outgoing,
        endpoint: &Rc<Endpoint>,
    ) {
        let strike = Strike {
            request: outgoing.fingerprint,
            attempt: attempt_id(outgoing.call.id.as_bytes()),
            crashes: 1,
        };
        if self.quarantine.borrow_mut().record_crash(now, strike.request, strike.attempt) {
            let confirmation = Rc::clone(self).confirm(now, strike, Rc::clone(endpoint));
            tokio::task::spawn_local(confirmation);
        }
    }

    /// Records that an upstream has answered a request.
    pub fn record_answer(&self, request: Fingerprint) {
        self.quarantine.borrow_mut().record_answer(request);
    }

    /// Returns whether a request may be the cause of a crash.
    pub fn is_suspect(&self, now: Instant, request: Fingerprint) -> bool {
        self.quarantine.borrow().is_suspect(now, request)
    }

    /// Returns until when a request is refused, or `None` if it is not.
    pub fn refused_until(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        let until = self.quarantine.borrow().refused_until(now, request)?;
        self.metrics.quarantined_requests.inc();
        Some(until)
    }

    /// Reports a crash at `crashed_at` unless the upstream is alive or the request was answered.
    async fn confirm(self: Rc<Self>, crashed_at: Instant, strike: Strike, endpoint: Rc<Endpoint>) {
        tokio::time::sleep(CONFIRMATION_DELAY).await;
        let Strike { request, attempt, .. } = strike;
        if endpoint.connections.is_alive_since(crashed_at) {
            self.quarantine.borrow_mut().retract_crash(request, attempt);
            return;
        }
        let Some(strike) = self.quarantine.borrow().strike(Instant::now(), request, attempt) else {
            return;
        };
        self.metrics.crashes.inc();
        log::info!(
            fingerprint:% = format_args!("{request:016x}"),
            upstream = endpoint.upstream.id,
            service = endpoint.upstream.service,
            crashes = strike.crashes;
            "upstream crashed during a request that was not answered"
        );
        if let Err(error) = self.reports.try_send(strike) {
            log::warn!(error:%; "cannot report a crash to the other hosts");
        }
    }
}
