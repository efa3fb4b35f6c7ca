//! Upstreams that restart cold, under their ids: while the store is away, all at once, or so soon that
//! hosts without a request in flight do not notice.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::{Impairment, StoreFault};

use crate::environment::{COLD_PER_SECOND, MAX_UPDATE_LAG, Upstream};
use crate::report::Violation;
use crate::run::{Run, lock};

/// Time for which the upstream is cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Range in milliseconds of the time between the beginning of the outage and the crash.
const CRASH_MS: std::ops::Range<u64> = 0..1_500;

/// Range in milliseconds of the time for which the upstream is down.
const DOWN_MS: std::ops::Range<u64> = 200..1_500;

/// Range in milliseconds of the time between the restart and the end of the outage.
const RETURN_MS: std::ops::Range<u64> = 100..3_000;

/// Range in milliseconds of the time for which upstreams are down that all fail together.
const ALL_DOWN_MS: std::ops::Range<u64> = 300..4_500;

/// Range in milliseconds of the time within which such upstreams return one after the other.
const RETURN_SPREAD_MS: std::ops::Range<u64> = 1..1_500;

/// Range in milliseconds of the time for which an upstream is down that its supervisor starts again at
/// once.
const QUICK_DOWN_MS: std::ops::Range<u64> = 10..300;

/// Range in milliseconds of the time between a restart and the new entry in the store.
const ENTRY_MS: std::ops::Range<u64> = 50..1_200;

/// Numbers of requests per second that configurations allow for a cold upstream.
const COLD_RATES: [f64; 3] = [0.0, 0.0, COLD_PER_SECOND];

/// Maximum number of upstreams that restart quickly at a time.
const MAX_QUICK: usize = 4;

/// Time within which the connections of a crashed upstream are closed.
const CLOSE_TIME: Duration = Duration::from_millis(5);

/// Interval at which the requests to the upstream are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

impl Run {
    /// Lets an upstream crash and restart cold during an outage of the store, and reports more requests
    /// than a cold upstream bears.
    pub async fn restart_cold(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let faults = [StoreFault::Busy, StoreFault::Silent];
        let fault = faults[random.random_range(0..faults.len())];
        let mut wait = |range| Duration::from_millis(random.random_range(range));
        let (crash, down, back) = (wait(CRASH_MS), wait(DOWN_MS), wait(RETURN_MS));
        let upstream = lock(&self.environment).upstream(0).clone();
        // Hosts that have read no entry of the upstream do not use it during the outage.
        tokio::time::sleep(MAX_UPDATE_LAG).await;
        self.set_store_fault(fault);
        tokio::time::sleep(crash).await;
        upstream.shard.crash();
        upstream.proxy.set(Impairment::Cut);
        tokio::time::sleep(down).await;
        let register = |warmup_left| {
            self.set_store_fault(StoreFault::None);
            lock(&self.environment).register_cold(&upstream, warmup_left);
        };
        let samples = start_cold(&upstream, back, register).await;
        self.check_cold(
            &upstream,
            &samples,
            &format!(
                "store {fault:?}, crash after {crash:?} for {down:?}, store back after {back:?}"
            ),
        );
    }

    /// Lets all upstreams fail together and come back cold one after the other, and reports more requests
    /// than a cold upstream bears.
    pub async fn restart_all_cold(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let upstreams = lock(&self.environment).upstreams.clone();
        let down = random.random_range(ALL_DOWN_MS);
        let spread = random.random_range(RETURN_SPREAD_MS);
        self.set_cold_rate(COLD_RATES[random.random_range(0..COLD_RATES.len())]).await;
        let restarts = upstreams.iter().map(|upstream| {
            let down = Duration::from_millis(down + random.random_range(0..spread));
            self.restart_one_cold(upstream, down, random.random_range(ENTRY_MS))
        });
        futures::future::join_all(restarts.collect::<Vec<_>>()).await;
        self.set_cold_rate(COLD_PER_SECOND).await;
    }

    /// Writes a configuration that allows this number of requests per second for a cold upstream, and
    /// waits until it is in force.
    async fn set_cold_rate(&self, rate: f64) {
        {
            let mut environment = lock(&self.environment);
            environment.cold_per_second = rate;
            environment.configure();
        }
        tokio::time::sleep(MAX_UPDATE_LAG).await;
    }

    /// Lets some upstreams restart so soon that only hosts with a request in flight there can notice, and
    /// reports more requests than a cold upstream bears.
    pub async fn restart_quickly(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        self.set_cold_rate(COLD_RATES[random.random_range(0..COLD_RATES.len())]).await;
        let restarts = (0..random.random_range(1..=MAX_QUICK)).map(|index| {
            // Different upstreams, so that none is crashed again while it is observed.
            let target = index + random.random_range(0..2) * MAX_QUICK;
            let upstream = lock(&self.environment).upstreams[target].clone();
            let down = Duration::from_millis(random.random_range(QUICK_DOWN_MS));
            let entry = random.random_range(ENTRY_MS);
            let delay = Duration::from_millis(random.random_range(0..1_000));
            async move {
                tokio::time::sleep(delay).await;
                self.restart_one_cold(&upstream, down, entry).await;
            }
        });
        futures::future::join_all(restarts.collect::<Vec<_>>()).await;
        self.set_cold_rate(COLD_PER_SECOND).await;
    }

    /// Crashes an upstream, starts it again after `down`, and writes its entry `entry_ms` later. Reports
    /// more requests than it bears while it is cold.
    async fn restart_one_cold(&self, upstream: &Upstream, down: Duration, entry_ms: u64) {
        upstream.shard.crash();
        // A crash closes all connections. The proxy would keep those open on which it holds back data.
        upstream.proxy.set(Impairment::Reset);
        tokio::time::sleep(CLOSE_TIME).await;
        upstream.proxy.set(Impairment::Cut);
        tokio::time::sleep(down.saturating_sub(CLOSE_TIME)).await;
        let register = |warmup_left| lock(&self.environment).register_cold(upstream, warmup_left);
        let samples = start_cold(upstream, Duration::from_millis(entry_ms), register).await;
        let detail = format!("down for {down:?}, entry after {entry_ms} ms");
        self.check_cold(upstream, &samples, &detail);
    }

    /// Reports more requests within a second than a cold upstream bears, given the number of requests at
    /// some times.
    fn check_cold(&self, upstream: &Upstream, samples: &[(Instant, usize)], detail: &str) {
        let within_second = |(first, before): &(Instant, usize)| {
            let mut window = samples.iter().filter(|(at, _)| *at < *first + Duration::from_secs(1));
            window.next_back().map_or(0, |(_, after)| after.saturating_sub(*before))
        };
        let most = samples.iter().map(within_second).max().unwrap_or(0);
        let max = (lock(&self.environment).cold_per_second * 1.5 + 5.0) as usize;
        if most > max {
            let detail = format!(
                "{most} requests in one second to {}, which restarted cold; {max} allowed; {detail}",
                upstream.id
            );
            lock(&self.report).add_violation(Violation::ColdFlood, detail);
        }
    }
}

/// Starts a crashed upstream again, cold, and calls `register` with the rest of the cold time once
/// `entry_delay` has passed. Returns the number of requests to it at some times while it is cold.
async fn start_cold(
    upstream: &Upstream,
    entry_delay: Duration,
    register: impl FnOnce(Duration),
) -> Vec<(Instant, usize)> {
    let started = Instant::now();
    upstream.shard.set_cold_for(COLD_TIME);
    upstream.shard.restart(&upstream.id);
    upstream.proxy.set(Impairment::None);
    let mut samples = vec![(started, upstream.shard.arrivals())];
    let mut register = Some(register);
    while started.elapsed() < COLD_TIME {
        if started.elapsed() > entry_delay
            && let Some(register) = register.take()
        {
            register(COLD_TIME.saturating_sub(started.elapsed()));
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let arrivals = upstream.shard.arrivals();
        // Requests are not limited once the upstream is warm.
        if started.elapsed() < COLD_TIME {
            samples.push((Instant::now(), arrivals));
        }
    }
    samples
}
