//! The ledger of requests that must run at most once.
//!
//! One egress, found by the request's id, grants each id at most one run. An id carries its time
//! of issue: a ledger whose tenure began later cannot know whether a predecessor granted it, and
//! says so. Reasons and the ways weighed are in `docs/design/at-most-once.md`.
//!
//! ```
//! use std::time::{Duration, SystemTime};
//!
//! let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
//! let now = start + Duration::from_secs(60);
//! let mut ledger = once::Ledger::new(start);
//! let id = once::issue(now, 7);
//! assert_eq!(ledger.claim(now, &id), once::Verdict::Granted);
//! assert_eq!(ledger.claim(now, &id), once::Verdict::Repeated);
//! ```

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Largest difference between the clocks of two hosts that is allowed for.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(2);

/// Time for which an id is remembered; an older one is answered as unknown.
pub const LIFETIME: Duration = Duration::from_secs(120);

/// Most ids remembered at a time; at the limit new ones are refused as not run.
const MOST_IDS: usize = 200_000;

/// Longest id in bytes.
const MAX_ID: usize = 128;

/// What the ledger says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This claim, and no other, may run the request.
    Granted,
    /// The request was granted before; whether it has run is for the first claim to say.
    Repeated,
    /// A predecessor may have granted the request.
    Unknown,
    /// Nothing was granted, now or before; the ledger is full.
    Refused,
}

/// Makes an id that carries its time of issue.
pub fn issue(now: SystemTime, nonce: u64) -> String {
    let time = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{nonce:016x}", time.as_millis())
}

/// Reads the time of issue from an id, or `None` where the id carries none.
pub fn issued_at(id: &str) -> Option<SystemTime> {
    let (millis, nonce) = id.split_once('-')?;
    if id.len() > MAX_ID || nonce.is_empty() {
        return None;
    }
    let millis: u64 = millis.parse().ok()?;
    UNIX_EPOCH.checked_add(Duration::from_millis(millis))
}

/// Ids granted in one tenure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    since: SystemTime,
    granted: BTreeMap<Box<str>, SystemTime>,
    /// Ids by expiry, in order.
    expiry: VecDeque<(SystemTime, Box<str>)>,
}

impl Ledger {
    /// Starts a tenure.
    pub fn new(since: SystemTime) -> Self {
        Self { since, granted: BTreeMap::new(), expiry: VecDeque::new() }
    }

    /// Claims the run of a request.
    pub fn claim(&mut self, now: SystemTime, id: &str) -> Verdict {
        self.expire(now);
        let Some(issued) = issued_at(id) else { return Verdict::Unknown };
        if self.granted.contains_key(id) {
            return Verdict::Repeated;
        }
        // An id from the future would outlive the memory of it.
        let known = issued > self.since + CLOCK_MARGIN
            && issued + LIFETIME > now + CLOCK_MARGIN
            && issued < now + CLOCK_MARGIN;
        if !known {
            return Verdict::Unknown;
        }
        if self.granted.len() >= MOST_IDS {
            return Verdict::Refused;
        }
        let expires = issued + LIFETIME + CLOCK_MARGIN;
        self.granted.insert(id.into(), expires);
        let later = self.expiry.partition_point(|(at, _)| *at <= expires);
        self.expiry.insert(later, (expires, id.into()));
        Verdict::Granted
    }

    /// Takes back a grant whose request has provably not run.
    pub fn revoke(&mut self, id: &str) {
        self.granted.remove(id);
    }

    /// Returns the number of ids remembered.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    fn expire(&mut self, now: SystemTime) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.expiry.pop_front() else { return };
            self.granted.remove(&id);
        }
    }
}
