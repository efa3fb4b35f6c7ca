//! Requests that may crash upstreams: one host at a time sends such a request on.
//!
//! Each host that gets a suspected request passes it to the host that ranks first for its content.
//! There it waits for its turn, and goes to one upstream before any others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use quarantine::{Fingerprint, Strike};
use table::{Route, Target};

use crate::attempt::Outgoing;
use crate::crashes::Crashes;
use crate::forward::{Prober, forward};
use crate::front::{Arrival, Front};
use crate::outcome::Outcome;

/// Header of a forwarded request that may crash upstreams, with the reasons as JSON. The host that
/// gets one sends it to one upstream first.
pub const EVIDENCE_HEADER: &str = "pistachio-evidence";

/// Maximum number of hosts to which a suspected request is passed.
const MAX_PROBERS: usize = 3;

/// Maximum number of reasons that are told with a request.
const MAX_EVIDENCE: usize = 8;

/// Time after which callers retry when no host could take a suspected request. Hosts that are gone
/// leave the ranking within seconds.
const NO_PROBER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which callers retry when a suspected request did not get its turn. A probe takes about
/// as long as a part.
const NO_TURN_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Front {
    /// Passes a suspected request to the first available host in its ranking, which may be this one.
    pub(crate) async fn serve_suspect(
        &self,
        arrival: Arrival,
        route: &Route,
        outgoing: Rc<Outgoing>,
    ) -> Outcome {
        let now = Instant::now();
        let evidence = self.registry().crashes().evidence(now, outgoing.fingerprint);
        let evidence = encode(&evidence);
        for prober in
            self.registry().probers(now, outgoing.fingerprint).into_iter().take(MAX_PROBERS)
        {
            let host = match prober {
                Prober::This => return self.serve_probe(arrival, route, outgoing).await,
                Prober::Other(host) => host,
            };
            if let Some(outcome) =
                forward(self.registry(), self.metrics(), &host, &outgoing, Some(&evidence)).await
            {
                return outcome;
            }
        }
        let cause = "no host takes a request that may crash upstreams";
        Outcome::error(StatusCode::SERVICE_UNAVAILABLE, Some(NO_PROBER_RETRY_DELAY), cause)
    }

    /// Serves a suspected request once no other of the same content has its turn at this host.
    ///
    /// A query waits until the one that made it a suspect has ended or missed its objective. That one
    /// may still crash upstreams, and a probe could hit the last replica of a shard.
    pub(crate) async fn serve_probe(
        &self,
        arrival: Arrival,
        route: &Route,
        outgoing: Rc<Outgoing>,
    ) -> Outcome {
        let crashes = self.registry().crashes();
        let request = outgoing.fingerprint;
        let until = arrival.at + route.objective;
        let Ok(turn) = tokio::time::timeout_at(until.into(), crashes.probes.turn(request)).await
        else {
            let cause = "a request of the same content may crash upstreams";
            return Outcome::error(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(NO_TURN_RETRY_DELAY),
                cause,
            );
        };
        if let (Target::Gather(_), Some(since)) =
            (&route.target, crashes.suspected_since(Instant::now(), request))
        {
            tokio::time::sleep_until((since + route.objective).into()).await;
        }
        let now = Instant::now();
        if let Some(refusal) = refusal(&crashes, now, request) {
            return refusal;
        }
        if crashes.is_suspect(now, request) {
            outgoing.start_probe(turn);
        } else {
            drop(turn);
        }
        self.serve_here(arrival, route, outgoing).await
    }
}

/// Returns the answer to a request that has crashed several upstreams, or `None` if it has not.
pub fn refusal(crashes: &Crashes, now: Instant, request: Fingerprint) -> Option<Outcome> {
    let until = crashes.refused_until(now, request)?;
    let cause = "request has crashed several upstreams";
    Some(Outcome::error(StatusCode::SERVICE_UNAVAILABLE, Some(until - now), cause))
}

/// Removes the evidence against a request from the headers of a forwarded one. Returns `None` if
/// there is none.
pub fn take_evidence(headers: &mut HeaderMap) -> Option<Vec<Strike>> {
    let value = headers.remove(EVIDENCE_HEADER)?;
    let evidence = serde_json::from_slice(value.as_bytes());
    if let Err(error) = &evidence {
        log::warn!(error:%; "ignoring malformed evidence in a forwarded request");
    }
    evidence.ok()
}

fn encode(evidence: &[Strike]) -> HeaderValue {
    let evidence = &evidence[..evidence.len().min(MAX_EVIDENCE)];
    let text = serde_json::to_string(evidence).expect("numbers are valid in JSON");
    HeaderValue::try_from(text).expect("JSON of numbers is valid in a header")
}
