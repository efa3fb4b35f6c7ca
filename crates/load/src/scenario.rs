//! Scenarios: faults with their times, and the load.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// A fault and the time at which it is injected.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Time since the start of the run, in thousandths of its duration.
    pub(crate) at_per_mille: u32,
    /// Fault to inject.
    pub(crate) fault: Fault,
}

/// A fault or a change of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Makes an upstream slower by the factor; 1 is its usual speed.
    Slow(u32),
    /// Makes an upstream cold without a restart.
    ResetToCold,
    /// Restarts an upstream, which is cold afterwards.
    Restart,
    /// Lists an upstream as leaving and stops it some seconds later.
    Leave,
    /// Takes a failure domain out, as operators do.
    DomainOut,
    /// Restarts the upstreams of that failure domain and puts it back in.
    DomainIn,
    /// Moves the upstreams of sharded services to a new snapshot, one after the other.
    Snapshot,
    /// Moves a service to half as many shards.
    Repartition,
    /// Makes all open connections to some upstreams stop answering for good.
    SilenceConnections,
    /// Makes the platform unavailable, for a time in thousandths of the run.
    StoreDown(u32),
    /// Lets writes to the platform take effect without an answer, for a time in thousandths of the
    /// run.
    LoseAnswers(u32),
    /// Kills an egress without a graceful shutdown.
    KillEgress,
    /// Replaces every host, one after the other.
    RollingStop,
    /// Sets the load, in thousandths of the capacity of the upstreams.
    Load(u32),
}

/// Names of all scenarios.
pub(crate) const NAMES: [&str; 12] = [
    "steady",
    "straggler",
    "cold-return",
    "domain-return",
    "replica-loss",
    "repartition",
    "silent-connections",
    "store-outage",
    "owner-loss",
    "rolling-stop",
    "overload",
    "mixed",
];

/// Faults and load of a run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Faults, ordered by time.
    pub(crate) steps: Vec<Step>,
    /// Load at the start, in thousandths of the capacity of the upstreams.
    pub(crate) load_per_mille: u32,
    /// Factor by which all upstreams are slower than usual, so that a load test overloads the
    /// upstreams and not the machine that runs it.
    pub(crate) slowdown: u32,
}

/// Usual load in thousandths of the capacity of the upstreams; the rest of the capacity suffices
/// while a failure domain is out.
const USUAL_LOAD_PER_MILLE: u32 = 120;

fn schedule(faults: &[(u32, Fault)]) -> Vec<Step> {
    faults.iter().map(|&(at_per_mille, fault)| Step { at_per_mille, fault }).collect()
}

/// Returns the scenario with the given name; the seed determines the faults of "mixed".
pub(crate) fn by_name(name: &str, seed: u64) -> Scenario {
    let steps = match name {
        "straggler" => schedule(&[(100, Fault::Slow(15)), (300, Fault::Slow(15))]),
        "cold-return" => {
            schedule(&[(150, Fault::Restart), (400, Fault::ResetToCold), (650, Fault::Restart)])
        }
        "domain-return" => schedule(&[(150, Fault::DomainOut), (550, Fault::DomainIn)]),
        "replica-loss" => schedule(&[(150, Fault::Leave), (400, Fault::Restart)]),
        "repartition" => schedule(&[(200, Fault::Snapshot), (600, Fault::Repartition)]),
        "silent-connections" => {
            schedule(&[(200, Fault::SilenceConnections), (600, Fault::SilenceConnections)])
        }
        "store-outage" => schedule(&[(100, Fault::StoreDown(650)), (800, Fault::LoseAnswers(100))]),
        "owner-loss" => schedule(&[(200, Fault::KillEgress)]),
        "rolling-stop" => schedule(&[(100, Fault::RollingStop)]),
        "mixed" => mixed(seed),
        _ => Vec::new(),
    };
    if name == "overload" {
        let steps = schedule(&[(500, Fault::Load(2_000))]);
        return Scenario { steps, load_per_mille: 1_000, slowdown: 10 };
    }
    Scenario { steps, load_per_mille: USUAL_LOAD_PER_MILLE, slowdown: 1 }
}

/// Draws up to five kinds of faults at random times; a failure domain that is taken out is put back
/// later.
fn mixed(seed: u64) -> Vec<Step> {
    const FAULTS: [Fault; 10] = [
        Fault::Slow(15),
        Fault::ResetToCold,
        Fault::Restart,
        Fault::Leave,
        Fault::DomainOut,
        Fault::Snapshot,
        Fault::SilenceConnections,
        Fault::StoreDown(200),
        Fault::LoseAnswers(100),
        Fault::KillEgress,
    ];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..5 {
        let fault = *FAULTS.choose(&mut rng).expect("there is a fault to choose");
        let at_per_mille = rng.random_range(80..700);
        if matches!(fault, Fault::DomainOut) {
            drawn.push(Step { at_per_mille: at_per_mille + 200, fault: Fault::DomainIn });
        }
        drawn.push(Step { at_per_mille, fault });
    }
    // Each kind occurs once, so that one failure domain, one egress and one outage of the platform
    // are in effect at a time; two faults of one kind would be a different test.
    let mut seen = Vec::new();
    drawn.retain(|step| {
        let kind = std::mem::discriminant(&step.fault);
        let is_new = !seen.contains(&kind);
        seen.push(kind);
        is_new
    });
    drawn.sort_by_key(|step| step.at_per_mille);
    drawn
}

/// Returns the given number of thousandths of a duration.
pub(crate) fn fraction(duration: Duration, per_mille: u32) -> Duration {
    duration * per_mille / 1_000
}
