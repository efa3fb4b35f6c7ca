//! Requests during which connections to upstreams broke a moment ago.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use crate::{AttemptId, Fingerprint, Strike};

/// Time for which a request is suspected. All hosts know of its crashes by the store after four seconds,
/// and crashed upstreams are back and warm after some more, so that the next probe does less harm.
const SUSPICION_TTL: Duration = Duration::from_secs(10);

/// Maximum number of attempts that are kept; the one that expires first makes room for another.
const MAX_ATTEMPTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    crashes: u32,
    since: Instant,
    expires: Instant,
}

/// The suspected requests, with the attempts of callers that made them so.
///
/// They are held apart from the strikes, so that many connections that break at once, as when a
/// failure domain is lost, neither refuse a request for long nor push a strike out.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspicions: BTreeMap<(Fingerprint, AttemptId), Suspicion>,
}

impl Suspects {
    /// Adds what is known of an attempt. Returns whether that is new.
    pub fn insert(&mut self, now: Instant, strike: Strike) -> bool {
        self.suspicions.retain(|_, suspicion| now < suspicion.expires);
        let key = (strike.request, strike.attempt);
        let known = self.suspicions.get(&key).copied();
        if known.is_some_and(|known| known.crashes >= strike.crashes) {
            return false;
        }
        if known.is_none() && self.suspicions.len() >= MAX_ATTEMPTS {
            let first = self.suspicions.iter().min_by_key(|(_, suspicion)| suspicion.expires);
            let first = first.map(|(key, _)| *key);
            first.and_then(|key| self.suspicions.remove(&key));
        }
        let since = known.map_or(now, |known| known.since);
        let expires = now + SUSPICION_TTL;
        let suspicion = Suspicion { crashes: strike.crashes, since, expires };
        self.suspicions.insert(key, suspicion);
        true
    }

    /// Removes a request, because an upstream has answered it.
    pub fn clear(&mut self, request: Fingerprint) {
        let keys: Vec<_> = self.suspicions.range(keys_of(request)).map(|(key, _)| *key).collect();
        for key in keys {
            self.suspicions.remove(&key);
        }
    }

    /// Returns since when a request has been a suspect, or `None` if it is not.
    pub fn since(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        self.current(now, request).map(|(_, suspicion)| suspicion.since).min()
    }

    /// Returns the attempts that make a request a suspect, each with the time until which it does.
    pub fn of(
        &self,
        now: Instant,
        request: Fingerprint,
    ) -> impl Iterator<Item = (Strike, Instant)> {
        self.current(now, request).map(move |(attempt, suspicion)| {
            let strike = Strike { request, attempt, crashes: suspicion.crashes };
            (strike, suspicion.expires)
        })
    }

    fn current(
        &self,
        now: Instant,
        request: Fingerprint,
    ) -> impl Iterator<Item = (AttemptId, &Suspicion)> {
        let suspicions = self.suspicions.range(keys_of(request));
        let current = suspicions.filter(move |(_, suspicion)| now < suspicion.expires);
        current.map(|((_, attempt), suspicion)| (*attempt, suspicion))
    }
}

/// Returns the keys of all attempts of a request.
fn keys_of(request: Fingerprint) -> RangeInclusive<(Fingerprint, AttemptId)> {
    (request, AttemptId::MIN)..=(request, AttemptId::MAX)
}
