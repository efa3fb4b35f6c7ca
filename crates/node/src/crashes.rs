//! Crashes of upstreams during requests of this host, and the requests that cause them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quarantine::{AttemptId, Fingerprint, Quarantine, attempt_id};
use table::View;
use tokio::sync::mpsc;

use crate::attempt::Outgoing;
use crate::endpoint::Endpoint;
use crate::exchange::check_connection;
use crate::metrics::Metrics;
use crate::reporter::Report;

/// Time after a broken connection within which the others to a crashed upstream are closed, too.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Delay after which a crash is reported to the other hosts, unless another upstream answers the
/// request meanwhile.
const REPORT_DELAY: Duration = Duration::from_millis(230);

/// Maximum number of checks at a time, each of which may open a connection.
const MAX_CHECKS: usize = 64;

/// The requests in quarantine, as the traffic thread keeps them.
pub struct Crashes {
    quarantine: RefCell<Quarantine>,
    reports: mpsc::Sender<Report>,
    metrics: Arc<Metrics>,
    /// Number of checks that have not ended.
    checks: Cell<usize>,
}

impl Crashes {
    /// Creates an empty quarantine, whose confirmed crashes are sent to `reports`.
    pub fn new(reports: mpsc::Sender<Report>, metrics: Arc<Metrics>) -> Rc<Self> {
        Rc::new(Self { quarantine: RefCell::default(), reports, metrics, checks: Cell::new(0) })
    }

    /// Adds the crashes that all hosts have reported.
    pub fn update(&self, now: Instant, view: &View) {
        let mut quarantine = self.quarantine.borrow_mut();
        view.strikes.iter().for_each(|strike| quarantine.learn(now, *strike));
    }

    /// Finds out whether an upstream has crashed, after the connection to it broke during an attempt
    /// that was sent at `sent`.
    pub fn check_broken(
        self: &Rc<Self>,
        now: Instant,
        sent: Instant,
        outgoing: &Outgoing,
        endpoint: &Rc<Endpoint>,
    ) {
        if self.checks.get() >= MAX_CHECKS {
            log::debug!(upstream = endpoint.upstream.id; "too many checks for crashed upstreams");
            return;
        }
        let (request, attempt) = (outgoing.fingerprint, attempt_id(outgoing.call.id.as_bytes()));
        let was_probe = self.quarantine.borrow().was_probe(sent, request, attempt);
        // Other parts of a probe are not in flight, so none of them can be answered.
        let report_delay = if was_probe { Duration::ZERO } else { REPORT_DELAY };
        self.quarantine.borrow_mut().start_check(now, request, attempt);
        self.checks.set(self.checks.get() + 1);
        let (this, endpoint) = (Rc::clone(self), Rc::clone(endpoint));
        tokio::task::spawn_local(async move {
            this.check(now, report_delay, (request, attempt), &endpoint).await;
            this.quarantine.borrow_mut().end_check(request, attempt);
            this.checks.set(this.checks.get() - 1);
        });
    }

    /// Records that an upstream has answered a request.
    pub fn record_answer(&self, now: Instant, request: Fingerprint) {
        self.quarantine.borrow_mut().record_answer(now, request);
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

    /// Records a crash at `broken_at` unless the upstream is alive, and reports it after a delay
    /// unless the request is answered meanwhile.
    async fn check(
        &self,
        broken_at: Instant,
        report_delay: Duration,
        (request, attempt): (Fingerprint, AttemptId),
        endpoint: &Endpoint,
    ) {
        tokio::time::sleep(CLOSE_DELAY).await;
        // A crashed upstream refuses connections until it is restarted.
        if endpoint.connections.is_alive_since(broken_at)
            || check_connection(endpoint, &self.metrics).await
        {
            return;
        }
        if !self.quarantine.borrow_mut().record_crash(Instant::now(), request, attempt) {
            return;
        }
        tokio::time::sleep(report_delay).await;
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
        if let Err(error) = self.reports.try_send(Report { strike, delegated: false }) {
            log::warn!(error:%; "cannot report a crash to the other hosts");
        }
    }
}
