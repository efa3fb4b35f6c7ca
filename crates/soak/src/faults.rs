//! Faults drawn from a random seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use standin::{Fault, Impairment, StoreFault};

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A host process is killed and started again.
    Kill,
    /// All host processes are killed at once and started again.
    KillAll,
    /// A host process is shut down gracefully and started again.
    Terminate,
    /// A host process is paused with SIGSTOP.
    Pause,
    /// A host process is told to read its settings again.
    Reload,
    /// The connections of a host to the store are impaired.
    StoreLink(Impairment),
    /// The connections of other hosts to a host are impaired.
    PeerLink(Impairment),
    /// The connections of callers to a host are impaired.
    CallerLink(Impairment),
    /// The store fails.
    StoreOutage(StoreFault),
    /// The store discards the history from which watches continue.
    CompactStore,
    /// The store comes back from an older copy, and operators and upstreams write again what it has
    /// lost.
    RestoreStore,
    /// All leases in the store expire.
    ExpireLeases,
    /// An upstream fails.
    UpstreamFault(Fault),
    /// The connections to an upstream are impaired.
    UpstreamLink(Impairment),
    /// An upstream is set to draining and back to ready.
    Drain,
    /// A failure domain is evacuated and used again.
    Evacuate,
    /// Several configurations are written in quick succession.
    ConfigEdits,
}

/// A fault with its target and its times.
#[derive(Clone, Copy, Debug)]
pub struct Injection {
    /// What happens.
    pub kind: Kind,
    /// Random number that selects the host, upstream or failure domain.
    pub target: usize,
    /// How long the fault lasts, for kinds that last.
    pub duration: Duration,
    /// Time until the next fault begins, which may be before this one ends.
    pub pause: Duration,
}

/// Draws the next fault.
pub fn draw(random: &mut StdRng) -> Injection {
    let impairments = [
        Impairment::Delay(Duration::from_millis(40)),
        Impairment::Reset,
        Impairment::OneWay,
        Impairment::Stall,
    ];
    let impairment = impairments[random.random_range(0..impairments.len())];
    let store_faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Losing];
    let store_fault = store_faults[random.random_range(0..store_faults.len())];
    let faults =
        [Fault::Shed, Fault::Error, Fault::Lose, Fault::Truncate, Fault::Double, Fault::Silent];
    let fault = faults[random.random_range(0..faults.len())];
    // A kind that is listed twice is drawn twice as often.
    let kinds = [
        Kind::Kill,
        Kind::KillAll,
        Kind::Terminate,
        Kind::Pause,
        Kind::Reload,
        Kind::StoreLink(impairment),
        Kind::PeerLink(impairment),
        Kind::PeerLink(impairment),
        Kind::CallerLink(impairment),
        Kind::StoreOutage(store_fault),
        Kind::CompactStore,
        Kind::RestoreStore,
        Kind::ExpireLeases,
        Kind::UpstreamFault(fault),
        Kind::UpstreamFault(fault),
        Kind::UpstreamLink(impairment),
        Kind::UpstreamLink(impairment),
        Kind::Drain,
        Kind::Evacuate,
        Kind::ConfigEdits,
    ];
    Injection {
        kind: kinds[random.random_range(0..kinds.len())],
        target: random.random_range(0..1_000),
        duration: Duration::from_millis(random.random_range(200..2_500)),
        pause: Duration::from_millis(random.random_range(50..900)),
    }
}
