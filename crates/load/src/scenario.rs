//! Scenarios: timed faults as data.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// A fault, with the share of the run at which it happens.
#[derive(Clone, Debug)]
pub(crate) struct Timed {
    /// Thousandths of the run.
    pub(crate) at: u32,
    /// What happens.
    pub(crate) fault: Fault,
}

/// What can happen.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// An upstream works slower by a factor; 1 ends it.
    Slow(u32),
    /// An upstream turns cold without a sign.
    Chill,
    /// An upstream restarts and is cold.
    Restart,
    /// An upstream leaves, and is gone some seconds later.
    Leave,
    /// Operators take a failure domain out.
    DomainOut,
    /// Its upstreams restart, and operators put it back in.
    DomainIn,
    /// A service moves to a new snapshot, its upstreams one after the other.
    Snapshot,
    /// A service moves to half as many shards.
    Repartition,
    /// All open connections to some upstreams go silent for good.
    Mute,
    /// The platform is away, for a share of the run in thousandths.
    StoreDown(u32),
    /// Writes to the platform take effect without an answer.
    LoseAnswers(u32),
    /// An egress dies without a word.
    KillEgress,
    /// Every host is replaced, one after the other.
    RollingStop,
    /// The load changes to a share of what the upstreams bear, in thousandths.
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

/// A scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Faults in the order of their times.
    pub(crate) faults: Vec<Timed>,
    /// Load at first, as a share of what the upstreams bear, in thousandths.
    pub(crate) load: u32,
    /// How many times slower than usual all upstreams work, so that they and not this machine are
    /// what is overloaded.
    pub(crate) pace: u32,
}

/// Usual load; what is left bears a failure domain out.
const USUAL_LOAD: u32 = 120;

fn timed(faults: &[(u32, Fault)]) -> Vec<Timed> {
    faults.iter().map(|&(at, fault)| Timed { at, fault }).collect()
}

/// Makes the scenario of a name.
pub(crate) fn named(name: &str, seed: u64) -> Scenario {
    let faults = match name {
        "straggler" => timed(&[(100, Fault::Slow(15)), (300, Fault::Slow(15))]),
        "cold-return" => {
            timed(&[(150, Fault::Restart), (400, Fault::Chill), (650, Fault::Restart)])
        }
        "domain-return" => timed(&[(150, Fault::DomainOut), (550, Fault::DomainIn)]),
        "replica-loss" => timed(&[(150, Fault::Leave), (400, Fault::Restart)]),
        "repartition" => timed(&[(200, Fault::Snapshot), (600, Fault::Repartition)]),
        "silent-connections" => timed(&[(200, Fault::Mute), (600, Fault::Mute)]),
        "store-outage" => timed(&[(100, Fault::StoreDown(650)), (800, Fault::LoseAnswers(100))]),
        "owner-loss" => timed(&[(200, Fault::KillEgress)]),
        "rolling-stop" => timed(&[(100, Fault::RollingStop)]),
        "mixed" => mixed(seed),
        _ => Vec::new(),
    };
    if name == "overload" {
        let faults = timed(&[(500, Fault::Load(2_000))]);
        return Scenario { faults, load: 1_000, pace: 10 };
    }
    Scenario { faults, load: USUAL_LOAD, pace: 1 }
}

fn mixed(seed: u64) -> Vec<Timed> {
    const MENU: [Fault; 10] = [
        Fault::Slow(15),
        Fault::Chill,
        Fault::Restart,
        Fault::Leave,
        Fault::DomainOut,
        Fault::Snapshot,
        Fault::Mute,
        Fault::StoreDown(200),
        Fault::LoseAnswers(100),
        Fault::KillEgress,
    ];
    let mut random = StdRng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..5 {
        let fault = *MENU.choose(&mut random).expect("the menu is not empty");
        let at = random.random_range(80..700);
        if matches!(fault, Fault::DomainOut) {
            drawn.push(Timed { at: at + 200, fault: Fault::DomainIn });
        }
        drawn.push(Timed { at, fault });
    }
    // One failure domain, one owner and one store at a time; two of a kind would be another test.
    let mut seen = Vec::new();
    drawn.retain(|timed| {
        let kind = std::mem::discriminant(&timed.fault);
        let is_new = !seen.contains(&kind);
        seen.push(kind);
        is_new
    });
    drawn.sort_by_key(|timed| timed.at);
    drawn
}

/// Returns the time of a share of the run.
pub(crate) fn share(run: Duration, thousandths: u32) -> Duration {
    run * thousandths / 1_000
}
