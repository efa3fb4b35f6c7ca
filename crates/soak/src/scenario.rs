//! Patterns that a run plays one after the other once all random faults have ended.

use std::sync::Arc;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::run::Run;

/// A pattern with figures and an order of events that are drawn from a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Changes while nothing else is disturbed.
    Changes,
    /// The host that others follow loses the store while an upstream leaves.
    CutSource,
    /// An upstream restarts cold during an outage of the store.
    ColdRestart,
    /// A host is shut down under load.
    Shutdown,
    /// Upstreams send second copies of their answers.
    RepeatedAnswers,
    /// A host is lost while others end or stand still.
    LostHost,
    /// All upstreams fail together and come back cold.
    Outage,
    /// Upstreams restart cold within fractions of a second.
    QuickRestart,
    /// Upstreams answer with any status line.
    OddStatuses,
}

impl Scenario {
    /// All scenarios, in the order in which they are played, with the names of the command line.
    pub const ALL: [(&str, Self); 9] = [
        ("changes", Self::Changes),
        ("cut-source", Self::CutSource),
        ("cold-restart", Self::ColdRestart),
        ("shutdown", Self::Shutdown),
        ("repeated-answers", Self::RepeatedAnswers),
        ("lost-host", Self::LostHost),
        ("outage", Self::Outage),
        ("quick-restart", Self::QuickRestart),
        ("odd-statuses", Self::OddStatuses),
    ];

    /// Returns the scenario with the given name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, scenario)| *scenario)
    }

    /// Plays the scenarios in `selected`, or all of them if there are none. What one draws does not
    /// depend on whether others are played.
    pub async fn play(run: &Arc<Run>, random: &mut StdRng, selected: &[Self]) {
        for (_, scenario) in Self::ALL {
            let (seed, target) = match scenario {
                Self::Changes => (0, random.random_range(0..1_000)),
                Self::Shutdown => (random.random(), random.random_range(0..1_000)),
                _ => (random.random(), 0),
            };
            if !selected.is_empty() && !selected.contains(&scenario) {
                continue;
            }
            match scenario {
                Self::Changes => run.change_undisturbed(target).await,
                Self::CutSource => run.cut_source(seed).await,
                Self::ColdRestart => run.restart_cold(seed).await,
                Self::Shutdown => run.stop_host(seed, target).await,
                Self::RepeatedAnswers => run.repeat_answers(seed).await,
                Self::LostHost => run.lose_host(seed).await,
                Self::Outage => run.restart_all_cold(seed).await,
                Self::QuickRestart => run.restart_quickly(seed).await,
                Self::OddStatuses => run.send_odd_statuses(seed).await,
            }
        }
    }
}
