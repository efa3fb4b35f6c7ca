//! One search on a traffic thread: the shell around a [`query::Plan`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use capnp::capability::Rc as Shared;
use query::{Action, Mode, Outcome, PartId, PartOutcome, Plan, Send};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::Instrument;
use wire::node_capnp::{self, sink};

use crate::claim::{self, Claim};
use crate::engine::{Engine, Job, Lane};
use crate::request::Request;

/// Time kept of a deadline for the answer's way back to the caller.
const RESERVE: Duration = Duration::from_millis(2);

/// Number of the next search of this process; each process starts at another place.
static NEXT_SEARCH: AtomicU64 = AtomicU64::new(0);

type Inbox = mpsc::UnboundedSender<(PartId, PartOutcome)>;

/// Runs a job and replies.
pub(crate) async fn run(engine: Rc<Engine>, job: Job) {
    let Job { request, received, reply } = job;
    let span = tracing::debug_span!("broker", trace = &*request.trace, service = &*request.service);
    let outcome = search(&engine, &request, received).instrument(span).await;
    // A caller that has gone needs no answer.
    let _ = reply.send(outcome);
}

async fn search(engine: &Rc<Engine>, request: &Request, received: Instant) -> Outcome {
    let lane = engine.lane(&request.service);
    let deadline = received + request.deadline.saturating_sub(RESERVE).max(request.deadline / 2);
    if request.repeatable {
        admit(engine, &lane, request, deadline, Mode::Search).await
    } else {
        run_once(engine, &lane, request, deadline).await
    }
}

/// Drives a plan if the service's window has room.
async fn admit(
    engine: &Rc<Engine>,
    lane: &Rc<RefCell<Lane>>,
    request: &Request,
    deadline: Instant,
    mode: Mode,
) -> Outcome {
    if engine.baseline {
        return drive(engine, lane, request, deadline, mode).await.0;
    }
    if !lane.borrow_mut().window.try_acquire() {
        return Outcome::NotRun("overloaded".into());
    }
    let (outcome, congested) = drive(engine, lane, request, deadline, mode).await;
    lane.borrow_mut().window.release(Instant::now(), congested);
    outcome
}

/// Runs a request that must run at most once.
///
/// The claim comes before any refusal: only the ledger can tell a first attempt, of which "not run"
/// is true, from a resend of a request that has run.
async fn run_once(
    engine: &Rc<Engine>,
    lane: &Rc<RefCell<Lane>>,
    request: &Request,
    deadline: Instant,
) -> Outcome {
    let hash = member::score(&request.id, "shard");
    if engine.baseline {
        return admit(engine, lane, request, deadline, Mode::Once(hash)).await;
    }
    let node = match claim::claim(&engine.connections, &engine.state, &request.id, deadline).await {
        Claim::Granted(node) => node,
        // Nobody else can have run an id that was made here just now.
        _ if request.own_id => return Outcome::NotRun("no ledger granted the run".into()),
        Claim::Repeated => return Outcome::Unknown("an earlier attempt was let run".into()),
        Claim::Unknown | Claim::Refused => {
            return Outcome::Unknown("no ledger knows of earlier attempts".into());
        }
    };
    let outcome = admit(engine, lane, request, deadline, Mode::Once(hash)).await;
    if matches!(outcome, Outcome::NotRun(_)) {
        claim::not_run(&node, &request.id).await;
    }
    outcome
}

/// Drives a plan to its end; returns the outcome and whether an owner had no slot.
async fn drive(
    engine: &Rc<Engine>,
    lane: &Rc<RefCell<Lane>>,
    request: &Request,
    deadline: Instant,
    mode: Mode,
) -> (Outcome, bool) {
    let number = search_number();
    let (inbox, mut answers) = mpsc::unbounded_channel();
    let plain = query::Request { deadline, mode, seed: number };
    let (mut plan, mut actions) =
        Plan::start(&mut lane.borrow_mut().service, plain, Instant::now());
    let shell = Shell { engine, request, number, deadline, inbox, owners: RefCell::default() };
    let mut ready = Vec::new();
    loop {
        if let Some(outcome) = shell.act(std::mem::take(&mut actions)) {
            engine.metrics.dropped.inc_by(u64::from(plan.dropped_answers()));
            engine.metrics.extra_parts.inc_by(u64::from(plan.extra_parts()));
            return (outcome, plan.is_congested());
        }
        let due = plan.next_tick(&lane.borrow().service);
        tokio::select! {
            _ = answers.recv_many(&mut ready, 64) => {
                let now = Instant::now();
                let service = &mut lane.borrow_mut().service;
                for (part, outcome) in ready.drain(..) {
                    actions.extend(plan.on_part(service, now, part, outcome));
                }
            }
            () = tokio::time::sleep_until(due.into()) => {
                actions = plan.tick(&mut lane.borrow_mut().service, Instant::now());
            }
        }
    }
}

fn search_number() -> u64 {
    let next = NEXT_SEARCH.fetch_add(1, Ordering::Relaxed);
    if next != 0 {
        return next;
    }
    NEXT_SEARCH.store(rand::random::<u64>() >> 1, Ordering::Relaxed);
    NEXT_SEARCH.fetch_add(1, Ordering::Relaxed)
}

struct Shell<'a> {
    engine: &'a Rc<Engine>,
    request: &'a Request,
    number: u64,
    deadline: Instant,
    inbox: Inbox,
    /// Owner of each part on its way.
    owners: RefCell<BTreeMap<PartId, Box<str>>>,
}

impl Shell<'_> {
    /// Carries actions out; returns the outcome with the last one.
    fn act(&self, actions: Vec<Action>) -> Option<Outcome> {
        let mut sends: BTreeMap<Box<str>, Vec<Send>> = BTreeMap::new();
        let mut cancels: BTreeMap<Box<str>, Vec<PartId>> = BTreeMap::new();
        let mut outcome = None;
        for action in actions {
            match action {
                Action::Send(send) => {
                    self.owners.borrow_mut().insert(send.part, send.owner.clone());
                    sends.entry(send.owner.clone()).or_default().push(send);
                }
                Action::Cancel(part) => {
                    if let Some(owner) = self.owners.borrow_mut().remove(&part) {
                        cancels.entry(owner).or_default().push(part);
                    }
                }
                Action::Finish(finished) => outcome = Some(finished),
            }
        }
        for (owner, sends) in sends {
            self.send(&owner, &sends);
        }
        for (owner, parts) in cancels {
            self.cancel(&owner, &parts);
        }
        outcome
    }

    /// Sends all parts of one owner as one call.
    fn send(&self, owner: &str, sends: &[Send]) {
        let parts: Vec<PartId> = sends.iter().map(|send| send.part).collect();
        self.engine.metrics.parts.inc_by(parts.len() as u64);
        self.engine.metrics.batches.inc();
        let Some(node) = self.engine.connections.get(owner) else {
            return fail(&self.inbox, &parts, || PartOutcome::NotRun("owner not connected".into()));
        };
        let mut call = node.client.search_request();
        self.fill(call.get().init_batch(), sends);
        let sink = Sink { inbox: self.inbox.clone(), open: RefCell::new(parts) };
        let sink = Shared::new(sink);
        call.get().set_sink(capnp_rpc::new_client_from_rc(sink.clone()));
        let (promise, inbox) = (call.send().promise, self.inbox.clone());
        let deadline = self.deadline;
        spawn_local(async move {
            let _node = node;
            let ended = tokio::time::timeout_at((deadline + RESERVE * 5).into(), promise).await;
            if !matches!(ended, Ok(Ok(_))) {
                // What has been sent may run, whatever became of the connection.
                fail(&inbox, &sink.open.take(), || PartOutcome::Unknown("owner lost".into()));
            }
        });
    }

    fn fill(&self, mut batch: node_capnp::batch::Builder<'_>, sends: &[Send]) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        batch.set_query(self.number);
        batch.set_request_id(&*self.request.id);
        batch.set_service(&*self.request.service);
        batch.set_operation(&*self.request.operation);
        batch.set_body(&self.request.query);
        batch.set_snapshot(sends[0].pin.snapshot);
        batch.set_budget_micros(left.as_micros() as u64);
        batch.set_traceparent(&*self.request.trace);
        let mut parts = batch.init_parts(sends.len() as u32);
        for (place, send) in sends.iter().enumerate() {
            let mut part = parts.reborrow().get(place as u32);
            part.set_part(send.part);
            part.set_upstream(&*send.upstream);
        }
    }

    fn cancel(&self, owner: &str, parts: &[PartId]) {
        let Some(node) = self.engine.connections.get(owner) else { return };
        let mut call = node.client.cancel_request();
        call.get().set_query(self.number);
        let mut list = call.get().init_parts(parts.len() as u32);
        for (place, part) in parts.iter().enumerate() {
            list.set(place as u32, *part);
        }
        // A lost cancellation costs an upstream some work and changes no answer.
        let promise = call.send().promise;
        spawn_local(async move {
            let _node = node;
            let _ = promise.await;
        });
    }
}

fn fail(inbox: &Inbox, parts: &[PartId], outcome: impl Fn() -> PartOutcome) {
    for part in parts {
        let _ = inbox.send((*part, outcome()));
    }
}

/// Receives the answers of one call.
struct Sink {
    inbox: Inbox,
    open: RefCell<Vec<PartId>>,
}

impl sink::Server for Sink {
    async fn push(
        self: Shared<Self>,
        params: sink::PushParams,
        _results: sink::PushResults,
    ) -> Result<(), capnp::Error> {
        for answer in params.get()?.get_answers()? {
            let part = answer.get_part();
            self.open.borrow_mut().retain(|open| *open != part);
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
            let _ = self.inbox.send((part, outcome));
        }
        Ok(())
    }
}
