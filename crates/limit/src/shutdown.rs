//! Admission of requests during a graceful shutdown.

use std::time::{Duration, Instant};

/// Maximum time after the start of a shutdown for which requests of any length are admitted.
/// Operators excuse requests that are sent in the first three seconds after the signal, of which the
/// process learns some time later.
const MAX_OPEN_TIME: Duration = Duration::from_millis(2_700);

/// Fraction of the grace period for which requests of any length are admitted, if that is shorter.
const OPEN_RATIO: f64 = 0.45;

/// Fraction of the grace period for which new connections are accepted, because callers keep using
/// the address for a while.
const ACCEPT_RATIO: f64 = 0.55;

/// Fraction of the grace period after which requests in flight are answered at once.
const CLOSE_RATIO: f64 = 0.93;

/// Fraction of the grace period after which such answers are no longer waited for. The rest is for
/// ending the process.
const END_RATIO: f64 = 0.97;

/// A graceful shutdown, from its start to the end of its grace period.
///
/// At first all requests are admitted, since most take far less than the grace period. After that
/// the time left may be too short for a request, which would then be cut off while an upstream works
/// on it. So only those are admitted that end in time in any case, at their deadline if not before;
/// callers can send the others to another host at once. See "Shutdown" in
/// `docs/design/platform.md`.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let shutdown = limit::Shutdown::new(now, Duration::from_secs(6));
/// let later = now + Duration::from_secs(4);
/// assert!(shutdown.admits(later, later + Duration::from_secs(1)));
/// assert!(!shutdown.admits(later, later + Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    began: Instant,
    grace: Duration,
}

impl Shutdown {
    /// Creates a shutdown that begins at `began` and must end within `grace`.
    pub fn new(began: Instant, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Returns whether a request that has arrived at `now`, with this deadline, is admitted.
    pub fn admits(&self, now: Instant, deadline: Instant) -> bool {
        let open_time = MAX_OPEN_TIME.min(self.grace.mul_f64(OPEN_RATIO));
        now < self.began + open_time || deadline <= self.closes_at()
    }

    /// Returns the time until which new connections are accepted.
    pub fn accepts_until(&self) -> Instant {
        self.began + self.grace.mul_f64(ACCEPT_RATIO)
    }

    /// Returns the time at which requests in flight are answered, whatever their state.
    pub fn closes_at(&self) -> Instant {
        self.began + self.grace.mul_f64(CLOSE_RATIO)
    }

    /// Returns the time by which the last answers must have been sent.
    pub fn ends_at(&self) -> Instant {
        self.began + self.grace.mul_f64(END_RATIO)
    }
}
