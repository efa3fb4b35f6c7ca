//! Upstreams whose answers do not belong to the request that waits for one, or are none.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::Fault;

use crate::client::{Client, Route};
use crate::run::{Run, lock};

/// Service of the requests that must not run twice.
const SERVICE: &str = "single";

/// Range of the number of clients that share the two upstreams of the service.
const CLIENTS: std::ops::Range<usize> = 3..12;

/// Range of the number of slots of an upstream, and of the requests that may wait for them. Clients
/// often find them full.
const CAPACITY: std::ops::Range<usize> = 1..4;

/// Range in milliseconds of the time for which an upstream works on a request.
const WORK_MS: std::ops::Range<u64> = 4..45;

/// Range of the share of answers that are sent a second time.
const REPEATED: std::ops::Range<f64> = 0.03..0.3;

/// Range in milliseconds of the time for which answers are repeated.
const REPEATED_MS: std::ops::Range<u64> = 1_500..4_000;

/// Status lines of upstreams in trouble.
const STATUS_LINES: [&str; 20] = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 007 Seven",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Unknown",
    "HTTP/1.1 302 Found",
    "HTTP/1.1 408 Timeout",
    "HTTP/1.1 429 Too Many Requests",
    "HTTP/1.1 500 Failed",
    "HTTP/1.1 503 Unavailable",
    "HTTP/1.1 599 Odd",
    "HTTP/1.1 600 High",
    "HTTP/1.1 731 Higher",
    "HTTP/1.1 999 Highest",
    "HTTP/1.1 1000 Long",
    "HTTP/1.1 20 Short",
    "HTTP/1.1 2O0 Letters",
    "ICY 200 OK",
];

/// Status lines with which a refusal must not be believed.
const FALSE_REFUSALS: [&str; 4] =
    ["HTTP/1.1 200 OK", "HTTP/1.1 304 Same", "HTTP/1.1 600 High", "HTTP/1.1 999 Highest"];

/// Range in milliseconds of the time for which an upstream sends one status line.
const STATUS_MS: std::ops::Range<u64> = 100..900;

/// Number of status lines that upstreams send, one after the other.
const STATUS_COUNT: std::ops::Range<usize> = 4..10;

/// Slots, waiting requests and time for a request of the upstreams at other times.
const USUAL: (usize, usize, Duration) = (2, 12, Duration::from_millis(3));

impl Run {
    /// Lets busy upstreams send second copies of their answers, refusals included, each before the next
    /// answer on the connection. The history shows requests that ran twice or that were refused and ran.
    pub async fn repeat_answers(self: &Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let upstreams = {
            let environment = lock(&self.environment);
            let upstreams = environment.upstreams.iter();
            upstreams.filter(|upstream| &*upstream.service == SERVICE).cloned().collect::<Vec<_>>()
        };
        for upstream in &upstreams {
            upstream.shard.set_slots(random.random_range(CAPACITY));
            upstream.shard.set_max_waiting(random.random_range(CAPACITY) - 1);
            let work = Duration::from_millis(random.random_range(WORK_MS));
            upstream.shard.set_service_time(work);
            upstream.shard.set_repeated(random.random_range(REPEATED));
        }
        // Requests that the other upstream cannot take return to the first one.
        let other = &upstreams[random.random_range(0..upstreams.len())].shard;
        let faults = [Fault::None, Fault::Shed, Fault::Shed, Fault::RefuseFirst];
        other.set_fault(faults[random.random_range(0..faults.len())]);
        let end = Instant::now() + Duration::from_millis(random.random_range(REPEATED_MS));
        let fronts: Vec<_> = lock(&self.hosts).iter().map(|host| host.front.address()).collect();
        let clients = (0..random.random_range(CLIENTS)).map(|number| {
            let host = number % fronts.len();
            let (this, mut client) = (Arc::clone(self), Client::new(host, fronts[host]));
            tokio::spawn(async move {
                let mut exchanges = Vec::new();
                while Instant::now() < end {
                    exchanges.push(client.send(&this.next_id(), Route::NonIdempotent).await);
                }
                exchanges
            })
        });
        for client in clients.collect::<Vec<_>>() {
            match client.await {
                Ok(exchanges) => self.add_exchanges(exchanges),
                Err(error) => log::error!("a client failed: {error}"),
            }
        }
        for upstream in &upstreams {
            let (slots, max_waiting, work) = USUAL;
            upstream.shard.set_slots(slots);
            upstream.shard.set_max_waiting(max_waiting);
            upstream.shard.set_service_time(work);
            upstream.shard.set_repeated(0.0);
            upstream.shard.set_fault(Fault::None);
        }
    }

    /// Lets changing upstreams answer with any status line. The history shows answers that are none, and
    /// requests that were refused and ran.
    pub async fn send_odd_statuses(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let upstreams = lock(&self.environment).upstreams.clone();
        for _ in 0..random.random_range(STATUS_COUNT) {
            // One replica, both, or all upstreams.
            let service = &upstreams[random.random_range(0..upstreams.len())].service;
            let (of_all, of_one) = (random.random_bool(0.2), random.random_bool(0.5));
            let affected =
                upstreams.iter().filter(|upstream| of_all || upstream.service == *service);
            let affected: Vec<_> = affected.take(if of_one { 1 } else { usize::MAX }).collect();
            for upstream in &affected {
                let fault = if random.random_bool(0.2) {
                    Fault::FalseRefusal(
                        FALSE_REFUSALS[random.random_range(0..FALSE_REFUSALS.len())],
                    )
                } else {
                    Fault::StatusLine(STATUS_LINES[random.random_range(0..STATUS_LINES.len())])
                };
                upstream.shard.set_fault(fault);
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(STATUS_MS))).await;
            for upstream in affected {
                upstream.shard.set_fault(Fault::None);
            }
        }
    }
}
