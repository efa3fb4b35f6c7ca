//! Reports of crashes to the other hosts, through the store.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::{Era, LeaseId, Position, Store};
use quarantine::{STRIKE_TTL, Strike};
use rand::seq::IteratorRandom;
use table::View;
use tokio::sync::{mpsc, watch};

use crate::follow;
use crate::metrics::Metrics;

/// Maximum number of crashes that wait for the store; further ones are dropped. Requests that crash
/// upstreams come again, and then crash another one.
pub const MAX_WAITING: usize = 64;

/// Maximum number of written reports that are remembered, the latest ones.
const MAX_WRITTEN: usize = 256;

/// Time for which a lease takes further reports. It saves calls, and is short compared to the TTL.
const LEASE_USE_TIME: Duration = Duration::from_secs(30);

/// Wait after a failed call. Hosts must learn of crashes within four seconds.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Minimum time between two reports, so that a lost failure domain costs few calls.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Number of other hosts that are asked to write a report when this host cannot.
const HELPERS: usize = 2;

/// A crash that is to be written to the store.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The crash.
    pub strike: Strike,
    /// Whether another host, which could not write to the store, has sent the report. It is not sent
    /// on to a third one.
    pub delegated: bool,
}

/// Writes reports of crashes to the store.
pub struct Reporter<S> {
    store: S,
    metrics: Arc<Metrics>,
    /// Address of this host at which other hosts follow it.
    own: SocketAddr,
    views: watch::Receiver<Arc<View>>,
    /// Position of this host's copy of the store.
    positions: watch::Receiver<Position>,
    http: reqwest::Client,
    lease: Option<(LeaseId, Instant)>,
    /// Era of the store in which `lease` was granted and `written` is stored.
    era: Era,
    /// Reports that were written, and when. A store that comes back from an older copy may have lost
    /// them.
    written: VecDeque<(Instant, Strike)>,
}

impl<S: Store> Reporter<S> {
    /// Creates a reporter without a lease. If the store cannot be reached, it asks other hosts of the
    /// view to write a report; `own` is the address at which they follow this host.
    pub fn new(
        store: S,
        metrics: Arc<Metrics>,
        own: SocketAddr,
        views: watch::Receiver<Arc<View>>,
        positions: watch::Receiver<Position>,
        http: reqwest::Client,
    ) -> Self {
        let era = positions.borrow().era;
        let written = VecDeque::new();
        Self { store, metrics, own, views, positions, http, lease: None, era, written }
    }

    /// Writes the received reports in their order until the sender is dropped. A report whose write
    /// fails is written again, which has no further effect if the first write has reached the store.
    pub async fn run(mut self, mut reports: mpsc::Receiver<Report>) {
        loop {
            tokio::select! {
                report = reports.recv() => match report {
                    Some(report) => self.process(report).await,
                    None => return,
                },
                Ok(()) = self.positions.changed() => {}
            }
            self.check_era(Instant::now()).await;
        }
    }

    /// Writes a report, or hands it over to another host that does.
    async fn process(&mut self, report: Report) {
        let Report { strike, delegated } = report;
        while let Err(error) = self.write(strike).await {
            self.metrics.store_failures.inc();
            log::info!(error:%; "cannot write the report of a crash to the store");
            if error.is_lease_not_found() {
                self.lease = None;
            } else if !delegated && self.delegate(&strike).await {
                break;
            }
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }

    /// Writes the reports again if a new era of the store has begun.
    async fn check_era(&mut self, now: Instant) {
        let era = self.positions.borrow_and_update().era;
        let before = std::mem::replace(&mut self.era, era);
        if before == era || before == 0 {
            return;
        }
        self.lease = None;
        for (written_at, strike) in std::mem::take(&mut self.written) {
            if now < written_at + STRIKE_TTL {
                log::info!(era; "writing the report of a crash again to the restored store");
                self.process(Report { strike, delegated: false }).await;
            }
        }
    }

    async fn write(&mut self, strike: Strike) -> feed::Result<()> {
        let lease = self.lease(Instant::now()).await?;
        self.metrics.store_calls.inc();
        let (key, value) = (platform::strike_key(&strike), platform::strike_value(&strike));
        self.store.put(&key, &value, lease).await?;
        self.written.push_back((Instant::now(), strike));
        if self.written.len() > MAX_WRITTEN {
            self.written.pop_front();
        }
        Ok(())
    }

    /// Asks some other hosts to write a report, because they may reach the store. Returns whether one
    /// of them accepted it.
    async fn delegate(&self, strike: &Strike) -> bool {
        let helpers = {
            let view = self.views.borrow();
            let others = view.hosts.values().map(|host| host.peer).filter(|peer| *peer != self.own);
            others.sample(&mut rand::rng(), HELPERS)
        };
        let calls = helpers.into_iter().map(async |address| {
            let result = follow::report(&self.http, address, strike).await;
            if let Err(error) = &result {
                log::info!(host:% = address, error:%; "cannot report a crash to another host");
            }
            result.is_ok()
        });
        futures::future::join_all(calls).await.contains(&true)
    }

    /// Returns a lease that was granted recently.
    async fn lease(&mut self, now: Instant) -> feed::Result<LeaseId> {
        if let Some((lease, _)) = self.lease.filter(|(_, until)| now < *until) {
            return Ok(lease);
        }
        self.metrics.store_calls.inc();
        let lease = self.store.grant(STRIKE_TTL).await?;
        self.lease = Some((lease, now + LEASE_USE_TIME));
        Ok(lease)
    }
}
