//! The way of one part through its upstream.

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
use crate::upstream::{Offer, Owned, Place};

/// Longest time for which a part waits while the fence is closed, as around a roster's change.
pub(crate) const FENCE_WAIT: Duration = Duration::from_millis(80);

/// Time beyond the deadline by which a well upstream has said that it gave up.
const GRACE: Duration = Duration::from_millis(10);

/// Time for which a cancelled part waits for the upstream's word, at the most.
const CANCEL_TIME: Duration = Duration::from_millis(100);

/// Largest answer of one upstream.
const MAX_ANSWER: usize = 4 << 20;

/// What all parts of a batch share.
pub(crate) struct Batch {
    pub(crate) request: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) operation: Box<str>,
    pub(crate) trace: Box<str>,
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

/// How a request to an upstream ended.
enum End {
    /// It was answered, and the connection can be used again.
    Answered(PartOutcome, Completion),
    /// It was never written.
    Unsent,
    /// The connection broke after the request was written.
    Broken,
    /// Nothing came back in time.
    Silent,
}

/// Runs one part to its end.
pub(crate) async fn run(
    traffic: Rc<Traffic>,
    batch: Rc<Batch>,
    upstream: Box<str>,
    cancel: Rc<Notify>,
) -> PartOutcome {
    let outcome = run_inner(&traffic, &batch, &upstream, &cancel).await;
    match &outcome {
        PartOutcome::Ran { .. } => _ = traffic.metrics.ran.inc(),
        PartOutcome::NotRun(reason) => traffic.metrics.refuse(reason),
        PartOutcome::Unknown(reason) => traffic.metrics.lose(reason),
    }
    outcome
}

async fn run_inner(
    traffic: &Rc<Traffic>,
    batch: &Batch,
    upstream: &str,
    cancel: &Notify,
) -> PartOutcome {
    let Some(owned) = traffic.owned(upstream) else { return not_run("upstream not owned here") };
    if !wait_for_fence(traffic, &owned, batch.deadline).await {
        return not_run("fence closed");
    }
    let (ticket, offer) = owned.offer(Instant::now(), batch.deadline);
    match offer {
        Offer::Refuse(reason) => return not_run(reason),
        Offer::Start => {}
        Offer::Wait(receiver) => {
            let started = tokio::select! {
                go = receiver => go == Ok(true),
                () = cancel.notified() => {
                    if !owned.withdraw(ticket) {
                        owned.done(Instant::now(), ticket, Completion::Ended);
                    }
                    return not_run("cancelled");
                }
            };
            if !started {
                return not_run("busy");
            }
        }
    }
    send(traffic, batch, &owned, ticket, cancel).await
}

async fn wait_for_fence(traffic: &Traffic, owned: &Owned, deadline: Instant) -> bool {
    let until = deadline.min(Instant::now() + FENCE_WAIT);
    loop {
        let now = Instant::now();
        if traffic.may_send(now, owned) {
            return true;
        }
        if now >= until || owned.handed_over.get() {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a part that has its slot.
async fn send(
    traffic: &Traffic,
    batch: &Batch,
    owned: &Owned,
    ticket: u64,
    cancel: &Notify,
) -> PartOutcome {
    // A second try is only for a kept connection that had closed before the request was written.
    for _ in 0..2 {
        let connection = match connect(traffic, owned, batch.deadline).await {
            Ok(connection) => connection,
            Err(sign) => {
                owned.done(Instant::now(), ticket, sign);
                return not_run("no connection");
            }
        };
        if !traffic.may_send(Instant::now(), owned) {
            owned.idle.borrow_mut().push(connection);
            owned.done(Instant::now(), ticket, Completion::Ended);
            return not_run("fence closed");
        }
        match exchange(batch, owned, connection, cancel).await {
            End::Answered(outcome, sign) => {
                owned.done(Instant::now(), ticket, sign);
                return outcome;
            }
            End::Unsent => {}
            End::Broken => {
                owned.done(Instant::now(), ticket, Completion::Broken);
                return unknown("connection broke");
            }
            End::Silent => {
                owned.done(Instant::now(), ticket, Completion::NoAnswer);
                return unknown("no answer in time");
            }
        }
    }
    owned.done(Instant::now(), ticket, Completion::Ended);
    not_run("no connection")
}

async fn connect(
    traffic: &Traffic,
    owned: &Owned,
    deadline: Instant,
) -> Result<Connection, Completion> {
    if let Some(connection) = owned.take_idle() {
        return Ok(connection);
    }
    if !owned.conns.borrow_mut().try_open(Instant::now()) {
        return Err(Completion::Ended);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let address = owned.target.borrow().address;
    let opened = open(address, left).await;
    owned.conns.borrow_mut().opened(opened.is_ok());
    traffic.metrics.connections.inc();
    // A connection that was refused proves that nothing runs there for us.
    opened.map_err(|_| Completion::Broken)
}

fn request(batch: &Batch) -> Request<Body> {
    let left = batch.deadline.saturating_duration_since(Instant::now());
    Request::post("/search")
        .header("host", "upstream")
        .header("x-request-id", &*batch.request)
        .header("x-operation", &*batch.operation)
        .header("x-snapshot", batch.snapshot)
        .header("x-deadline-ms", left.as_millis().max(1) as u64)
        .header("traceparent", &*batch.trace)
        .body(Full::new(batch.body.clone()))
        .expect("the broker checked what goes into headers")
}

async fn exchange(
    batch: &Batch,
    owned: &Owned,
    mut connection: Connection,
    cancel: &Notify,
) -> End {
    let sent = Instant::now();
    let result = {
        let answer = async {
            let response = connection.sender.try_send_request(request(batch)).await;
            let response = response.map_err(|error| error.message().is_some())?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER).collect().await.map_err(|_| false)?;
            Ok::<_, bool>((head, body.to_bytes()))
        };
        tokio::pin!(answer);
        let mut until = batch.deadline + GRACE;
        let mut cancelled = false;
        loop {
            tokio::select! {
                result = &mut answer => break result,
                () = tokio::time::sleep_until(until.into()) => {
                    owned.conns.borrow_mut().abandoned(Instant::now());
                    // Others of the same age may have gone silent with it.
                    owned.drop_idle(Instant::now());
                    return End::Silent;
                }
                () = cancel.notified(), if !cancelled => {
                    cancelled = true;
                    until = until.min(Instant::now() + CANCEL_TIME);
                    let _ = owned.cancels.send(batch.request.clone());
                }
            }
        }
    };
    match result {
        Ok((head, body)) => {
            owned.idle.borrow_mut().push(connection);
            read(&head, &body, owned, sent)
        }
        Err(unsent) => {
            owned.conns.borrow_mut().closed();
            if unsent { End::Unsent } else { End::Broken }
        }
    }
}

/// Reads an upstream's answer.
fn read(head: &hyper::http::response::Parts, body: &Bytes, owned: &Owned, sent: Instant) -> End {
    let number =
        |name: &str| -> Option<u64> { head.headers.get(name)?.to_str().ok()?.parse().ok() };
    if head.headers.contains_key("x-shed") {
        return End::Answered(not_run("shed by the upstream"), Completion::Shed);
    }
    if head.status == 409 {
        return End::Answered(unknown("cancelled"), Completion::Ended);
    }
    let place = (number("x-snapshot"), number("x-shard"), number("x-shards"));
    let (200, (Some(snapshot), Some(shard), Some(shards))) = (head.status.as_u16(), place) else {
        return End::Answered(unknown("the upstream failed"), Completion::Ended);
    };
    let place = Place { snapshot, shard: shard as u32, shards: shards as u32 };
    owned.learn(place);
    let sign = Completion::Ok { took: sent.elapsed(), boot: number("x-boot") };
    let ran = PartOutcome::Ran {
        snapshot,
        shard: place.shard,
        shards: place.shards,
        body: body.to_vec(),
    };
    End::Answered(ran, sign)
}
