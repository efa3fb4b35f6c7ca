//! Rate limit for a cold upstream.

use std::time::{Duration, Instant};

/// Limit on the requests that this host may send to a cold upstream.
///
/// Hosts do not coordinate before they send. So only the host that ranks first for the upstream
/// sends at all, with a spacing that leaves room for a second host that takes itself for the first
/// while the hosts' views differ.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    until: Instant,
    spacing: Option<Duration>,
    next: Option<Instant>,
}

impl ColdStart {
    /// Creates the limit of an upstream that is cold until `until`. `spacing` is the minimum time
    /// between two requests; `None` means that this host may send none.
    pub fn new(until: Instant, spacing: Option<Duration>) -> Self {
        Self { until, spacing, next: None }
    }

    /// Replaces the spacing, because the ranking of the hosts has changed.
    pub fn set_spacing(&mut self, spacing: Option<Duration>) {
        self.spacing = spacing;
    }

    /// Returns whether the upstream is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent.
    pub fn allows(&self, now: Instant) -> bool {
        !self.is_cold(now) || (self.spacing.is_some() && self.next.is_none_or(|next| now >= next))
    }

    /// Returns the earliest time, not before `now`, at which a request may be sent.
    pub fn available_at(&self, now: Instant) -> Instant {
        match (self.spacing, self.next) {
            _ if !self.is_cold(now) => now,
            (None, _) => self.until,
            (Some(_), next) => next.unwrap_or(now).clamp(now, self.until),
        }
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: Instant) {
        if let Some(spacing) = self.spacing {
            self.next = Some(now + spacing);
        }
    }
}
