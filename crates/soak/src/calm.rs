//! Changes that are made while no other fault is injected, so that the limits on their effects can
//! be checked.

use std::time::{Duration, Instant};

use standin::Impairment;

use crate::client::{CRASHING, Client, Route};
use crate::environment::{MAX_UPDATE_LAG, UPSTREAM_DOMAINS, Upstream};
use crate::report::Violation;
use crate::run::{Run, SCHEDULING_SLACK, UNDISTURBED_WINDOW, lock};

/// Rate limit that an upstream states, in requests per second.
const RATE_LIMIT: f64 = 5.0;

/// Time that hosts have to apply a rate limit.
const RATE_LIMIT_REACTION: Duration = Duration::from_millis(500);

/// Time for which a rate limit is observed. It is longer than drains and evacuations, so that it
/// includes the return of the upstream.
const RATE_LIMIT_DURATION: Duration = Duration::from_secs(8);

/// Time in which the requests to an upstream with a rate limit are counted.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Number of crashes from which a request must no longer be sent, and number of times that it may be
/// sent nevertheless after [`CRASH_REACTION`].
const MAX_CRASHES: usize = 3;

/// Time that hosts have to tell each other of crashes.
const CRASH_REACTION: Duration = Duration::from_secs(4);

/// Time for which a request that crashes upstreams is repeated.
const CRASH_DURATION: Duration = Duration::from_secs(9);

/// Time after which a crashed upstream is back.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(800);

impl Run {
    /// Waits until the time limits are checked on all hosts, which is rarely the case while faults
    /// overlap, and then writes a configuration, drains an upstream and evacuates a failure domain,
    /// while another upstream states a rate limit.
    pub async fn change_undisturbed(&self, target: usize) {
        tokio::time::sleep(UNDISTURBED_WINDOW + SCHEDULING_SLACK).await;
        lock(&self.environment).configure();
        tokio::join!(self.drain(target), self.evacuate(target + 1), self.limit_rate(target + 2));
        self.crash_upstreams().await;
    }

    /// Sets an upstream to draining, checks that it gets no more requests once the change must have
    /// taken effect, and sets it back to ready.
    pub async fn drain(&self, target: usize) {
        let ids = {
            let environment = lock(&self.environment);
            let upstream = environment.upstream(target);
            environment.register(upstream, "draining");
            vec![upstream.id.clone()]
        };
        self.expect_no_requests(&ids, "draining").await;
        let environment = lock(&self.environment);
        environment.register(environment.upstream(target), "ready");
    }

    /// Evacuates a failure domain, checks that its upstreams get no more requests once the change
    /// must have taken effect, and ends the evacuation.
    pub async fn evacuate(&self, target: usize) {
        let domain = UPSTREAM_DOMAINS[target % UPSTREAM_DOMAINS.len()];
        let key = format!("op/evacuate/{domain}");
        let ids: Vec<Box<str>> = {
            let environment = lock(&self.environment);
            environment.store.put(&key, b"{}");
            let evacuated =
                environment.upstreams.iter().filter(|upstream| upstream.domain == domain);
            evacuated.map(|upstream| upstream.id.clone()).collect()
        };
        self.expect_no_requests(&ids, "evacuated").await;
        lock(&self.environment).store.remove(&key);
    }

    /// Repeats a request that crashes upstreams at all hosts in turn, and reports a violation if it is
    /// sent on too often. The check is skipped like that of [`expect_no_requests`].
    ///
    /// [`expect_no_requests`]: Self::expect_no_requests
    async fn crash_upstreams(&self) {
        let upstreams = lock(&self.environment).upstreams.clone();
        for upstream in &upstreams {
            upstream.shard.set_crash_on(CRASHING);
        }
        let crashes = || upstreams.iter().map(|upstream| upstream.shard.crashes()).sum::<usize>();
        let restarts = upstreams.iter().map(restart_after_crashes);
        let fronts: Vec<_> = lock(&self.hosts).iter().map(|host| host.front.address()).collect();
        let started = Instant::now();
        let mut reaction_end = None;
        let mut before = 0;
        let requests = async {
            for (host, front) in fronts.iter().enumerate().cycle() {
                if started.elapsed() > CRASH_DURATION {
                    break;
                }
                Client::new(host, *front).send(&self.next_id(), Route::Crashing).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                let crashes = crashes();
                if crashes >= MAX_CRASHES && reaction_end.is_none() {
                    reaction_end = Some(Instant::now() + CRASH_REACTION + SCHEDULING_SLACK);
                }
                if reaction_end.is_none_or(|end| Instant::now() < end) {
                    before = crashes;
                }
            }
        };
        tokio::select! {
            () = requests => {}
            _ = futures::future::join_all(restarts) => {}
        }
        upstreams.iter().for_each(restart);
        let later = crashes() - before;
        if self.was_undisturbed(started) && later > MAX_CRASHES {
            let detail = format!("{later} crashes after the first {before}");
            lock(&self.report).add_violation(Violation::CrashRepeated, detail);
        }
    }

    /// Waits until the last change must have taken effect, and then reports a violation if the
    /// upstreams get requests within one second. The check is skipped if a host or the store was
    /// disturbed shortly before the change or since.
    async fn expect_no_requests(&self, ids: &[Box<str>], state: &str) {
        let written = Instant::now();
        tokio::time::sleep(MAX_UPDATE_LAG + SCHEDULING_SLACK).await;
        let before = self.arrivals(ids);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = self.arrivals(ids);
        if self.was_undisturbed(written) && after != before {
            let detail = format!("{} requests to {ids:?}, which are {state}", after - before);
            lock(&self.report).add_violation(Violation::LateWork, detail);
        }
    }

    /// Makes an upstream state a rate limit, and reports a violation if it gets more requests than
    /// that allows. The check is skipped like that of [`expect_no_requests`].
    ///
    /// [`expect_no_requests`]: Self::expect_no_requests
    async fn limit_rate(&self, target: usize) {
        let shard = lock(&self.environment).upstream(target).shard.clone();
        let stated = Instant::now();
        shard.set_rate_limit(Some(RATE_LIMIT));
        tokio::time::sleep(RATE_LIMIT_REACTION + SCHEDULING_SLACK).await;
        let mut samples = vec![(Instant::now(), shard.arrivals())];
        while stated.elapsed() < RATE_LIMIT_DURATION {
            tokio::time::sleep(Duration::from_millis(100)).await;
            samples.push((Instant::now(), shard.arrivals()));
        }
        shard.set_rate_limit(None);
        let max = (RATE_LIMIT * 1.5 * RATE_LIMIT_WINDOW.as_secs_f64()) as usize + 5;
        let busiest = samples.iter().map(|(start, before)| {
            let mut window = samples.iter().filter(|(at, _)| *at < *start + RATE_LIMIT_WINDOW);
            window.next_back().map_or(0, |(_, after)| after.saturating_sub(*before))
        });
        let busiest = busiest.max().unwrap_or(0);
        if self.was_undisturbed(stated) && busiest > max {
            let detail = format!("{busiest} requests in 4 s, {max} allowed");
            lock(&self.report).add_violation(Violation::RateLimitExceeded, detail);
        }
    }
}

/// Starts an upstream again after each of its crashes. While it is down, the proxy before it refuses
/// connections as the upstream itself does.
async fn restart_after_crashes(upstream: &Upstream) {
    let mut crashes = upstream.shard.crashes();
    loop {
        tokio::time::sleep(Duration::from_millis(2)).await;
        if upstream.shard.crashes() != crashes {
            crashes = upstream.shard.crashes();
            upstream.proxy.set(Impairment::Cut);
            tokio::time::sleep(CRASH_DOWN_TIME).await;
            restart(upstream);
        }
    }
}

/// Starts an upstream again, and lets the proxy before it accept connections.
fn restart(upstream: &Upstream) {
    upstream.shard.restart(&upstream.id);
    upstream.proxy.set(Impairment::None);
}
