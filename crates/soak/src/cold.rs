//! An upstream that restarts cold, under its id, while the store is away.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::{Impairment, StoreFault};

use crate::environment::{COLD_PER_SECOND, MAX_UPDATE_LAG};
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
        let started = Instant::now();
        upstream.shard.set_cold_for(COLD_TIME);
        upstream.shard.restart(&upstream.id);
        upstream.proxy.set(Impairment::None);
        let mut samples = vec![(started, upstream.shard.arrivals())];
        let mut is_back = false;
        while started.elapsed() < COLD_TIME {
            if !is_back && started.elapsed() > back {
                is_back = true;
                self.set_store_fault(StoreFault::None);
                let warmup_left = COLD_TIME.saturating_sub(started.elapsed());
                lock(&self.environment).register_cold(&upstream, warmup_left);
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let arrivals = upstream.shard.arrivals();
            // Requests are not limited once the upstream is warm.
            if started.elapsed() < COLD_TIME {
                samples.push((Instant::now(), arrivals));
            }
        }
        let within_second = |(first, before): &(Instant, usize)| {
            let mut window = samples.iter().filter(|(at, _)| *at < *first + Duration::from_secs(1));
            window.next_back().map_or(0, |(_, after)| after.saturating_sub(*before))
        };
        let most = samples.iter().map(within_second).max().unwrap_or(0);
        let max = (COLD_PER_SECOND * 1.5 + 5.0) as usize;
        if most > max {
            let detail = format!(
                "{most} requests in one second to {}, which restarted cold; {max} allowed; store \
                 {fault:?}, crash after {crash:?} for {down:?}, store back after {back:?}",
                upstream.id
            );
            lock(&self.report).add_violation(Violation::ColdFlood, detail);
        }
    }
}
