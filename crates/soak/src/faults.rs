//! Faults drawn from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use standin::{Fault, Outage};

use crate::proxy::Harm;

/// One fault; most end by themselves after a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A process is killed and started again.
    Kill,
    /// Every process is killed at once and started again.
    KillAll,
    /// A process is stopped gracefully and started again.
    Stop,
    /// A process is paused.
    Pause,
    /// A process is told to read its settings again.
    Reload,
    /// The way of a host to the store is harmed.
    StoreWay(Harm),
    /// The ways of other hosts to a host are harmed.
    HostWay(Harm),
    /// The ways of callers to a host are harmed.
    CallerWay(Harm),
    /// The store misbehaves.
    Store(Outage),
    /// The store forgets its history.
    Compact,
    /// All leases end.
    Lapse,
    /// An upstream misbehaves.
    Upstream(Fault),
    /// The way to an upstream is harmed.
    UpstreamWay(Harm),
    /// An upstream leaves and comes back.
    Drain,
    /// A failure domain is taken out and put back.
    DomainOut,
    /// Configurations follow each other.
    Edits,
}

/// A fault with its place and time.
#[derive(Clone, Copy, Debug)]
pub struct Drawn {
    /// What happens.
    pub kind: Kind,
    /// Draws the host or upstream.
    pub place: usize,
    /// How long it lasts.
    pub time: Duration,
    /// Time until the next fault begins, which may be before this one ends.
    pub pause: Duration,
}

/// Draws the next fault.
pub fn draw(random: &mut StdRng) -> Drawn {
    let harms = [Harm::Delay(Duration::from_millis(40)), Harm::Reset, Harm::OneWay, Harm::Silence];
    let harm = harms[random.random_range(0..harms.len())];
    let moods = [Outage::Busy, Outage::Silent, Outage::Losing];
    let mood = moods[random.random_range(0..moods.len())];
    let faults =
        [Fault::Shed, Fault::Error, Fault::Lose, Fault::Truncate, Fault::Double, Fault::Silent];
    let fault = faults[random.random_range(0..faults.len())];
    let kinds = [
        Kind::Kill,
        Kind::KillAll,
        Kind::Stop,
        Kind::Pause,
        Kind::Reload,
        Kind::StoreWay(harm),
        Kind::HostWay(harm),
        Kind::HostWay(harm),
        Kind::CallerWay(harm),
        Kind::Store(mood),
        Kind::Compact,
        Kind::Lapse,
        Kind::Upstream(fault),
        Kind::Upstream(fault),
        Kind::UpstreamWay(harm),
        Kind::UpstreamWay(harm),
        Kind::Drain,
        Kind::DomainOut,
        Kind::Edits,
    ];
    Drawn {
        kind: kinds[random.random_range(0..kinds.len())],
        place: random.random_range(0..1_000),
        time: Duration::from_millis(random.random_range(200..2_500)),
        pause: Duration::from_millis(random.random_range(50..900)),
    }
}
