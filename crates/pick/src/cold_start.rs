//! What a cold upstream gets.

use std::time::{Duration, Instant};

/// A cold upstream's limit at this host.
///
/// Hosts do not ask each other before they send, so only the first host in the upstream's ranking
/// sends at all, and at a spacing that leaves room for a second host whose ranking differs for a
/// moment.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    until: Instant,
    spacing: Option<Duration>,
    next: Option<Instant>,
}

impl ColdStart {
    /// Creates the limit of an upstream that stays cold until `until`; without a spacing this host
    /// sends nothing.
    pub fn new(until: Instant, spacing: Option<Duration>) -> Self {
        Self { until, spacing, next: None }
    }

    /// Replaces the spacing, because the ranking has changed.
    pub fn set_spacing(&mut self, spacing: Option<Duration>) {
        self.spacing = spacing;
    }

    /// Returns whether the upstream is cold still.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent.
    pub fn allows(&self, now: Instant) -> bool {
        !self.is_cold(now) || (self.spacing.is_some() && self.next.is_none_or(|next| now >= next))
    }

    /// Returns from when on a request may be sent.
    pub fn available_at(&self, now: Instant) -> Instant {
        match (self.spacing, self.next) {
            _ if !self.is_cold(now) => now,
            (None, _) => self.until,
            (Some(_), next) => next.unwrap_or(now).clamp(now, self.until),
        }
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, now: Instant) {
        if let Some(spacing) = self.spacing {
            self.next = Some(now + spacing);
        }
    }
}
