//! Ledger of requests that must run at most once.
//!
//! Egresses keep the ledgers; a broker claims the right to run a request before it sends the
//! request. The id of a request determines the egress that owns its ledger. The ledger grants each
//! id at most one run. An id contains its time of issue: a ledger that was begun later cannot know
//! whether a previous owner granted a run, and answers with [`Verdict::Unknown`]. Reasons and
//! alternatives are in `docs/design/at-most-once.md`.
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

/// Maximum difference between the clocks of two hosts at which the guarantee holds.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Time after its issue for which an id is kept. A claim of an older id is answered with
/// [`Verdict::Unknown`].
pub const ID_TTL: Duration = Duration::from_secs(120);

/// Maximum number of ids in a ledger. A full ledger refuses new ids, whose requests have then not
/// run.
const MAX_IDS: usize = 200_000;

/// Maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 128;

/// Answer of a ledger to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant, and no other, may run the request.
    Granted,
    /// An earlier claim was granted. Only its claimant can know whether the request has run.
    Repeated,
    /// An earlier claim may have been granted: the id was issued before the ledger was begun,
    /// has expired, contains a future time or is not valid.
    Unknown,
    /// No claim was granted, neither this one nor an earlier one, because the ledger is full.
    Refused,
}

/// Creates an id that contains its time of issue, in milliseconds. `nonce` distinguishes the ids of
/// one millisecond.
pub fn issue(now: SystemTime, nonce: u64) -> String {
    let time = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{nonce:016x}", time.as_millis())
}

/// Returns the time of issue that an id contains, or `None` if the id is not valid.
pub fn issued_at(id: &str) -> Option<SystemTime> {
    let (millis, nonce) = id.split_once('-')?;
    if id.len() > MAX_ID_BYTES || nonce.is_empty() {
        return None;
    }
    let millis: u64 = millis.parse().ok()?;
    UNIX_EPOCH.checked_add(Duration::from_millis(millis))
}

/// Ids for which a run was granted.
///
/// An owner that leaves serializes the ledger, with its field names, for the next owner. An owner
/// that receives no ledger begins a new one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    /// Time when the ledger was begun. Earlier grants are unknown.
    since: SystemTime,
    /// Time of expiry of each id.
    granted: BTreeMap<Box<str>, SystemTime>,
    /// Ids in the order of their expiry.
    expiry: VecDeque<(SystemTime, Box<str>)>,
}

impl Ledger {
    /// Begins an empty ledger that knows of all grants after `since`.
    pub fn new(since: SystemTime) -> Self {
        Self { since, granted: BTreeMap::new(), expiry: VecDeque::new() }
    }

    /// Claims the right to run a request.
    pub fn claim(&mut self, now: SystemTime, id: &str) -> Verdict {
        self.expire(now);
        let Some(issued) = issued_at(id) else { return Verdict::Unknown };
        if self.granted.contains_key(id) {
            return Verdict::Repeated;
        }
        // An id with a future time could be granted again by the next owner, if that owner begins a
        // ledger before the time.
        let is_known = issued > self.since + MAX_CLOCK_SKEW
            && issued + ID_TTL > now + MAX_CLOCK_SKEW
            && issued < now + MAX_CLOCK_SKEW;
        if !is_known {
            return Verdict::Unknown;
        }
        if self.granted.len() >= MAX_IDS {
            return Verdict::Refused;
        }
        let expires = issued + ID_TTL + MAX_CLOCK_SKEW;
        self.granted.insert(id.into(), expires);
        let index = self.expiry.partition_point(|(at, _)| *at <= expires);
        self.expiry.insert(index, (expires, id.into()));
        Verdict::Granted
    }

    /// Revokes the grant of a request that has provably not run, so that it can be claimed again.
    pub fn revoke(&mut self, id: &str) {
        self.granted.remove(id);
    }

    /// Returns the number of ids in the ledger.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether the ledger contains no id.
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
