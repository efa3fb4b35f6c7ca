//! Rate limit for a cold upstream.

use std::time::{Duration, Instant};

/// Limit on the requests that this host may send to a cold upstream.
///
/// Hosts do not coordinate before they send. So only the host that is [elected](crate::Election) for the
/// upstream sends at all, with a spacing that leaves room for its predecessor's last requests.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    until: Instant,
    spacing: Option<Duration>,
    /// Time before which this host sends nothing, because it has only just been elected.
    from: Option<Instant>,
    next: Option<Instant>,
}

impl ColdStart {
    /// Creates the limit of an upstream that is cold until `until`. `spacing` is the minimum time
    /// between two requests; `None` means that this host may send none.
    pub fn new(until: Instant, spacing: Option<Duration>) -> Self {
        Self { until, spacing, from: None, next: None }
    }

    /// Replaces the time from which this host may send, and the spacing, because the hosts have changed.
    /// `None` means that it may send nothing.
    pub fn set_turn(&mut self, turn: Option<(Instant, Duration)>) {
        (self.from, self.spacing) = turn.unzip();
    }

    /// Keeps the distance to the last request that was sent under an earlier limit for the upstream.
    pub fn follow(&mut self, earlier: &Self) {
        self.next = self.next.max(earlier.next);
    }

    /// Returns whether the upstream is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent.
    pub fn allows(&self, now: Instant) -> bool {
        let has_turn = self.spacing.is_some() && self.from.is_none_or(|from| now >= from);
        !self.is_cold(now) || has_turn && self.next.is_none_or(|next| now >= next)
    }

    /// Returns the earliest time, not before `now`, at which a request may be sent.
    pub fn available_at(&self, now: Instant) -> Instant {
        match (self.spacing, self.next) {
            _ if !self.is_cold(now) => now,
            (None, _) => self.until,
            (Some(_), next) => next.max(self.from).unwrap_or(now).clamp(now, self.until),
        }
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: Instant) {
        if let Some(spacing) = self.spacing {
            self.next = Some(now + spacing);
        }
    }
}
