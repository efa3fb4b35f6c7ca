//! One search on a traffic thread: does the I/O for a [`query::Plan`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use capnp::capability::Rc as Shared;
use query::{Action, AttemptId, Mode, Outcome, PartOutcome, Plan, SendAttempt};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::Instrument;
use wire::node_capnp::{self, sink};

use crate::claim::{self, Claim};
use crate::engine::{Engine, SearchJob, ServiceState};
use crate::request::Request;

/// Time before the caller's deadline that is reserved for sending the answer back.
const RESPONSE_RESERVE: Duration = Duration::from_millis(2);

/// Id of the next search of this process. Each process starts at a random id, which is drawn while
/// this value is still 0.
static NEXT_SEARCH_ID: AtomicU64 = AtomicU64::new(0);

/// Sender of part outcomes to the task that drives the search.
type OutcomeSender = mpsc::UnboundedSender<(AttemptId, PartOutcome)>;

/// Runs a search and replies with the outcome.
pub(crate) async fn run(engine: Rc<Engine>, job: SearchJob) {
    let SearchJob { request, received, reply } = job;
    let span = tracing::debug_span!("broker", trace = &*request.trace, service = &*request.service);
    let outcome = search(&engine, &request, received).instrument(span).await;
    // The send fails if the caller has disconnected, who then needs no answer.
    let _ = reply.send(outcome);
}

async fn search(engine: &Rc<Engine>, request: &Request, received: Instant) -> Outcome {
    let state = engine.service_state(&request.service);
    let deadline =
        received + request.deadline.saturating_sub(RESPONSE_RESERVE).max(request.deadline / 2);
    if request.repeatable {
        admit(engine, &state, request, deadline, Mode::Search).await
    } else {
        run_once(engine, &state, request, deadline).await
    }
}

/// Runs a request if the admission window of the service has room, and otherwise refuses it as not
/// run.
async fn admit(
    engine: &Rc<Engine>,
    state: &Rc<RefCell<ServiceState>>,
    request: &Request,
    deadline: Instant,
    mode: Mode,
) -> Outcome {
    if engine.baseline {
        return drive(engine, state, request, deadline, mode).await.0;
    }
    if !state.borrow_mut().window.try_acquire() {
        return Outcome::NotRun("overloaded".into());
    }
    let (outcome, congested) = drive(engine, state, request, deadline, mode).await;
    state.borrow_mut().window.release(Instant::now(), congested);
    outcome
}

/// Runs a request that must run at most once.
///
/// The run is claimed before the request can be refused: only the ledger can distinguish a first
/// attempt, for which "not run" is true, from a resend of a request that has run.
async fn run_once(
    engine: &Rc<Engine>,
    state: &Rc<RefCell<ServiceState>>,
    request: &Request,
    deadline: Instant,
) -> Outcome {
    let hash = member::rendezvous_hash(&request.id, "shard");
    if engine.baseline {
        return admit(engine, state, request, deadline, Mode::Once(hash)).await;
    }
    let connection =
        match claim::claim(&engine.connections, &engine.state, &request.id, deadline).await {
            Claim::Granted(connection) => connection,
            // This broker has just created the id, so no other attempt can have run it.
            _ if request.own_id => return Outcome::NotRun("no ledger granted the run".into()),
            Claim::Repeated => return Outcome::Unknown("an earlier attempt was let run".into()),
            Claim::Unknown | Claim::Refused => {
                return Outcome::Unknown("no ledger knows of earlier attempts".into());
            }
        };
    let outcome = admit(engine, state, request, deadline, Mode::Once(hash)).await;
    if matches!(outcome, Outcome::NotRun(_)) {
        claim::revoke(&connection, &request.id).await;
    }
    outcome
}

/// Drives a plan until it finishes. Returns the outcome, and whether an owner had no free slot.
async fn drive(
    engine: &Rc<Engine>,
    state: &Rc<RefCell<ServiceState>>,
    request: &Request,
    deadline: Instant,
    mode: Mode,
) -> (Outcome, bool) {
    let search_id = next_search_id();
    let (outcome_sender, mut outcomes) = mpsc::unbounded_channel();
    let plan_request = query::Request { deadline, mode, seed: search_id };
    let (mut plan, mut actions) =
        Plan::start(&mut state.borrow_mut().service, plan_request, Instant::now());
    let driver =
        Driver { engine, request, search_id, deadline, outcome_sender, owners: RefCell::default() };
    let mut batch = Vec::new();
    loop {
        if let Some(outcome) = driver.execute(std::mem::take(&mut actions)) {
            engine.metrics.dropped.inc_by(u64::from(plan.dropped_answers()));
            engine.metrics.extra_parts.inc_by(u64::from(plan.extra_attempts()));
            return (outcome, plan.is_congested());
        }
        let next_tick = plan.next_tick(&state.borrow().service);
        tokio::select! {
            _ = outcomes.recv_many(&mut batch, 64) => {
                let now = Instant::now();
                let service = &mut state.borrow_mut().service;
                for (attempt, outcome) in batch.drain(..) {
                    actions.extend(plan.on_attempt_end(service, now, attempt, outcome));
                }
            }
            () = tokio::time::sleep_until(next_tick.into()) => {
                actions = plan.tick(&mut state.borrow_mut().service, Instant::now());
            }
        }
    }
}

/// Returns the id of a new search.
fn next_search_id() -> u64 {
    let next = NEXT_SEARCH_ID.fetch_add(1, Ordering::Relaxed);
    if next != 0 {
        return next;
    }
    NEXT_SEARCH_ID.store(rand::random::<u64>() >> 1, Ordering::Relaxed);
    NEXT_SEARCH_ID.fetch_add(1, Ordering::Relaxed)
}

/// Executes the actions of a plan.
struct Driver<'a> {
    engine: &'a Rc<Engine>,
    request: &'a Request,
    search_id: u64,
    deadline: Instant,
    outcome_sender: OutcomeSender,
    /// Owner of the upstream of each attempt in flight.
    owners: RefCell<BTreeMap<AttemptId, Box<str>>>,
}

impl Driver<'_> {
    /// Executes actions. Returns the outcome of the search if they include [`Action::Finish`].
    fn execute(&self, actions: Vec<Action>) -> Option<Outcome> {
        let mut sends: BTreeMap<Box<str>, Vec<SendAttempt>> = BTreeMap::new();
        let mut cancels: BTreeMap<Box<str>, Vec<AttemptId>> = BTreeMap::new();
        let mut outcome = None;
        for action in actions {
            match action {
                Action::Send(send) => {
                    self.owners.borrow_mut().insert(send.id, send.owner.clone());
                    sends.entry(send.owner.clone()).or_default().push(send);
                }
                Action::Cancel(attempt) => {
                    if let Some(owner) = self.owners.borrow_mut().remove(&attempt) {
                        cancels.entry(owner).or_default().push(attempt);
                    }
                }
                Action::Finish(finished) => outcome = Some(finished),
            }
        }
        for (owner, sends) in sends {
            self.send(&owner, &sends);
        }
        for (owner, attempts) in cancels {
            self.cancel(&owner, &attempts);
        }
        outcome
    }

    /// Sends all parts for one owner in one call.
    fn send(&self, owner: &str, sends: &[SendAttempt]) {
        let attempts: Vec<AttemptId> = sends.iter().map(|send| send.id).collect();
        self.engine.metrics.parts.inc_by(attempts.len() as u64);
        self.engine.metrics.batches.inc();
        let Some(connection) = self.engine.connections.get(owner) else {
            return fail(&self.outcome_sender, &attempts, || {
                PartOutcome::NotRun("owner not connected".into())
            });
        };
        let mut call = connection.client.search_request();
        self.fill(call.get().init_batch(), sends);
        let sink = Sink {
            outcome_sender: self.outcome_sender.clone(),
            unanswered: RefCell::new(attempts),
        };
        let sink = Shared::new(sink);
        call.get().set_sink(capnp_rpc::new_client_from_rc(sink.clone()));
        let (promise, outcome_sender) = (call.send().promise, self.outcome_sender.clone());
        let deadline = self.deadline;
        spawn_local(async move {
            let _connection = connection;
            let result =
                tokio::time::timeout_at((deadline + RESPONSE_RESERVE * 5).into(), promise).await;
            if !matches!(result, Ok(Ok(_))) {
                // Parts that have been sent may run even if the connection is lost.
                fail(&outcome_sender, &sink.unanswered.take(), || {
                    PartOutcome::Unknown("owner lost".into())
                });
            }
        });
    }

    fn fill(&self, mut batch: node_capnp::batch::Builder<'_>, sends: &[SendAttempt]) {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        batch.set_query(self.search_id);
        batch.set_request_id(&*self.request.id);
        batch.set_service(&*self.request.service);
        batch.set_operation(&*self.request.operation);
        batch.set_body(&self.request.query_text);
        batch.set_snapshot(sends[0].pin.snapshot);
        batch.set_budget_micros(remaining.as_micros() as u64);
        batch.set_traceparent(&*self.request.trace);
        let mut parts = batch.init_parts(sends.len() as u32);
        for (index, send) in sends.iter().enumerate() {
            let mut part = parts.reborrow().get(index as u32);
            part.set_part(send.id);
            part.set_upstream(&*send.upstream);
        }
    }

    fn cancel(&self, owner: &str, attempts: &[AttemptId]) {
        let Some(connection) = self.engine.connections.get(owner) else { return };
        let mut call = connection.client.cancel_request();
        call.get().set_query(self.search_id);
        let mut list = call.get().init_parts(attempts.len() as u32);
        for (index, attempt) in attempts.iter().enumerate() {
            list.set(index as u32, *attempt);
        }
        // If the cancellation is lost, an upstream does needless work, but no answer changes.
        let promise = call.send().promise;
        spawn_local(async move {
            let _connection = connection;
            let _ = promise.await;
        });
    }
}

/// Reports the same outcome for several attempts.
fn fail(outcome_sender: &OutcomeSender, attempts: &[AttemptId], outcome: impl Fn() -> PartOutcome) {
    for attempt in attempts {
        // The send fails only if the search has finished.
        let _ = outcome_sender.send((*attempt, outcome()));
    }
}

/// Receives the answers to one call.
struct Sink {
    outcome_sender: OutcomeSender,
    /// Attempts of the call that have no answer yet.
    unanswered: RefCell<Vec<AttemptId>>,
}

impl sink::Server for Sink {
    async fn push(
        self: Shared<Self>,
        params: sink::PushParams,
        _results: sink::PushResults,
    ) -> Result<(), capnp::Error> {
        for answer in params.get()?.get_answers()? {
            let attempt = answer.get_part();
            self.unanswered.borrow_mut().retain(|other| *other != attempt);
            let reason =
                || -> capnp::Result<Box<str>> { Ok(answer.get_reason()?.to_str()?.into()) };
            let outcome = match answer.get_outcome()? {
                node_capnp::Outcome::Ran => PartOutcome::Ran {
                    snapshot: answer.get_snapshot(),
                    shard: answer.get_shard(),
                    shards: answer.get_shards(),
                    body: answer.get_body()?.to_vec(),
                },
                node_capnp::Outcome::NotRun => PartOutcome::NotRun(reason()?),
                node_capnp::Outcome::Unknown => PartOutcome::Unknown(reason()?),
            };
            let _ = self.outcome_sender.send((attempt, outcome));
        }
        Ok(())
    }
}
