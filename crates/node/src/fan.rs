//! The sendings of one request: one part, or one for each shard of a query.

use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hedge::{Attempts, End, Need};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Uri};
use pick::{Outcome, Token};
use platform::Call;
use table::{Route, ServiceName};
use tokio::time::{Sleep, sleep_until};

use crate::exchange::{Ended, Reply, exchange};
use crate::fleet::{Fleet, Pace};
use crate::member::Member;
use crate::metrics::Metrics;

/// Time for which a sending goes on that nobody waits for any more. Letting a short one finish
/// keeps its connection, which costs an upstream's slot to open again.
const ABANDON_GRACE: Duration = Duration::from_millis(300);

/// Time after which a part that could not be sent is tried again.
const PARK_TIME: Duration = Duration::from_millis(4);

/// Time left below which a part is not sent, since no answer can come back in it.
const LEAST_LEFT: Duration = Duration::from_millis(2);

/// Parts without an answer that a log line names.
const MOST_DESCRIBED: usize = 4;

/// Time without an answer, in typical times, after which an upstream counts as lost.
const SILENCE_RATIO: u32 = 10;

/// Added to that time, for pauses of upstreams that last a tenth of a second or two.
const SILENCE_MARGIN: Duration = Duration::from_millis(200);

/// Part of the parts whose upstreams had requests waiting from which a late query shows overload; one
/// shard alone that is slow is no reason to let fewer queries in.
const CONGESTED_SHARE: f64 = 0.25;

/// A request as it is sent to upstreams.
pub struct Outgoing {
    /// What the caller's headers say.
    pub call: Call,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its whole body.
    pub body: Bytes,
    /// When the caller gets a final answer in any case.
    pub end: Instant,
}

/// What comes of the sendings.
#[derive(Debug)]
pub enum Event {
    /// A part has its answer.
    Part(usize, Reply),
    /// A part cannot get an answer any more; the last failure that an upstream gave for it.
    Lost(usize, Option<Reply>),
    /// The given time has come.
    Due,
}

struct Part {
    service: ServiceName,
    attempts: Attempts,
    running: Vec<Rc<Member>>,
    refused_by: Vec<Rc<Member>>,
    due: Option<Instant>,
    failure: Option<Reply>,
    sent: Option<Instant>,
    trouble: Option<&'static str>,
    done: bool,
    answered: bool,
    counted: bool,
}

struct Finished {
    part: usize,
    member: Rc<Member>,
    ended: Ended,
}

/// The sendings of one request.
pub struct Fan {
    fleet: Rc<Fleet>,
    metrics: std::sync::Arc<Metrics>,
    outgoing: Rc<Outgoing>,
    pace: Rc<std::cell::RefCell<Pace>>,
    parts: Vec<Part>,
    spare: usize,
    queued: usize,
    next_due: Option<Instant>,
    sendings: FuturesUnordered<LocalBoxFuture<'static, Finished>>,
    timer: Pin<Box<Sleep>>,
}

impl Fan {
    /// Prepares sendings to one upstream of each service, of which the answer needs `least`.
    pub fn new(
        fleet: Rc<Fleet>,
        metrics: std::sync::Arc<Metrics>,
        outgoing: Outgoing,
        route: &Route,
        services: &[ServiceName],
        least: usize,
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
            pace: fleet.pace(route),
            fleet,
            metrics,
            outgoing: Rc::new(outgoing),
            parts: services.iter().map(part).collect(),
            spare: services.len().saturating_sub(least),
            queued: 0,
            next_due: None,
            sendings: FuturesUnordered::new(),
            timer: Box::pin(sleep_until(Instant::now().into())),
        }
    }

    /// Sends every part for the first time; those that cannot be sent now are tried again soon.
    pub fn start(&mut self, now: Instant) {
        for part in 0..self.parts.len() {
            self.send(now, part);
        }
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
            let running = part.running.iter().map(|member| {
                let age = part.sent.map_or(0, |sent| (now - sent).as_millis());
                format!("waits {age} ms for {}", member.upstream.id)
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
            let due = self.next_due.map_or(until, |due| due.min(until)).into();
            if self.timer.deadline() != due {
                self.timer.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                Some(finished) = self.sendings.next() => {
                    if let Some(event) = self.finish(Instant::now(), finished) {
                        return event;
                    }
                }
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
        let members = self.fleet.members(&part.service);
        let others = members.iter().filter(|member| {
            part.attempts.may_send(&member.upstream.id)
                && !part.running.iter().any(|running| Rc::ptr_eq(running, member))
                && !member.replica.borrow().is_away(now)
        });
        let typical = self.pace.borrow().typical();
        let Some(member) = self.fleet.choose(now, typical, others) else {
            self.parts[index].trouble = Some("no other upstream for a hedge");
            return;
        };
        if !self.fleet.take_extra(now, &part.service, Need::Straggler) {
            self.metrics.extras_denied.inc();
            self.parts[index].trouble = Some("no allowance for a hedge");
            return;
        }
        self.metrics.hedges.inc();
        self.launch(now, index, member);
    }

    /// Sends a part that is not running; returns false when it cannot get an answer any more.
    fn send(&mut self, now: Instant, index: usize) -> bool {
        let part = &mut self.parts[index];
        if now + LEAST_LEFT >= self.outgoing.end {
            return false;
        }
        if !part.counted {
            part.counted = true;
            self.fleet.count_request(now, &part.service);
        }
        let members = self.fleet.members(&part.service);
        let allowed = members.iter().filter(|member| {
            part.attempts.may_send(&member.upstream.id)
                && !part.refused_by.iter().any(|refused| Rc::ptr_eq(refused, member))
        });
        let typical = self.pace.borrow().typical();
        let Some(member) = self.fleet.choose(now, typical, allowed) else {
            if part.refused_by.is_empty() {
                part.trouble = Some("no upstream with room");
                self.park(now + PARK_TIME, index);
            } else {
                // A full upstream has room again when one of its requests has ended.
                part.refused_by.clear();
                self.park(now + (typical / 2).max(PARK_TIME), index);
            }
            return true;
        };
        let need = if self.spare > 0 { Need::Spare } else { Need::Answer };
        if part.attempts.is_extra() && !self.fleet.take_extra(now, &part.service, need) {
            self.metrics.extras_denied.inc();
            part.trouble = Some("no allowance for a retry");
            return false;
        }
        self.launch(now, index, member);
        true
    }

    fn park(&mut self, due: Instant, index: usize) {
        self.parts[index].due = Some(due);
        self.wake_at(due);
    }

    fn wake_at(&mut self, due: Instant) {
        self.next_due = Some(self.next_due.map_or(due, |next| next.min(due)));
    }

    fn launch(&mut self, now: Instant, index: usize, member: Rc<Member>) {
        let (hedge, typical) = {
            let pace = self.pace.borrow();
            (pace.hedge(), pace.typical())
        };
        let part = &mut self.parts[index];
        part.attempts.sent(&member.upstream.id);
        part.running.push(Rc::clone(&member));
        part.sent.get_or_insert(now);
        if part.attempts.may_hedge() {
            let due = now + hedge;
            part.due = Some(due);
            self.wake_at(due);
        }
        let token = member.replica.borrow_mut().begin(now);
        let sending = Sending {
            part: index,
            member,
            outgoing: Rc::clone(&self.outgoing),
            pace: Rc::clone(&self.pace),
            metrics: std::sync::Arc::clone(&self.metrics),
            token,
            typical,
        };
        self.sendings.push(Box::pin(sending.run(now)));
    }

    /// Takes the end of a sending; returns what it means for the whole request.
    fn finish(&mut self, now: Instant, finished: Finished) -> Option<Event> {
        let Finished { part: index, member, ended } = finished;
        self.queued += usize::from(ended.shows_queue());
        let part = &mut self.parts[index];
        part.running.retain(|running| !Rc::ptr_eq(running, &member));
        if part.done {
            return None;
        }
        let end = match ended {
            Ended::Replied(reply) if reply.is_final() => {
                part.done = true;
                part.answered = true;
                return Some(Event::Part(index, reply));
            }
            Ended::Replied(reply) => {
                part.failure = Some(reply);
                End::Unknown
            }
            Ended::Refused { .. } => {
                part.trouble = Some("refused");
                part.refused_by.push(Rc::clone(&member));
                End::Refused
            }
            Ended::Unsent => End::Unsent,
            Ended::Unknown { cause } => {
                part.trouble = Some(cause);
                log::debug!(
                    request = self.outgoing.call.id_text(),
                    upstream = member.upstream.id,
                    cause;
                    "sending without an answer"
                );
                End::Unknown
            }
        };
        let may_retry = part.attempts.ended(&member.upstream.id, end);
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

impl Ended {
    /// Returns whether the upstream had more to do than it has slots.
    fn shows_queue(&self) -> bool {
        match self {
            Self::Replied(reply) => reply.answer.load.is_some_and(|(_, waiting)| waiting > 0),
            Self::Refused { replaced } => !replaced,
            Self::Unsent | Self::Unknown { .. } => false,
        }
    }
}

impl Reply {
    /// Returns whether another upstream would not do better.
    fn is_final(&self) -> bool {
        !self.status.is_server_error() && self.answer.stamp.is_some() && !self.answer.encoded
    }
}

/// One sending.
struct Sending {
    part: usize,
    member: Rc<Member>,
    outgoing: Rc<Outgoing>,
    pace: Rc<std::cell::RefCell<Pace>>,
    metrics: std::sync::Arc<Metrics>,
    token: Token,
    typical: Duration,
}

impl Sending {
    async fn run(self, sent: Instant) -> Finished {
        let id: &HeaderValue = &self.outgoing.call.id;
        let mut watch = Watch { sending: &self, sent, ended: false };
        let ended = exchange(&self.member, self.request(sent), id, &self.metrics).await;
        watch.ended = true;
        self.learn(Instant::now(), sent.elapsed(), Some(&ended));
        drop(watch);
        Finished { part: self.part, member: self.member, ended }
    }

    fn request(&self, now: Instant) -> Request<Full<Bytes>> {
        let left = self.outgoing.end.saturating_duration_since(now);
        let headers = platform::head(&self.outgoing.call, &self.member.upstream.id, left);
        let mut request = Request::new(Full::new(self.outgoing.body.clone()));
        *request.method_mut() = self.outgoing.method.clone();
        *request.uri_mut() = self.outgoing.target.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Records what the end says about the upstream.
    fn learn(&self, now: Instant, time: Duration, ended: Option<&Ended>) {
        let (outcome, name) = match ended {
            Some(Ended::Replied(reply)) => {
                if let Some((running, waiting)) = reply.answer.load {
                    self.member.replica.borrow_mut().report(now, running, waiting);
                }
                if reply.is_final() {
                    self.pace.borrow_mut().record(now, time);
                    (Outcome::Answered { time, typical: self.typical }, "answered")
                } else {
                    (Outcome::Failed, "failed")
                }
            }
            Some(Ended::Refused { replaced }) => {
                self.member.replaced.set(self.member.replaced.get() || *replaced);
                (Outcome::Refused, if *replaced { "replaced" } else { "refused" })
            }
            Some(Ended::Unsent) => (Outcome::Lost, "unsent"),
            Some(Ended::Unknown { .. }) => (Outcome::Failed, "unknown"),
            None if time > self.typical * SILENCE_RATIO + SILENCE_MARGIN => {
                (Outcome::Lost, "silent")
            }
            None => (Outcome::Abandoned, "abandoned"),
        };
        self.metrics.sending(name);
        self.member.replica.borrow_mut().end(now, self.token, outcome);
    }
}

/// Records a sending that is given up before it has ended.
struct Watch<'a> {
    sending: &'a Sending,
    sent: Instant,
    ended: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.sending.learn(Instant::now(), self.sent.elapsed(), None);
        }
    }
}

impl Drop for Fan {
    fn drop(&mut self) {
        if self.sendings.is_empty() {
            return;
        }
        let rest = std::mem::take(&mut self.sendings);
        tokio::task::spawn_local(tokio::time::timeout(ABANDON_GRACE, rest.for_each(async |_| {})));
    }
}
