//! Reports of crashes to the other hosts, through the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::{LeaseId, Store};
use quarantine::{STRIKE_TTL, Strike};
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// Maximum number of crashes that wait for the store; further ones are dropped. Requests that crash
/// upstreams come again, and then crash another one.
pub const MAX_WAITING: usize = 64;

/// Time for which a lease takes further reports. It saves calls, and is short compared to the TTL.
const LEASE_USE_TIME: Duration = Duration::from_secs(30);

/// Wait after a failed call. Hosts must learn of crashes within four seconds.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Minimum time between two reports, so that a lost failure domain costs few calls.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Writes reports of crashes to the store.
pub struct Reporter<S> {
    store: S,
    metrics: Arc<Metrics>,
    lease: Option<(LeaseId, Instant)>,
}

impl<S: Store> Reporter<S> {
    /// Creates a reporter without a lease.
    pub fn new(store: S, metrics: Arc<Metrics>) -> Self {
        Self { store, metrics, lease: None }
    }

    /// Writes the received reports in their order until the sender is dropped. A report whose write
    /// fails is written again, which has no further effect if the first write has reached the store.
    pub async fn run(mut self, mut reports: mpsc::Receiver<Strike>) {
        while let Some(strike) = reports.recv().await {
            while let Err(error) = self.write(strike).await {
                self.metrics.store_failures.inc();
                log::info!(error:%; "cannot write the report of a crash to the store");
                if error.is_lease_not_found() {
                    self.lease = None;
                }
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }

    async fn write(&mut self, strike: Strike) -> feed::Result<()> {
        let lease = self.lease(Instant::now()).await?;
        self.metrics.store_calls.inc();
        let (key, value) = (platform::strike_key(&strike), platform::strike_value(&strike));
        self.store.put(&key, &value, lease).await
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
