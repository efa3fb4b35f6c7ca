//! Execution of one part at its upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use limit::Completion;
use query::PartOutcome;
use tokio::sync::Notify;

use crate::connection::{Body, Connection, open};
use crate::traffic::Traffic;
use crate::upstream::{Admission, ServedShard, Upstream};

/// Maximum time for which a part waits while this host holds no grant for the upstream, for example
/// during a change of the roster.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_millis(80);

/// Time past the deadline within which a healthy upstream reports that it gave up.
const ANSWER_GRACE: Duration = Duration::from_millis(10);

/// Maximum time for which a cancelled part waits for the answer of the upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum length of the answer of an upstream.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The values that all parts of a batch have in common.
pub(crate) struct Batch {
    pub(crate) request_id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) operation: Box<str>,
    pub(crate) traceparent: Box<str>,
    pub(crate) body: Bytes,
    pub(crate) snapshot: u64,
    pub(crate) deadline: Instant,
}

fn not_run(reason: &str) -> PartOutcome {
    PartOutcome::NotRun(reason.into())
}

fn unknown(reason: &str) -> PartOutcome {
    PartOutcome::Unknown(reason.into())
}

/// Result of the exchange of one request and its answer with an upstream.
enum Exchange {
    /// The upstream answered, and the connection can be reused.
    Answered(PartOutcome, Completion),
    /// The request was never written.
    Unsent,
    /// The answer could not be read completely; the request may have been written.
    Broken,
    /// No answer arrived in time.
    TimedOut,
}

/// Runs one part at the upstream with the given name, counts its outcome and returns it.
pub(crate) async fn run(
    traffic: Rc<Traffic>,
    batch: Rc<Batch>,
    name: Box<str>,
    cancel: Rc<Notify>,
) -> PartOutcome {
    let outcome = run_inner(&traffic, &batch, &name, &cancel).await;
    match &outcome {
        PartOutcome::Ran { .. } => _ = traffic.metrics.ran.inc(),
        PartOutcome::NotRun(reason) => traffic.metrics.record_not_run(reason),
        PartOutcome::Unknown(reason) => traffic.metrics.record_unknown(reason),
    }
    outcome
}

async fn run_inner(
    traffic: &Rc<Traffic>,
    batch: &Batch,
    name: &str,
    cancel: &Notify,
) -> PartOutcome {
    let Some(upstream) = traffic.upstream(name) else { return not_run("upstream not owned here") };
    if !wait_for_grant(traffic, &upstream, batch.deadline).await {
        return not_run("fence closed");
    }
    let (ticket, admission) = upstream.offer(Instant::now(), batch.deadline);
    match admission {
        Admission::Refuse(reason) => return not_run(reason),
        Admission::Start => {}
        Admission::Wait(receiver) => {
            let admitted = tokio::select! {
                admitted = receiver => admitted == Ok(true),
                () = cancel.notified() => {
                    if !upstream.withdraw(ticket) {
                        upstream.complete(Instant::now(), ticket, Completion::Ended);
                    }
                    return not_run("cancelled");
                }
            };
            if !admitted {
                return not_run("busy");
            }
        }
    }
    send(traffic, batch, &upstream, ticket, cancel).await
}

/// Waits until this host holds a grant for the upstream. Returns false if the group was handed over
/// or the wait timed out, which answers and metrics report as `fence closed`.
async fn wait_for_grant(traffic: &Traffic, upstream: &Upstream, deadline: Instant) -> bool {
    let until = deadline.min(Instant::now() + GRANT_TIMEOUT);
    loop {
        let now = Instant::now();
        if traffic.has_grant(now, upstream) {
            return true;
        }
        if now >= until || upstream.handed_over.get() {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a part that has a slot, and frees the slot when the part has ended.
async fn send(
    traffic: &Traffic,
    batch: &Batch,
    upstream: &Upstream,
    ticket: u64,
    cancel: &Notify,
) -> PartOutcome {
    // The second attempt covers an idle connection that the upstream had closed before the request
    // was written.
    for _ in 0..2 {
        let connection = match connect(traffic, upstream, batch.deadline).await {
            Ok(connection) => connection,
            Err(completion) => {
                upstream.complete(Instant::now(), ticket, completion);
                return not_run("no connection");
            }
        };
        if !traffic.has_grant(Instant::now(), upstream) {
            upstream.idle.borrow_mut().push(connection);
            upstream.complete(Instant::now(), ticket, Completion::Ended);
            return not_run("fence closed");
        }
        match exchange(batch, upstream, connection, cancel).await {
            Exchange::Answered(outcome, completion) => {
                upstream.complete(Instant::now(), ticket, completion);
                return outcome;
            }
            Exchange::Unsent => {}
            Exchange::Broken => {
                upstream.complete(Instant::now(), ticket, Completion::Broken);
                return unknown("connection broke");
            }
            Exchange::TimedOut => {
                upstream.complete(Instant::now(), ticket, Completion::NoAnswer);
                return unknown("no answer in time");
            }
        }
    }
    upstream.complete(Instant::now(), ticket, Completion::Ended);
    not_run("no connection")
}

/// Returns an idle connection, or opens one if the limit on connections allows it.
///
/// # Errors
///
/// Returns how the part ends for the limiter when no connection can be used.
async fn connect(
    traffic: &Traffic,
    upstream: &Upstream,
    deadline: Instant,
) -> Result<Connection, Completion> {
    if let Some(connection) = upstream.take_idle() {
        return Ok(connection);
    }
    if !upstream.connections.borrow_mut().try_open(Instant::now()) {
        return Err(Completion::Ended);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let address = upstream.target.borrow().address;
    let opened = open(address, left).await;
    upstream.connections.borrow_mut().opened(opened.is_ok());
    traffic.metrics.connections.inc();
    // Nothing was written, so the part cannot be running; the upstream goes into backoff.
    opened.map_err(|_| Completion::Broken)
}

/// Builds the request for a part, with the time left until the deadline.
fn request(batch: &Batch) -> Request<Body> {
    let left = batch.deadline.saturating_duration_since(Instant::now());
    Request::post("/search")
        .header("host", "upstream")
        .header("x-request-id", &*batch.request_id)
        .header("x-operation", &*batch.operation)
        .header("x-snapshot", batch.snapshot)
        .header("x-deadline-ms", left.as_millis().max(1) as u64)
        .header("traceparent", &*batch.traceparent)
        .body(Full::new(batch.body.clone()))
        .expect("the broker has validated the header values")
}

/// Sends the request for a part over `connection` and waits for the answer.
async fn exchange(
    batch: &Batch,
    upstream: &Upstream,
    mut connection: Connection,
    cancel: &Notify,
) -> Exchange {
    let sent = Instant::now();
    let result = {
        let answer = async {
            // The error is true if hyper returns the request, which then was not written.
            let response = connection.sender.try_send_request(request(batch)).await;
            let response = response.map_err(|error| error.message().is_some())?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|_| false)?;
            Ok::<_, bool>((head, body.to_bytes()))
        };
        tokio::pin!(answer);
        let mut until = batch.deadline + ANSWER_GRACE;
        let mut cancelled = false;
        loop {
            tokio::select! {
                result = &mut answer => break result,
                () = tokio::time::sleep_until(until.into()) => {
                    upstream.connections.borrow_mut().abandoned(Instant::now());
                    // The idle connections may have broken for the same reason.
                    upstream.drop_idle(Instant::now());
                    return Exchange::TimedOut;
                }
                () = cancel.notified(), if !cancelled => {
                    cancelled = true;
                    until = until.min(Instant::now() + CANCEL_TIMEOUT);
                    let _ = upstream.cancels.send(batch.request_id.clone());
                }
            }
        }
    };
    match result {
        Ok((head, body)) => {
            upstream.idle.borrow_mut().push(connection);
            read_answer(&head, &body, upstream, sent)
        }
        Err(unsent) => {
            upstream.connections.borrow_mut().closed();
            if unsent { Exchange::Unsent } else { Exchange::Broken }
        }
    }
}

/// Converts the answer of an upstream into the outcome of the part.
fn read_answer(
    head: &hyper::http::response::Parts,
    body: &Bytes,
    upstream: &Upstream,
    sent: Instant,
) -> Exchange {
    let number =
        |name: &str| -> Option<u64> { head.headers.get(name)?.to_str().ok()?.parse().ok() };
    if head.headers.contains_key("x-shed") {
        return Exchange::Answered(not_run("shed by the upstream"), Completion::Shed);
    }
    if head.status == 409 {
        return Exchange::Answered(unknown("cancelled"), Completion::Ended);
    }
    let served = (number("x-snapshot"), number("x-shard"), number("x-shards"));
    let (200, (Some(snapshot), Some(shard), Some(shards))) = (head.status.as_u16(), served) else {
        return Exchange::Answered(unknown("the upstream failed"), Completion::Ended);
    };
    let served_shard = ServedShard { snapshot, shard: shard as u32, shards: shards as u32 };
    upstream.set_served_shard(served_shard);
    let completion = Completion::Ok { took: sent.elapsed(), incarnation: number("x-boot") };
    let ran = PartOutcome::Ran {
        snapshot,
        shard: served_shard.shard,
        shards: served_shard.shards,
        body: body.to_vec(),
    };
    Exchange::Answered(ran, completion)
}
