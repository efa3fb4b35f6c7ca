//! Crashes of upstreams during requests of this host, and the requests that cause them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use quarantine::{AttemptId, Fingerprint, MIN_CRASHES, Quarantine, Strike, attempt_id};
use table::View;
use tokio::sync::mpsc;

use crate::alerts::Alerts;
use crate::attempt::Outgoing;
use crate::endpoint::Endpoint;
use crate::exchange::check_connection;
use crate::metrics::Metrics;
use crate::probes::Probes;
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
    alerts: Rc<Alerts>,
    reports: mpsc::Sender<Report>,
    metrics: Arc<Metrics>,
    /// Turns of the requests that may crash upstreams.
    pub probes: Probes,
    /// Number of checks that have not ended.
    checks: Cell<usize>,
}

impl Crashes {
    /// Creates an empty quarantine. Suspected requests are told to the other hosts by `alerts`, and
    /// confirmed crashes are sent to `reports`.
    pub fn new(
        alerts: Rc<Alerts>,
        reports: mpsc::Sender<Report>,
        metrics: Arc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            quarantine: RefCell::default(),
            alerts,
            reports,
            metrics,
            probes: Probes::default(),
            checks: Cell::new(0),
        })
    }

    /// Adds the crashes that all hosts have reported.
    pub fn update(&self, now: Instant, view: &View) {
        let mut quarantine = self.quarantine.borrow_mut();
        view.strikes.iter().for_each(|strike| quarantine.learn(now, *strike));
    }

    /// Replaces the hosts that are told of suspected requests.
    pub fn set_alert_receivers(&self, receivers: Vec<SocketAddr>) {
        self.alerts.set_receivers(receivers);
    }

    /// Adds a suspicion that another host has told.
    pub fn suspect(&self, now: Instant, strike: Strike) {
        if self.quarantine.borrow_mut().suspect(now, strike) {
            self.metrics.suspicions.inc();
        }
    }

    /// Returns since when a request has been suspected, or `None` if it is not or if its crashes are
    /// certain.
    pub fn suspected_since(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        self.quarantine.borrow().suspected_since(now, request)
    }

    /// Returns why a request may be the cause of a crash.
    pub fn evidence(&self, now: Instant, request: Fingerprint) -> Vec<Strike> {
        self.quarantine.borrow().evidence(now, request)
    }

    /// Has all hosts refuse a suspected request for some seconds, because upstreams in several failure
    /// domains have failed during the attempt `id` of a caller, and none has answered it.
    pub fn accuse(&self, now: Instant, request: Fingerprint, id: &HeaderValue) {
        if !self.is_suspect(now, request) {
            return;
        }
        log::info!(
            request = id.to_str().unwrap_or_default(),
            fingerprint:% = format_args!("{request:016x}");
            "query failed at upstreams of several failure domains; refusing it for some seconds"
        );
        let attempt = attempt_id(id.as_bytes());
        self.tell(now, Strike { request, attempt, crashes: MIN_CRASHES });
    }

    /// Suspects a request and tells the other hosts, unless that is known.
    fn tell(&self, now: Instant, strike: Strike) {
        if self.quarantine.borrow_mut().suspect(now, strike) {
            self.alerts.send(now, strike);
        }
    }

    /// Finds out whether an upstream has crashed, after the connection to it broke during an attempt
    /// that was sent at `sent`. The request is suspected meanwhile.
    pub fn check_broken(
        self: &Rc<Self>,
        now: Instant,
        sent: Instant,
        outgoing: &Outgoing,
        endpoint: &Rc<Endpoint>,
    ) {
        let (request, attempt) = (outgoing.fingerprint, attempt_id(outgoing.call.id.as_bytes()));
        self.tell(now, Strike { request, attempt, crashes: 0 });
        if self.checks.get() >= MAX_CHECKS {
            log::debug!(upstream = endpoint.upstream.id; "too many checks for crashed upstreams");
            return;
        }
        let turn = outgoing.turn();
        let was_probe =
            turn.is_some() || self.quarantine.borrow().was_probe(sent, request, attempt);
        // Other parts of a probe are not in flight, so none of them can be answered.
        let report_delay = if was_probe { Duration::ZERO } else { REPORT_DELAY };
        self.quarantine.borrow_mut().start_check(now, request, attempt);
        self.checks.set(self.checks.get() + 1);
        let (this, endpoint) = (Rc::clone(self), Rc::clone(endpoint));
        tokio::task::spawn_local(async move {
            this.check(now, report_delay, (request, attempt), &endpoint).await;
            this.quarantine.borrow_mut().end_check(request, attempt);
            drop(turn);
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
        if endpoint.connections.is_alive_since(broken_at) {
            return;
        }
        endpoint.record_loss();
        // A crashed upstream refuses connections until it is restarted.
        if check_connection(endpoint, &self.metrics).await {
            return;
        }
        let now = Instant::now();
        if !self.quarantine.borrow_mut().record_crash(now, request, attempt) {
            return;
        }
        let strike = self.quarantine.borrow().strike(now, request, attempt);
        if let Some(strike) = strike {
            self.tell(now, strike);
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
