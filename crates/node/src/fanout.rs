//! The attempts for one request: a single part, or one part for each shard of a query.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hedge::{Attempts, Confidence, Failure, Purpose};
use hyper::Method;
use relay::{REQUEST_HEADER, Request};
use table::{Domain, Route, ServiceName};
use tokio::time::{Sleep, sleep_until};

use crate::attempt::{Attempt, Finished, Outgoing, send};
use crate::endpoint::Endpoint;
use crate::exchange::{Completion, Reply};
use crate::latency::Latency;
use crate::metrics::{Metrics, Origin};
use crate::registry::{Registry, Waiting};
use crate::relay_call::{Progress, RelayCall};
use crate::restart;

/// Time for which abandoned attempts may still finish. An attempt that finishes keeps its
/// connection open, and opening another one would take a slot of the upstream.
const ABANDON_GRACE: Duration = Duration::from_millis(300);

/// Minimum delay before another attempt for a part for which no upstream was available. After
/// refusals the delay is half the typical latency if that is longer.
const RETRY_DELAY: Duration = Duration::from_millis(4);

/// Minimum time before the deadline with which a part is sent, because no answer can return in
/// less.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(2);

/// Network time to and from a relay. Parts that are sent through a relay take it in addition to
/// their own latency.
const RELAY_ROUND_TRIP: Duration = Duration::from_millis(4);

/// Fraction of the hedge delay after which a relay returns the answers that it has, so that parts
/// with an answer at the relay are not hedged.
const FLUSH_HEDGE_DELAY_RATIO: f64 = 0.9;

/// Maximum number of parts without an answer that a log line describes.
const MAX_DESCRIBED_PARTS: usize = 4;

/// Ratio of attempts at saturated upstreams, hedges and retries included, to the parts of a query,
/// from which a late or failed query indicates overload. A single slow shard is no reason to admit
/// fewer queries.
const MIN_SATURATED_RATIO: f64 = 0.25;

/// Progress of a request.
#[derive(Debug)]
pub enum Event {
    /// A part was answered.
    Part(usize, Reply),
    /// Parts were answered through a relay: index and signature of each, and their merged records.
    Merged(Vec<(usize, Box<str>)>, Bytes),
    /// A part can no longer get an answer; holds the last error answer of an upstream, if any.
    Lost(usize, Option<Reply>),
    /// The given time was reached.
    Due,
}

struct Part {
    service: ServiceName,
    attempts: Attempts,
    running: Vec<Rc<Endpoint>>,
    refused_by: Vec<Rc<Endpoint>>,
    /// Set while no upstream accepts the part.
    waiting: Option<Waiting>,
    /// Time of the next hedge or retry.
    due: Option<Instant>,
    /// Last error answer of an upstream.
    failure: Option<Reply>,
    /// Start of the first attempt.
    first_sent: Option<Instant>,
    /// What last prevented an answer, for the log.
    obstacle: Option<&'static str>,
    done: bool,
    answered: bool,
    /// Upstream of the last attempt that has ended, with the time that it took.
    last: Option<(Rc<Endpoint>, Duration)>,
    /// Whether the request was counted for the attempt budget of the service.
    counted: bool,
}

enum Completed {
    Attempt(Finished),
    Relay(Progress),
}

/// The attempts for one request.
///
/// Attempts that are in flight when the value is dropped may finish within [`ABANDON_GRACE`].
pub struct Fanout {
    registry: Rc<Registry>,
    metrics: Arc<Metrics>,
    outgoing: Rc<Outgoing>,
    latency: Rc<RefCell<Latency>>,
    parts: Vec<Part>,
    events: VecDeque<Event>,
    /// Number of parts that may still be lost without failing the request.
    spare: usize,
    max_records: usize,
    /// Number of ended attempts at saturated upstreams, hedges and retries included.
    saturated: usize,
    /// Whether the request itself may be the cause of its failures.
    confidence: Confidence,
    /// Failure domains of the upstreams at which attempts failed that may have run.
    failed_domains: BTreeSet<Domain>,
    next_due: Option<Instant>,
    in_flight: FuturesUnordered<LocalBoxFuture<'static, Completed>>,
    timer: Pin<Box<Sleep>>,
}

impl Fanout {
    /// Prepares a request with one part for each service. A successful answer needs at least
    /// `min_parts` parts. Relays return at most `max_records` merged records.
    ///
    /// The first part of a probe is sent alone. The others follow once it is answered, and are lost if
    /// its attempt fails.
    pub fn new(
        registry: Rc<Registry>,
        metrics: Arc<Metrics>,
        outgoing: Rc<Outgoing>,
        route: &Route,
        services: &[ServiceName],
        min_parts: usize,
        max_records: usize,
    ) -> Self {
        let part = |service: &ServiceName| Part {
            service: service.clone(),
            attempts: Attempts::new(route.idempotent, route.attempts),
            running: Vec::new(),
            refused_by: Vec::new(),
            waiting: None,
            due: None,
            failure: None,
            first_sent: None,
            obstacle: None,
            done: false,
            answered: false,
            last: None,
            counted: false,
        };
        let confidence = Confidence::new(services.len(), outgoing.is_probe());
        Self {
            latency: registry.latency(route),
            registry,
            metrics,
            outgoing,
            parts: services.iter().map(part).collect(),
            events: VecDeque::new(),
            spare: services.len().saturating_sub(min_parts),
            max_records,
            saturated: 0,
            confidence,
            failed_domains: BTreeSet::new(),
            next_due: None,
            in_flight: FuturesUnordered::new(),
            timer: Box::pin(sleep_until(Instant::now().into())),
        }
    }

    /// Starts the first attempt for every part. Parts that cannot be sent now are retried after
    /// [`RETRY_DELAY`].
    pub fn start(&mut self, now: Instant) {
        for part in self.open_parts() {
            self.send(now, part);
        }
    }

    /// Starts the first attempt for every part of a query, some of them through relays. A relay
    /// returns the answers that it has in time for the host to receive them by `soft_deadline`.
    pub fn start_query(&mut self, now: Instant, soft_deadline: Instant) {
        // Relays remove the header, also if it came from the caller, and an answer to HEAD has no
        // body that could carry a batch.
        let has_relay_header = self.outgoing.call.headers.contains_key(REQUEST_HEADER);
        if self.outgoing.is_probe() || has_relay_header || self.outgoing.method == Method::HEAD {
            return self.start(now);
        }
        let hedge_delay = self.latency.borrow().hedge_delay();
        let max_flush_timeout =
            soft_deadline.saturating_duration_since(now).saturating_sub(RELAY_ROUND_TRIP);
        let flush_timeout = hedge_delay.mul_f64(FLUSH_HEDGE_DELAY_RATIO).min(max_flush_timeout);
        let preferred = self.registry.relay_domain(now, flush_timeout);
        let mut chosen = Vec::with_capacity(self.parts.len());
        for part in self.open_parts() {
            chosen.extend(
                self.select(now, part, preferred.as_deref()).map(|endpoint| (part, endpoint)),
            );
        }
        let parts = chosen.iter().enumerate();
        let parts = parts.map(|(index, (_, endpoint))| {
            (index, self.relay_domain_of(now, flush_timeout, endpoint))
        });
        let (direct, requests) = relay::plan(parts);
        for (domain, indices) in requests {
            let parts = indices.iter().map(|index| &chosen[*index]);
            self.launch_relayed(now, flush_timeout, domain, parts);
        }
        for index in direct {
            let (part, endpoint) = &chosen[index];
            self.launch(now, *part, endpoint, Origin::FIRST);
        }
    }

    /// Marks a part as lost because none of its upstreams accepts requests in time.
    pub fn skip(&mut self, part: usize) {
        self.mark_lost(part);
        self.parts[part].obstacle = Some("no upstream that accepts requests in time");
    }

    fn open_parts(&self) -> Vec<usize> {
        (0..self.parts.len()).filter(|part| !self.parts[*part].done).collect()
    }

    /// Returns the failure domain of an upstream if a part may be sent to it through a relay there.
    fn relay_domain_of<'a>(
        &self,
        now: Instant,
        flush_timeout: Duration,
        endpoint: &'a Endpoint,
    ) -> Option<&'a str> {
        let domain = &*endpoint.upstream.domain;
        let relayable =
            endpoint.remote && !endpoint.is_cold(now) && endpoint.rate_limit().is_none();
        (relayable && self.registry.has_relay(now, flush_timeout, domain)).then_some(domain)
    }

    /// Returns whether no upstream can have run any part.
    pub fn is_not_run(&self) -> bool {
        self.parts.iter().all(|part| part.attempts.is_not_run())
    }

    /// Returns whether several upstreams in different failure domains have failed and none has answered,
    /// which the loss of one failure domain does not explain.
    pub fn has_failed_everywhere(&self) -> bool {
        self.confidence.has_only_failed() && self.failed_domains.len() > 1
    }

    /// Returns whether so many attempts met saturated upstreams that fewer queries should be
    /// admitted.
    pub fn is_congested(&self) -> bool {
        self.saturated as f64 >= self.parts.len() as f64 * MIN_SATURATED_RATIO
    }

    /// Describes up to [`MAX_DESCRIBED_PARTS`] parts without an answer, or the only part, for the log.
    pub fn describe(&self, now: Instant) -> String {
        let is_single = self.parts.len() == 1;
        let described = self.parts.iter().filter(|part| is_single || !part.answered);
        let describe = |part: &Part| {
            let running = part.running.iter().map(|endpoint| {
                let age = part.first_sent.map_or(0, |sent| (now - sent).as_millis());
                format!("waiting {age} ms for {}", endpoint.upstream.id)
            });
            let mut causes: Vec<String> = running.collect();
            causes.extend(part.obstacle.map(Into::into));
            causes.extend(part.last.as_ref().filter(|_| is_single).map(|(endpoint, time)| {
                format!("last attempt {} ms at {}", time.as_millis(), endpoint.upstream.id)
            }));
            format!("{}: {}", part.service, causes.join(", "))
        };
        described.take(MAX_DESCRIBED_PARTS).map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Returns the next event; [`Event::Due`] once `until` is reached.
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
                Some(completed) = self.in_flight.next() => match completed {
                    Completed::Attempt(finished) => {
                        let event = self.handle_finished(Instant::now(), finished);
                        self.events.extend(event);
                    }
                    Completed::Relay(progress) => self.handle_progress(Instant::now(), progress),
                },
                () = self.timer.as_mut() => {
                    let now = Instant::now();
                    if now >= until {
                        return Event::Due;
                    }
                    if let Some(lost) = self.run_due(now) {
                        return Event::Lost(lost, None);
                    }
                }
            }
        }
    }

    /// Sends the hedges and retries that are due; returns a part that was lost in doing so.
    fn run_due(&mut self, now: Instant) -> Option<usize> {
        self.next_due = None;
        let mut lost = None;
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            let Some(due) = part.due.filter(|_| !part.done) else { continue };
            if due > now || lost.is_some() {
                self.set_timer(due);
                continue;
            }
            part.due = None;
            if part.attempts.is_running() {
                self.hedge(now, index);
            } else if !self.send(now, index) {
                self.mark_lost(index);
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
        if !self.confidence.allows_hedge(now) {
            return self.schedule(now + RETRY_DELAY, index);
        }
        let endpoints = self.registry.endpoints(&part.service);
        restart::start_checks(now, &endpoints, &self.metrics);
        let others = endpoints.iter().filter(|endpoint| {
            part.attempts.may_send(&endpoint.upstream.id)
                && !part.running.iter().any(|running| Rc::ptr_eq(running, endpoint))
                && !endpoint.replica.borrow().is_ejected(now)
        });
        let typical = self.latency.borrow().typical();
        let Some(endpoint) = self.registry.choose(now, typical, others, None) else {
            self.parts[index].obstacle = Some("no other upstream available for a hedge");
            return;
        };
        if !self.registry.try_take_extra(now, &part.service, Purpose::Hedge) {
            self.metrics.extra_attempts_denied.inc();
            self.parts[index].obstacle = Some("attempt budget exhausted before a hedge");
            return;
        }
        self.metrics.hedges.inc();
        self.confidence.hedged(now, self.latency.borrow().hedge_delay());
        self.launch(now, index, &endpoint, Origin::HEDGE);
    }

    /// Starts an attempt for a part that has none in flight, or schedules it for later. Returns
    /// false if the part can no longer get an answer.
    fn send(&mut self, now: Instant, index: usize) -> bool {
        if now + MIN_REMAINING_TIME >= self.outgoing.deadline {
            return false;
        }
        if self.confidence.is_doubtful() {
            // An answer to any part shows that the request is not the cause of the failures.
            if self.parts.iter().any(|part| part.attempts.is_running()) {
                self.schedule(now + RETRY_DELAY, index);
                return true;
            }
            if self.confidence.is_lost() {
                self.parts[index].obstacle.get_or_insert("no part of the query was answered");
                return false;
            }
        }
        let Some(endpoint) = self.select(now, index, None) else {
            return !self.registry.is_gone(&self.parts[index].service);
        };
        let part = &mut self.parts[index];
        let purpose = if self.spare > 0 { Purpose::OptionalRetry } else { Purpose::RequiredRetry };
        if part.attempts.is_extra() && !self.registry.try_take_extra(now, &part.service, purpose) {
            self.metrics.extra_attempts_denied.inc();
            part.obstacle = Some("attempt budget exhausted before a retry");
            return false;
        }
        let origin = if part.first_sent.is_some() { Origin::RETRY } else { Origin::FIRST };
        self.launch(now, index, &endpoint, origin);
        true
    }

    /// Chooses an upstream for a part, at a lower cost for those in the domain `preferred`. If none
    /// is available, schedules another attempt.
    fn select(
        &mut self,
        now: Instant,
        index: usize,
        preferred: Option<&str>,
    ) -> Option<Rc<Endpoint>> {
        let part = &mut self.parts[index];
        if !part.counted {
            part.counted = true;
            self.registry.count_request(now, &part.service);
        }
        let endpoints = self.registry.endpoints(&part.service);
        restart::start_checks(now, &endpoints, &self.metrics);
        let allowed = endpoints.iter().filter(|endpoint| {
            part.attempts.may_send(&endpoint.upstream.id)
                && !part.refused_by.iter().any(|refused| Rc::ptr_eq(refused, endpoint))
        });
        let typical = self.latency.borrow().typical();
        let chosen = self.registry.choose(now, typical, allowed, preferred);
        part.waiting = None;
        if chosen.is_none() {
            part.waiting = Some(self.registry.wait(&part.service));
            let mut delay = RETRY_DELAY;
            if part.refused_by.is_empty() {
                part.obstacle = Some(describe_obstacle(now, &endpoints));
            } else {
                // An upstream that refused a request can accept one once one of its requests has
                // ended.
                part.refused_by.clear();
                delay = delay.max(typical / 2);
            }
            self.schedule(now + delay, index);
        }
        chosen
    }

    fn schedule(&mut self, due: Instant, index: usize) {
        self.parts[index].due = Some(due);
        self.set_timer(due);
    }

    fn set_timer(&mut self, due: Instant) {
        self.next_due = Some(self.next_due.map_or(due, |next| next.min(due)));
    }

    fn launch(&mut self, now: Instant, index: usize, endpoint: &Rc<Endpoint>, origin: Origin) {
        let hedge_delay = self.latency.borrow().hedge_delay();
        let attempt = self.begin_attempt(now, index, endpoint, hedge_delay);
        let (outgoing, metrics) = (Rc::clone(&self.outgoing), Arc::clone(&self.metrics));
        let finished = send(now, index, origin, attempt, outgoing, metrics);
        self.in_flight.push(Box::pin(async { Completed::Attempt(finished.await) }));
    }

    /// Sends parts through a relay of `domain`, or directly if none is available.
    fn launch_relayed<'a>(
        &mut self,
        now: Instant,
        flush_timeout: Duration,
        domain: &str,
        parts: impl Iterator<Item = &'a (usize, Rc<Endpoint>)>,
    ) {
        let Some(peer) = self.registry.relay(now, flush_timeout, domain) else {
            for (part, endpoint) in parts {
                self.launch(now, *part, endpoint, Origin::FIRST);
            }
            return;
        };
        let hedge_delay = self.latency.borrow().hedge_delay();
        let mut upstreams = Vec::new();
        let mut attempts = Vec::new();
        for (part, endpoint) in parts {
            upstreams.push(endpoint.upstream.id.clone());
            attempts.push((
                *part,
                self.begin_attempt(now, *part, endpoint, hedge_delay + RELAY_ROUND_TRIP),
            ));
        }
        let request = Request { flush: flush_timeout, max_records: self.max_records, upstreams };
        let call = RelayCall::new(now, &peer, &self.outgoing, &self.metrics, request, attempts);
        self.in_flight.push(Box::pin(async { Completed::Relay(call.next().await) }));
    }

    /// Records the start of an attempt that may be hedged after `hedge_delay`.
    fn begin_attempt(
        &mut self,
        now: Instant,
        index: usize,
        endpoint: &Rc<Endpoint>,
        hedge_delay: Duration,
    ) -> Attempt {
        let part = &mut self.parts[index];
        part.attempts.sent(&endpoint.upstream.id);
        part.running.push(Rc::clone(endpoint));
        part.first_sent.get_or_insert(now);
        if part.attempts.may_hedge() {
            self.schedule(now + hedge_delay, index);
        }
        Attempt::begin(now, endpoint, &self.latency, &self.metrics)
    }

    /// Processes an answer of a relay.
    fn handle_progress(&mut self, now: Instant, progress: Progress) {
        if let Some(call) = progress.remaining {
            self.in_flight.push(Box::pin(async { Completed::Relay(call.next().await) }));
        }
        let mut merged = Vec::new();
        for finished in progress.finished {
            if let Completion::Merged { stamp, .. } = &finished.completion {
                // The part counts as merged even if a hedge was faster, because its records cannot
                // be separated from the others.
                merged.push((finished.part, stamp.clone()));
            }
            let event = self.handle_finished(now, finished);
            self.events.extend(event);
        }
        if !merged.is_empty() {
            self.events.push_back(Event::Merged(merged, progress.records));
        }
    }

    /// Processes the end of an attempt; returns an event if it answers or loses the part.
    fn handle_finished(&mut self, now: Instant, finished: Finished) -> Option<Event> {
        let Finished { part: index, endpoint, completion, time } = finished;
        self.saturated += usize::from(completion.is_saturated());
        let part = &mut self.parts[index];
        part.running.retain(|running| !Rc::ptr_eq(running, &endpoint));
        if part.done {
            return None;
        }
        part.last = Some((Rc::clone(&endpoint), time));
        let end = match completion {
            Completion::Replied(reply) if reply.is_usable() => {
                part.done = true;
                part.answered = true;
                self.confidence.answered();
                return Some(Event::Part(index, reply));
            }
            Completion::Merged { .. } => {
                part.done = true;
                part.answered = true;
                self.confidence.answered();
                return None;
            }
            Completion::Replied(reply) => {
                part.failure = Some(reply);
                Failure::Unknown
            }
            Completion::Refused { .. } => {
                part.obstacle = Some("refused");
                part.refused_by.push(Rc::clone(&endpoint));
                Failure::Refused
            }
            Completion::Withheld => {
                part.obstacle = Some("upstream is cold or was checked");
                Failure::Withheld
            }
            Completion::Unsent => Failure::Unsent,
            Completion::Broken { cause } | Completion::Unknown { cause } => {
                part.obstacle = Some(cause);
                log::debug!(
                    request = self.outgoing.call.id_text(),
                    upstream = endpoint.upstream.id,
                    cause;
                    "attempt ended without a usable answer"
                );
                Failure::Unknown
            }
        };
        if end == Failure::Unknown {
            self.confidence.failed();
            self.failed_domains.insert(endpoint.upstream.domain.clone());
        }
        let may_retry = part.attempts.ended(&endpoint.upstream.id, end);
        if part.attempts.is_running() || may_retry && self.send(now, index) {
            return None;
        }
        self.mark_lost(index);
        Some(Event::Lost(index, self.parts[index].failure.take()))
    }

    fn mark_lost(&mut self, index: usize) {
        self.parts[index].done = true;
        self.parts[index].waiting = None;
        self.spare = self.spare.saturating_sub(1);
    }
}

/// Describes why none of the upstreams of a service can be sent a request.
fn describe_obstacle(now: Instant, endpoints: &[Rc<Endpoint>]) -> &'static str {
    if endpoints.is_empty() {
        "no upstream registered"
    } else if endpoints.iter().all(|endpoint| endpoint.replaced.get()) {
        "address now belongs to another upstream"
    } else if endpoints.iter().all(|endpoint| endpoint.may_have_restarted()) {
        "all upstreams were lost and may have restarted"
    } else if endpoints.iter().all(|endpoint| endpoint.is_cold(now)) {
        "all upstreams are warming up"
    } else if endpoints.iter().all(|endpoint| !endpoint.replica.borrow().is_usable(now)) {
        "all upstreams limit the rate of requests or want a pause"
    } else if endpoints.iter().any(|endpoint| !endpoint.has_room()) {
        "connection limit reached or address reassigned at one or more upstreams"
    } else {
        "all allowed upstreams were attempted"
    }
}

impl Drop for Fanout {
    fn drop(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let abandoned = std::mem::take(&mut self.in_flight);
        tokio::task::spawn_local(tokio::time::timeout(
            ABANDON_GRACE,
            abandoned.for_each(async |_| {}),
        ));
    }
}
