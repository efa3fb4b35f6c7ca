//! The sendings of one request: one part, or one for each shard of a query.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hedge::{Attempts, Failure, Purpose};
use hyper::Method;
use relay::{REQUEST_HEADER, Request};
use table::{Route, ServiceName};
use tokio::time::{Sleep, sleep_until};

use crate::attempt::{Attempt, Finished, Outgoing, send};
use crate::endpoint::Endpoint;
use crate::exchange::{Completion, Reply};
use crate::latency::Latency;
use crate::metrics::Metrics;
use crate::registry::Registry;
use crate::relay_call::{Progress, RelayCall};

/// Time for which a sending goes on that nobody waits for any more. Letting a short one finish
/// keeps its connection, which costs an upstream's slot to open again.
const ABANDON_GRACE: Duration = Duration::from_millis(300);

/// Time after which a part that could not be sent is tried again.
const PARK_TIME: Duration = Duration::from_millis(4);

/// Time left below which a part is not sent, since no answer can come back in it.
const LEAST_LEFT: Duration = Duration::from_millis(2);

/// Time for the ways to and from a relay, which the parts that it asks for take besides their own.
const RELAY_WAY: Duration = Duration::from_millis(4);

/// Part of the time until hedges are sent after which a relay returns what it has, so that parts
/// that it holds back are not hedged.
const FLUSH_SHARE: f64 = 0.9;

/// Parts without an answer that a log line names.
const MOST_DESCRIBED: usize = 4;

/// Part of the parts whose upstreams had requests waiting from which a late query shows overload; one
/// shard alone that is slow is no reason to let fewer queries in.
const CONGESTED_SHARE: f64 = 0.25;

/// What comes of the sendings.
#[derive(Debug)]
pub enum Event {
    /// A part has its answer.
    Part(usize, Reply),
    /// Parts have their answers, whose records are merged: the signature of each, and all records.
    Merged(Vec<(usize, Box<str>)>, Bytes),
    /// A part cannot get an answer any more; the last failure that an upstream gave for it.
    Lost(usize, Option<Reply>),
    /// The given time has come.
    Due,
}

struct Part {
    service: ServiceName,
    attempts: Attempts,
    running: Vec<Rc<Endpoint>>,
    refused_by: Vec<Rc<Endpoint>>,
    due: Option<Instant>,
    failure: Option<Reply>,
    sent: Option<Instant>,
    trouble: Option<&'static str>,
    done: bool,
    answered: bool,
    counted: bool,
}

enum Completed {
    Attempt(Finished),
    Relay(Progress),
}

/// The sendings of one request.
pub struct Fanout {
    registry: Rc<Registry>,
    metrics: Arc<Metrics>,
    outgoing: Rc<Outgoing>,
    latency: Rc<RefCell<Latency>>,
    parts: Vec<Part>,
    events: VecDeque<Event>,
    spare: usize,
    most: usize,
    queued: usize,
    next_due: Option<Instant>,
    sendings: FuturesUnordered<LocalBoxFuture<'static, Completed>>,
    timer: Pin<Box<Sleep>>,
}

impl Fanout {
    /// Prepares sendings to one upstream of each service, of which the answer needs `least`, and
    /// `most` records.
    pub fn new(
        registry: Rc<Registry>,
        metrics: Arc<Metrics>,
        outgoing: Outgoing,
        route: &Route,
        services: &[ServiceName],
        least: usize,
        most: usize,
    ) -> Self {
        let part = |service: &ServiceName| Part {
            service: service.clone(),
            attempts: Attempts::new(route.idempotent, route.attempts),
            running: Vec::new(),
            refused_by: Vec::new(),
            due: None,
            failure: None,
            sent: None,
            trouble: None,
            done: false,
            answered: false,
            counted: false,
        };
        Self {
            latency: registry.latency(route),
            registry,
            metrics,
            outgoing: Rc::new(outgoing),
            parts: services.iter().map(part).collect(),
            events: VecDeque::new(),
            spare: services.len().saturating_sub(least),
            most,
            queued: 0,
            next_due: None,
            sendings: FuturesUnordered::new(),
            timer: Box::pin(sleep_until(Instant::now().into())),
        }
    }

    /// Sends every part for the first time; those that cannot be sent now are tried again soon.
    pub fn start(&mut self, now: Instant) {
        for part in self.open_parts() {
            self.send(now, part);
        }
    }

    /// Sends every part of a query for the first time, some of them through relays that return what
    /// they have by `soft`.
    pub fn start_query(&mut self, now: Instant, soft: Instant) {
        // A caller's header of that name would be lost at a relay, and an answer to HEAD has no body
        // that could carry a batch.
        let named = self.outgoing.call.headers.contains_key(REQUEST_HEADER);
        if named || self.outgoing.method == Method::HEAD {
            return self.start(now);
        }
        let hedge = self.latency.borrow().hedge();
        let last = soft.saturating_duration_since(now).saturating_sub(RELAY_WAY);
        let flush = hedge.mul_f64(FLUSH_SHARE).min(last);
        let relays = self.registry.relay_domain(now, flush);
        let mut chosen = Vec::with_capacity(self.parts.len());
        for part in self.open_parts() {
            chosen
                .extend(self.select(now, part, relays.as_deref()).map(|endpoint| (part, endpoint)));
        }
        let parts = chosen.iter().enumerate();
        let parts =
            parts.map(|(place, (_, endpoint))| (place, self.relayed_by(now, flush, endpoint)));
        let (direct, orders) = relay::plan(parts);
        for (domain, places) in orders {
            let parts = places.iter().map(|place| &chosen[*place]);
            self.order(now, flush, domain, parts);
        }
        for place in direct {
            let (part, endpoint) = &chosen[place];
            self.launch(now, *part, endpoint);
        }
    }

    /// Leaves out a part whose upstreams take nothing in time.
    pub fn skip(&mut self, part: usize) {
        self.lose(part);
        self.parts[part].trouble = Some("no upstream that takes requests yet");
    }

    fn open_parts(&self) -> Vec<usize> {
        (0..self.parts.len()).filter(|part| !self.parts[*part].done).collect()
    }

    /// Returns the failure domain whose relays may ask an upstream.
    fn relayed_by<'a>(
        &self,
        now: Instant,
        flush: Duration,
        endpoint: &'a Endpoint,
    ) -> Option<&'a str> {
        let domain = &*endpoint.upstream.domain;
        let relayed = endpoint.remote && !endpoint.is_cold(now);
        (relayed && self.registry.has_relay(now, flush, domain)).then_some(domain)
    }

    /// Returns whether no upstream can have run any part.
    pub fn is_not_run(&self) -> bool {
        self.parts.iter().all(|part| part.attempts.is_not_run())
    }

    /// Returns whether many upstreams had requests waiting, so that fewer should be let in.
    pub fn is_congested(&self) -> bool {
        self.queued as f64 >= self.parts.len() as f64 * CONGESTED_SHARE
    }

    /// Describes some parts that have no answer, for the log.
    pub fn describe_missing(&self, now: Instant) -> String {
        let missing = self.parts.iter().filter(|part| !part.answered).take(MOST_DESCRIBED);
        let describe = |part: &Part| {
            let running = part.running.iter().map(|endpoint| {
                let age = part.sent.map_or(0, |sent| (now - sent).as_millis());
                format!("waits {age} ms for {}", endpoint.upstream.id)
            });
            let mut causes: Vec<String> = running.collect();
            causes.extend(part.trouble.map(Into::into));
            format!("{}: {}", part.service, causes.join(", "))
        };
        missing.map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Waits for the next event, up to `until`.
    pub async fn next(&mut self, until: Instant) -> Event {
        loop {
            if let Some(event) = self.events.pop_front() {
                return event;
            }
            let due = self.next_due.map_or(until, |due| due.min(until)).into();
            if self.timer.deadline() != due {
                self.timer.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                Some(ending) = self.sendings.next() => match ending {
                    Completed::Attempt(finished) => {
                        let event = self.finish(Instant::now(), finished);
                        self.events.extend(event);
                    }
                    Completed::Relay(progress) => self.advance(Instant::now(), progress),
                },
                () = self.timer.as_mut() => {
                    let now = Instant::now();
                    if now >= until {
                        return Event::Due;
                    }
                    if let Some(lost) = self.work_due(now) {
                        return Event::Lost(lost, None);
                    }
                }
            }
        }
    }

    /// Hedges and retries what is due; returns a part that has just been lost.
    fn work_due(&mut self, now: Instant) -> Option<usize> {
        self.next_due = None;
        let mut lost = None;
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            let Some(due) = part.due.filter(|_| !part.done) else { continue };
            if due > now || lost.is_some() {
                self.wake_at(due);
                continue;
            }
            part.due = None;
            if part.attempts.is_running() {
                self.hedge(now, index);
            } else if !self.send(now, index) {
                self.lose(index);
                lost = Some(index);
            }
        }
        lost
    }

    fn hedge(&mut self, now: Instant, index: usize) {
        let part = &self.parts[index];
        if !part.attempts.may_hedge() {
            return;
        }
        let endpoints = self.registry.endpoints(&part.service);
        let others = endpoints.iter().filter(|endpoint| {
            part.attempts.may_send(&endpoint.upstream.id)
                && !part.running.iter().any(|running| Rc::ptr_eq(running, endpoint))
                && !endpoint.replica.borrow().is_ejected(now)
        });
        let typical = self.latency.borrow().typical();
        let Some(endpoint) = self.registry.choose(now, typical, others, None) else {
            self.parts[index].trouble = Some("no other upstream for a hedge");
            return;
        };
        if !self.registry.take_extra(now, &part.service, Purpose::Hedge) {
            self.metrics.extras_denied.inc();
            self.parts[index].trouble = Some("no allowance for a hedge");
            return;
        }
        self.metrics.hedges.inc();
        self.launch(now, index, &endpoint);
    }

    /// Sends a part that is not running; returns false when it cannot get an answer any more.
    fn send(&mut self, now: Instant, index: usize) -> bool {
        if now + LEAST_LEFT >= self.outgoing.deadline {
            return false;
        }
        let Some(endpoint) = self.select(now, index, None) else { return true };
        let part = &mut self.parts[index];
        let need = if self.spare > 0 { Purpose::OptionalRetry } else { Purpose::RequiredRetry };
        if part.attempts.is_extra() && !self.registry.take_extra(now, &part.service, need) {
            self.metrics.extras_denied.inc();
            part.trouble = Some("no allowance for a retry");
            return false;
        }
        self.launch(now, index, &endpoint);
        true
    }

    /// Chooses an upstream for a part; without one the part is tried again soon.
    fn select(&mut self, now: Instant, index: usize, relays: Option<&str>) -> Option<Rc<Endpoint>> {
        let part = &mut self.parts[index];
        if !part.counted {
            part.counted = true;
            self.registry.count_request(now, &part.service);
        }
        let endpoints = self.registry.endpoints(&part.service);
        let allowed = endpoints.iter().filter(|endpoint| {
            part.attempts.may_send(&endpoint.upstream.id)
                && !part.refused_by.iter().any(|refused| Rc::ptr_eq(refused, endpoint))
        });
        let typical = self.latency.borrow().typical();
        let chosen = self.registry.choose(now, typical, allowed, relays);
        if chosen.is_none() {
            let mut wait = PARK_TIME;
            if part.refused_by.is_empty() {
                part.trouble = Some(obstacle(now, &endpoints));
            } else {
                // A full upstream has room again when one of its requests has ended.
                part.refused_by.clear();
                wait = wait.max(typical / 2);
            }
            self.park(now + wait, index);
        }
        chosen
    }

    fn park(&mut self, due: Instant, index: usize) {
        self.parts[index].due = Some(due);
        self.wake_at(due);
    }

    fn wake_at(&mut self, due: Instant) {
        self.next_due = Some(self.next_due.map_or(due, |next| next.min(due)));
    }

    fn launch(&mut self, now: Instant, index: usize, endpoint: &Rc<Endpoint>) {
        let hedge = self.latency.borrow().hedge();
        let attempt = self.begin(now, index, endpoint, hedge);
        let (outgoing, metrics) = (Rc::clone(&self.outgoing), Arc::clone(&self.metrics));
        let sending = send(now, index, attempt, outgoing, metrics);
        self.sendings.push(Box::pin(async { Completed::Attempt(sending.await) }));
    }

    /// Sends parts through a relay of `domain`, or directly if none has room.
    fn order<'a>(
        &mut self,
        now: Instant,
        flush: Duration,
        domain: &str,
        parts: impl Iterator<Item = &'a (usize, Rc<Endpoint>)>,
    ) {
        let Some(peer) = self.registry.relay(now, flush, domain) else {
            for (part, endpoint) in parts {
                self.launch(now, *part, endpoint);
            }
            return;
        };
        let hedge = self.latency.borrow().hedge();
        let mut upstreams = Vec::new();
        let mut attempts = Vec::new();
        for (part, endpoint) in parts {
            upstreams.push(endpoint.upstream.id.clone());
            attempts.push((*part, self.begin(now, *part, endpoint, hedge + RELAY_WAY)));
        }
        let order = Request { flush, max_records: self.most, upstreams };
        let order = RelayCall::new(now, &peer, &self.outgoing, &self.metrics, order, attempts);
        self.sendings.push(Box::pin(async { Completed::Relay(order.next().await) }));
    }

    /// Counts a sending, which is late after `hedge`.
    fn begin(
        &mut self,
        now: Instant,
        index: usize,
        endpoint: &Rc<Endpoint>,
        hedge: Duration,
    ) -> Attempt {
        let part = &mut self.parts[index];
        part.attempts.sent(&endpoint.upstream.id);
        part.running.push(Rc::clone(endpoint));
        part.sent.get_or_insert(now);
        if part.attempts.may_hedge() {
            self.park(now + hedge, index);
        }
        Attempt::begin(now, endpoint, &self.latency, &self.metrics)
    }

    /// Takes what a relay returned.
    fn advance(&mut self, now: Instant, progress: Progress) {
        if let Some(rest) = progress.rest {
            self.sendings.push(Box::pin(async { Completed::Relay(rest.next().await) }));
        }
        let mut merged = Vec::new();
        for finished in progress.ended {
            if let Completion::Merged { stamp, .. } = &finished.completion {
                // Merged records count even if a hedge was faster: they cannot be told apart.
                merged.push((finished.part, stamp.clone()));
            }
            let event = self.finish(now, finished);
            self.events.extend(event);
        }
        if !merged.is_empty() {
            self.events.push_back(Event::Merged(merged, progress.records));
        }
    }

    /// Takes the end of a sending; returns what it means for the whole request.
    fn finish(&mut self, now: Instant, finished: Finished) -> Option<Event> {
        let Finished { part: index, endpoint, completion, .. } = finished;
        self.queued += usize::from(completion.shows_queue());
        let part = &mut self.parts[index];
        part.running.retain(|running| !Rc::ptr_eq(running, &endpoint));
        if part.done {
            return None;
        }
        let end = match completion {
            Completion::Replied(reply) if reply.is_final() => {
                part.done = true;
                part.answered = true;
                return Some(Event::Part(index, reply));
            }
            Completion::Merged { .. } => {
                part.done = true;
                part.answered = true;
                return None;
            }
            Completion::Replied(reply) => {
                part.failure = Some(reply);
                Failure::Unknown
            }
            Completion::Refused { .. } => {
                part.trouble = Some("refused");
                part.refused_by.push(Rc::clone(&endpoint));
                Failure::Refused
            }
            Completion::Unsent => Failure::Unsent,
            Completion::Unknown { cause } => {
                part.trouble = Some(cause);
                log::debug!(
                    request = self.outgoing.call.id_text(),
                    upstream = endpoint.upstream.id,
                    cause;
                    "sending without an answer"
                );
                Failure::Unknown
            }
        };
        let may_retry = part.attempts.ended(&endpoint.upstream.id, end);
        if part.attempts.is_running() || may_retry && self.send(now, index) {
            return None;
        }
        self.lose(index);
        Some(Event::Lost(index, self.parts[index].failure.take()))
    }

    fn lose(&mut self, index: usize) {
        self.parts[index].done = true;
        self.spare = self.spare.saturating_sub(1);
    }
}

/// Says why none of a service's upstreams can take a request.
fn obstacle(now: Instant, endpoints: &[Rc<Endpoint>]) -> &'static str {
    if endpoints.is_empty() {
        "no upstream"
    } else if endpoints.iter().all(|endpoint| endpoint.replaced.get()) {
        "address of another upstream"
    } else if endpoints.iter().all(|endpoint| endpoint.is_cold(now)) {
        "upstreams are cold"
    } else if endpoints.iter().any(|endpoint| !endpoint.has_room()) {
        "all connections in use"
    } else {
        "all allowed upstreams were tried"
    }
}

impl Drop for Fanout {
    fn drop(&mut self) {
        if self.sendings.is_empty() {
            return;
        }
        let rest = std::mem::take(&mut self.sendings);
        tokio::task::spawn_local(tokio::time::timeout(ABANDON_GRACE, rest.for_each(async |_| {})));
    }
}
