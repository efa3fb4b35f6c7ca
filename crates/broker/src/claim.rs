//! Claims to run a request that must run at most once.
//!
//! The ledger of the egress that owns the bucket of the request id grants at most one claim per id.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use member::rendezvous_hash;
use route::bucket;
use tokio::sync::watch;
use wire::Connection;
use wire::node_capnp::Verdict;
use wire::node_capnp::node::claim_results;

use crate::connections::Connections;
use crate::state::ControlState;

/// Maximum number of egresses tried in one round, including those that are not connected. The first
/// one may no longer be the owner.
const MAX_EGRESSES: usize = 4;

/// Delay before the next round, in which a change of owner may complete.
const RETRY_BACKOFF: Duration = Duration::from_millis(30);

/// Result of a claim.
pub(crate) enum Claim {
    /// Only this broker may run the request. The connection is to the egress that granted the
    /// claim, for [`revoke`].
    Granted(Rc<Connection>),
    /// Another attempt may have run the request.
    Repeated,
    /// It is unknown whether another attempt has run the request.
    Unknown,
    /// No owner was reached, or the owner had no room. This attempt has run nothing.
    Refused,
}

/// Claims the right to run the request with this id.
///
/// If the answer is lost, the claim may still have been granted. This attempt then does not run the
/// request, and a resend with the same id is answered as unknown.
pub(crate) async fn claim(
    connections: &Connections,
    state: &watch::Receiver<Arc<ControlState>>,
    id: &str,
    deadline: Instant,
) -> Claim {
    let bucket = bucket(id).name;
    // No new round starts in the second half of the remaining time, so that time is left for
    // running the request. A call in progress may use all of the remaining time.
    let claim_deadline = Instant::now() + deadline.saturating_duration_since(Instant::now()) / 2;
    loop {
        let state = state.borrow().clone();
        let mut ranked: Vec<_> = state.egresses.iter().collect();
        ranked.sort_by_key(|(host, _)| std::cmp::Reverse(rendezvous_hash(&bucket, host)));
        for (_, address) in ranked.iter().take(MAX_EGRESSES) {
            let Some(connection) = connections.get(&address.to_string()) else { continue };
            let mut call = connection.client.claim_request();
            call.get().set_request_id(id);
            let reply = tokio::time::timeout_at(deadline.into(), call.send().promise).await;
            let verdict = match reply {
                Ok(Ok(reply)) => reply.get().map(claim_results::Reader::get_verdict),
                _ => return Claim::Unknown,
            };
            match verdict {
                Ok(Ok(Verdict::Granted)) => return Claim::Granted(connection),
                Ok(Ok(Verdict::Repeated)) => return Claim::Repeated,
                Ok(Ok(Verdict::Refused)) => return Claim::Refused,
                Ok(Ok(Verdict::NotOwner)) => {}
                _ => return Claim::Unknown,
            }
        }
        if Instant::now() + RETRY_BACKOFF >= claim_deadline {
            return Claim::Refused;
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
}

/// Revokes a granted claim whose request has certainly not run, so that a resend can run.
pub(crate) async fn revoke(connection: &Connection, id: &str) {
    let mut call = connection.client.not_run_request();
    call.get().set_request_id(id);
    // If the call fails, a resend is answered as unknown, which is also correct.
    let _ = call.send().promise.await;
}
