//! Graceful shutdown of a host while clients open connections and keep using open ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::client::{Client, Exchange, Route};
use crate::environment::LONG_SERVICE;
use crate::host::SHUTDOWN_GRACE;
use crate::report::Violation;
use crate::run::{Run, lock};

/// Time without an answer from which a request that was not passed on counts as lost if its
/// connection ends. Operators allow 200 ms; the rest is for a busy machine.
const LOSS_SLACK: Duration = Duration::from_millis(500);

/// Interval at which clients open connections.
const OPEN_INTERVAL: Duration = Duration::from_millis(12);

/// Number of clients that keep their connections.
const KEPT_CONNECTIONS: usize = 12;

/// Probability that a signal or a configuration follows within one [`OPEN_INTERVAL`] of the shutdown.
const CHANGE_PROBABILITY: f64 = 0.02;

/// Range in milliseconds of the time that upstreams need for a request. All are long compared with the
/// grace period.
const WORK_MS: std::ops::Range<u64> = 1_200..2_600;

impl Run {
    /// Shuts a host down gracefully and starts it again. Until the process is gone, clients send it
    /// long requests, on connections that they keep and on connections opened at every moment of the
    /// shutdown, and more signals and configurations follow. Reports the requests that were lost.
    pub async fn stop_host(self: &Arc<Self>, seed: u64, target: usize) {
        let mut random = StdRng::seed_from_u64(seed);
        let work = Duration::from_millis(random.random_range(WORK_MS));
        self.set_long_work(work);
        let (host, front) = {
            let hosts = lock(&self.hosts);
            (target % hosts.len(), hosts[target % hosts.len()].front.address())
        };
        let gone = Arc::new(AtomicBool::new(false));
        let mut clients: Vec<_> = (0..KEPT_CONNECTIONS)
            .map(|_| {
                let pause = Duration::from_millis(random.random_range(10..900));
                let client = Client::new(host, front);
                tokio::spawn(Arc::clone(self).keep_sending(client, pause, Arc::clone(&gone)))
            })
            .collect();
        let term_at = Instant::now() + Duration::from_millis(random.random_range(100..900));
        let mut terminated = None;
        while !lock(&self.hosts)[host].has_exited() {
            if terminated.is_none() && Instant::now() >= term_at {
                lock(&self.hosts)[host].signal(Signal::TERM);
                terminated = Some(Instant::now());
            }
            if terminated.is_some() && random.random_bool(CHANGE_PROBABILITY) {
                match random.random_range(0..3) {
                    0 => lock(&self.hosts)[host].signal(Signal::HUP),
                    1 => lock(&self.hosts)[host].signal(Signal::TERM),
                    _ => lock(&self.environment).configure(),
                }
            }
            let (this, mut client) = (Arc::clone(self), Client::new(host, front));
            clients.push(tokio::spawn(async move {
                vec![client.send(&this.next_id(), Route::Long).await]
            }));
            tokio::time::sleep(OPEN_INTERVAL).await;
        }
        gone.store(true, Ordering::Relaxed);
        self.relaunch(host).await;
        let mut exchanges = Vec::new();
        for client in clients {
            match client.await {
                Ok(sent) => exchanges.extend(sent),
                Err(error) => log::error!("a client of {front} failed: {error}"),
            }
        }
        if let Some(terminated) = terminated {
            for exchange in &exchanges {
                self.check_shutdown(exchange, terminated, work);
            }
        }
        self.add_exchanges(exchanges);
        self.set_long_work(Duration::from_millis(3));
    }

    /// Sends requests on one connection, with pauses, until the process is gone.
    async fn keep_sending(
        self: Arc<Self>,
        mut client: Client,
        pause: Duration,
        gone: Arc<AtomicBool>,
    ) -> Vec<Exchange> {
        let mut exchanges = Vec::new();
        while !gone.load(Ordering::Relaxed) {
            exchanges.push(client.send(&self.next_id(), Route::Long).await);
            tokio::time::sleep(pause).await;
        }
        exchanges
    }

    /// Reports a request that ended without an answer although it was passed on or had been waiting.
    /// One that was sent early in the shutdown is excused if its upstream was at work on it in the
    /// last sixth of the grace period.
    fn check_shutdown(&self, exchange: &Exchange, terminated: Instant, work: Duration) {
        if !exchange.is_unanswered() {
            return;
        }
        let after = exchange.sent.saturating_duration_since(terminated);
        let last_sixth = terminated + SHUTDOWN_GRACE * 5 / 6;
        if after <= SHUTDOWN_GRACE / 2 && exchange.sent + work >= last_sixth {
            return;
        }
        let waited = exchange.ended - exchange.sent;
        let has_run = self.has_run(&exchange.id);
        if has_run || waited > LOSS_SLACK {
            let detail = format!(
                "{} sent {after:?} after SIGTERM, ended {waited:?} later, work {work:?}, run: {has_run}",
                exchange.id
            );
            lock(&self.report).add_violation(Violation::LostRequest, detail);
        }
    }

    /// Returns whether an upstream has begun to run the request with this id.
    fn has_run(&self, id: &str) -> bool {
        let environment = lock(&self.environment);
        environment.upstreams.iter().any(|upstream| upstream.shard.has_run(id))
    }

    fn set_long_work(&self, work: Duration) {
        let environment = lock(&self.environment);
        let long =
            environment.upstreams.iter().filter(|upstream| &*upstream.service == LONG_SERVICE);
        long.for_each(|upstream| upstream.shard.set_service_time(work));
    }
}
