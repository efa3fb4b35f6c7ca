//! The claim of a request that must run at most once.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use member::score;
use route::bucket;
use tokio::sync::watch;
use wire::Connection;
use wire::node_capnp::Verdict;
use wire::node_capnp::node::claim_results;

use crate::connections::Connections;
use crate::state::ControlState;

/// Egresses that are asked for one claim, when the first is not the owner any more.
const MOST_ASKED: usize = 4;

/// Pause before the egresses are asked once more, as around a change of owner.
const PAUSE: Duration = Duration::from_millis(30);

/// What came of a claim.
pub(crate) enum Claim {
    /// This broker, and nobody else, may run the request; the connection takes it back.
    Granted(Rc<Connection>),
    /// The request may have been run by another attempt.
    Repeated,
    /// Nobody can tell whether another attempt has run it.
    Unknown,
    /// No owner was reached, or it had no room; this attempt has run nothing.
    Refused,
}

/// Claims the run of a request.
///
/// A claim whose answer is lost may stand; the request is then not run by this attempt, and a
/// resend of its id is answered as unknown.
pub(crate) async fn claim(
    connections: &Connections,
    state: &watch::Receiver<Arc<ControlState>>,
    id: &str,
    until: Instant,
) -> Claim {
    let bucket = bucket(id).name;
    // The other half of the time is the run's.
    let give_up = Instant::now() + until.saturating_duration_since(Instant::now()) / 2;
    loop {
        let state = state.borrow().clone();
        let mut ranked: Vec<_> = state.egresses.iter().collect();
        ranked.sort_by_key(|(host, _)| std::cmp::Reverse(score(&bucket, host)));
        for (_, address) in ranked.iter().take(MOST_ASKED) {
            let Some(node) = connections.get(&address.to_string()) else { continue };
            let mut call = node.client.claim_request();
            call.get().set_request_id(id);
            let reply = tokio::time::timeout_at(until.into(), call.send().promise).await;
            let verdict = match reply {
                Ok(Ok(reply)) => reply.get().map(claim_results::Reader::get_verdict),
                _ => return Claim::Unknown,
            };
            match verdict {
                Ok(Ok(Verdict::Granted)) => return Claim::Granted(node),
                Ok(Ok(Verdict::Repeated)) => return Claim::Repeated,
                Ok(Ok(Verdict::Refused)) => return Claim::Refused,
                Ok(Ok(Verdict::NotOwner)) => {}
                _ => return Claim::Unknown,
            }
        }
        if Instant::now() + PAUSE >= give_up {
            return Claim::Refused;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Takes a grant back, since the request has provably not run.
pub(crate) async fn not_run(node: &Connection, id: &str) {
    let mut call = node.client.not_run_request();
    call.get().set_request_id(id);
    // Without it a resend is answered as unknown, which is true as well.
    let _ = call.send().promise.await;
}
