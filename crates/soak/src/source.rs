//! A host that others follow loses the store while an upstream leaves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::Impairment;

use crate::environment::{HOST_DOMAINS, MAX_UPDATE_LAG};
use crate::report::Violation;
use crate::run::{Run, lock};

/// Added to the time limit of the removal, since one busy machine runs everything.
const REMOVAL_SLACK: Duration = Duration::from_millis(400);

/// Time for which late requests are looked for.
const OBSERVED_TIME: Duration = Duration::from_millis(1_500);

/// Range in milliseconds of the time between the last change and the cut.
const CHANGE_MS: std::ops::Range<u64> = 20..200;

/// Range in milliseconds of the time between the cut and the removal.
const REMOVAL_MS: std::ops::Range<u64> = 5..400;

/// Range in milliseconds of the duration of the cut.
const CUT_MS: std::ops::Range<u64> = 700..5_000;

impl Run {
    /// Cuts the first host of a failure domain off from the store, removes the entry of an upstream
    /// and reports requests that other hosts send to it once that must have taken effect.
    pub async fn cut_source(self: &Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = lock(&self.hosts).len();
        // Hosts take the domains in turn, and later ones of a domain follow the first.
        let followed = hosts.saturating_sub(HOST_DOMAINS.len()).clamp(1, HOST_DOMAINS.len());
        let source = random.random_range(0..followed);
        let impairments =
            [Impairment::Cut, Impairment::Reset, Impairment::OneWay, Impairment::Stall];
        let impairment = impairments[random.random_range(0..impairments.len())];
        let mut wait = |range| Duration::from_millis(random.random_range(range));
        let (change, removal, cut) = (wait(CHANGE_MS), wait(REMOVAL_MS), wait(CUT_MS));
        let upstream = lock(&self.environment).upstream(0).clone();
        lock(&self.environment).configure();
        tokio::time::sleep(change).await;
        self.impair_store_link(source, impairment);
        let started = Instant::now();
        tokio::time::sleep(removal).await;
        lock(&self.environment).remove(&upstream);
        let due = Instant::now() + MAX_UPDATE_LAG + REMOVAL_SLACK;
        tokio::time::sleep((started + cut).min(due).saturating_duration_since(Instant::now()))
            .await;
        self.impair_store_link(source, Impairment::None);
        tokio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        let before = upstream.shard.runs().len();
        tokio::time::sleep(OBSERVED_TIME).await;
        let late: BTreeSet<_> = upstream.shard.runs().drain(before..).map(|run| run.id).collect();
        let late = self.count_sent_by_others(&late, source);
        if late > 0 {
            let detail = format!(
                "{late} requests to {} later than {MAX_UPDATE_LAG:?} after its removal; host-{source} \
                 {impairment:?} for {cut:?}, removal {removal:?} after that began",
                upstream.id
            );
            lock(&self.report).add_violation(Violation::LateWork, detail);
        }
        lock(&self.environment).register(&upstream, "ready");
    }
}
