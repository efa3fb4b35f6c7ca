//! A host is lost, and others end, stand still or stop while the directory still names it.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::client::lookup;
use crate::environment::HOST_DOMAINS;
use crate::report::Violation;
use crate::run::{Run, lock};

/// Time after which the directory must not name a lost host.
const MAX_NAMED: Duration = Duration::from_secs(7);

/// Added to that time, since one busy machine runs everything.
const NAMED_SLACK: Duration = Duration::from_millis(400);

/// Number of late answers that name the lost host and are tolerated.
const MAX_LATE_ANSWERS: usize = 3;

/// Range in milliseconds of the time between the loss and the fault of another host.
const FAULT_MS: std::ops::Range<u64> = 0..6_000;

/// Range in milliseconds of the time for which another host stands still.
const PAUSE_MS: std::ops::Range<u64> = 300..6_000;

/// Time for which the directory is observed.
const OBSERVED_TIME: Duration = Duration::from_millis(10_500);

/// Interval of the lookups.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(80);

impl Run {
    /// Kills a host and disturbs one or two others, mostly the one that registers it. Reports lookups at
    /// undisturbed hosts that name the lost host for too long.
    pub async fn lose_host(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = lock(&self.hosts).len();
        // The last hosts follow others. At least one host is not disturbed, and is asked.
        let lost = hosts - 1 - random.random_range(0..hosts.div_ceil(2));
        let registrar = lost % HOST_DOMAINS.len();
        let mut faults = Vec::new();
        for index in 0..random.random_range(1..=2_usize) {
            let host = if index == 0 { registrar } else { random.random_range(0..hosts) };
            let signals = [Signal::TERM, Signal::TERM, Signal::KILL, Signal::STOP];
            let signal = signals[random.random_range(0..signals.len())];
            let at = Duration::from_millis(random.random_range(FAULT_MS));
            let pause = Duration::from_millis(random.random_range(PAUSE_MS));
            faults.push((host, signal, at, pause));
        }
        let is_disturbed =
            |host: usize| host == lost || faults.iter().any(|(other, ..)| *other == host);
        let Some(asked) = (0..hosts).find(|host| !is_disturbed(*host)) else { return };
        // All hosts are registered, and those that start have found the hosts that they follow.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (address, directory) = {
            let mut hosts = lock(&self.hosts);
            hosts[lost].signal(Signal::KILL);
            (hosts[lost].front_address.to_string(), hosts[asked].directory)
        };
        let started = Instant::now();
        let disturb = faults.iter().map(async |(host, signal, at, pause)| {
            tokio::time::sleep(*at).await;
            lock(&self.hosts)[*host].signal(*signal);
            if *signal == Signal::STOP {
                tokio::time::sleep(*pause).await;
                lock(&self.hosts)[*host].signal(Signal::CONT);
            }
        });
        let observe = async {
            let mut late = 0;
            while started.elapsed() < OBSERVED_TIME {
                tokio::time::sleep(LOOKUP_INTERVAL).await;
                let asked_at = started.elapsed();
                let answer = lookup(directory).await;
                let names = answer.is_some_and(|answer| answer.contains(&format!("\"{address}\"")));
                late += usize::from(names && asked_at > MAX_NAMED + NAMED_SLACK);
            }
            late
        };
        let (late, _) = tokio::join!(observe, futures::future::join_all(disturb));
        if late > MAX_LATE_ANSWERS {
            let detail = format!(
                "{late} lookups at host-{asked} name host-{lost} over {MAX_NAMED:?} after its loss; {faults:?}"
            );
            lock(&self.report).add_violation(Violation::LostHostNamed, detail);
        }
        for host in (0..hosts).filter(|host| is_disturbed(*host)) {
            lock(&self.hosts)[host].signal(Signal::KILL);
            self.relaunch(host).await;
        }
    }
}
