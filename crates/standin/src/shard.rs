//! A stand-in upstream for `pistachio-node`: slots, a short queue, an instance id and signed
//! answers.
//!
//! HTTP is read and written without a library, so that faults can violate the protocol.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::platform::names::{
    DEADLINE, EXPECT_INSTANCE, INSTANCE, LEAVING, LIMIT, LOAD, NOT_EXECUTED, REQUEST_ID, STAMP,
    WARMUP,
};
use hyper::header::RETRY_AFTER;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::listener::serve_while_up;
use crate::port::loopback;

/// Number of requests that may wait for a slot unless it is set; further ones are refused.
const MAX_WAITING: usize = 12;

/// Path of the health check, which counts neither as a request nor as a run.
const HEALTH_PATH: &str = "/health";

/// Fault that an upstream injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses every request with 503 as not executed.
    Shed,
    /// Runs every request and answers 500.
    Error,
    /// Runs every request and closes the connection instead of answering.
    Lose,
    /// Closes the connection before the whole body announced by `content-length` is sent.
    Truncate,
    /// Sends a second answer, with the id of another request, after each answer.
    Double,
    /// Reads requests and never answers them.
    Silent,
    /// Sends headers without end until the connection is closed.
    EndlessHead,
    /// Sends a body without end until the connection is closed.
    EndlessBody,
    /// Refuses the first request on each connection with 503 as not executed.
    RefuseFirst,
    /// Runs every request and answers with this status line.
    StatusLine(&'static str),
    /// Runs every request and answers with this status line and the statement that it was not executed.
    FalseRefusal(&'static str),
}

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Request id, which identifies an attempt of the caller.
    pub id: Box<str>,
    /// Request line as received.
    pub line: Box<str>,
    /// Body as received.
    pub body: Box<[u8]>,
    /// Time that the sender still waits, in milliseconds, if it is stated.
    pub deadline_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    fault: Fault,
    instance: Box<str>,
    running: usize,
    waiting: usize,
    max_waiting: usize,
    slots: usize,
    service_time: Duration,
    rate_limit: Option<f64>,
    /// Whether answers do not echo the id of the request.
    anonymous: bool,
    /// Share of the answers that are sent a second time.
    repeated: f64,
    /// Part of an answer that is still to be repeated.
    repeat_credit: f64,
    leaving: bool,
    /// Time that refusals ask for without requests.
    pause: Option<Duration>,
    /// Time that a health check takes.
    health_time: Duration,
    /// Time until which health checks state that the upstream is cold.
    cold_until: Option<Instant>,
    records: Box<[u8]>,
    runs: Vec<Run>,
    arrivals: usize,
    /// Text in the request line of requests at which the upstream crashes.
    crash_on: Option<Box<str>>,
    crashes: usize,
}

/// A handle on a running stand-in upstream; clones refer to the same upstream.
#[derive(Clone)]
pub struct Shard {
    address: SocketAddr,
    /// The state, and a channel that signals each freed slot.
    shared: Arc<(Mutex<State>, watch::Sender<u64>)>,
    /// Whether the upstream runs: it does not between a crash and the restart.
    up: Arc<watch::Sender<bool>>,
}

/// A request as read from a connection.
struct Message {
    line: Box<str>,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Box<[u8]>,
}

impl Shard {
    /// Starts an upstream with two slots on a free loopback port.
    ///
    /// `instance` is the instance id of the upstream, `service_time` the time that a request runs,
    /// and `records` the body of each answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start(instance: &str, service_time: Duration, records: &[u8]) -> Result<Self> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let address = listener.local_addr()?;
        let state = State {
            instance: instance.into(),
            slots: 2,
            max_waiting: MAX_WAITING,
            service_time,
            records: records.into(),
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), watch::channel(0).0));
        let shard = Self { address, shared, up: Arc::new(watch::channel(true).0) };
        tokio::spawn(shard.clone().serve(listener));
        Ok(shard)
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of requests that arrive from now on; [`Fault::None`] ends it.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Changes the instance id, as when another upstream takes over the address.
    pub fn set_instance(&self, instance: &str) {
        self.state().instance = instance.into();
    }

    /// Sets the time that a request runs.
    pub fn set_service_time(&self, service_time: Duration) {
        self.state().service_time = service_time;
    }

    /// Sets the number of requests that run at a time.
    pub fn set_slots(&self, slots: usize) {
        self.state().slots = slots;
    }

    /// Sets the number of requests that may wait for a slot; further ones are refused.
    pub fn set_max_waiting(&self, max_waiting: usize) {
        self.state().max_waiting = max_waiting;
    }

    /// Sets the rate limit that answers state, in requests per second. It is not enforced.
    pub fn set_rate_limit(&self, rate_limit: Option<f64>) {
        self.state().rate_limit = rate_limit;
    }

    /// Sets whether answers do not echo the id of the request.
    pub fn set_anonymous(&self, anonymous: bool) {
        self.state().anonymous = anonymous;
    }

    /// Sets the share of the answers, refusals included, of which a second copy comes late: on the same
    /// connection, before the next answer.
    pub fn set_repeated(&self, share: f64) {
        self.state().repeated = share;
    }

    /// Sets whether all answers state that the upstream is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving = leaving;
    }

    /// Sets the time without requests that refusals ask for.
    pub fn set_pause(&self, pause: Option<Duration>) {
        self.state().pause = pause;
    }

    /// Makes the upstream crash at the end of each request whose request line contains `text`: it
    /// closes all connections and refuses new ones until [`restart`](Self::restart).
    pub fn set_crash_on(&self, text: &str) {
        self.state().crash_on = Some(text.into());
    }

    /// Closes all connections and refuses new ones until [`restart`](Self::restart).
    pub fn crash(&self) {
        self.up.send_replace(false);
    }

    /// Sets the time that a health check takes.
    pub fn set_health_time(&self, time: Duration) {
        self.state().health_time = time;
    }

    /// Sets the time for which health checks state that the upstream is cold.
    pub fn set_cold_for(&self, time: Duration) {
        self.state().cold_until = Some(Instant::now() + time);
    }

    /// Accepts connections again after a crash, under the given instance id.
    pub fn restart(&self, instance: &str) {
        self.set_instance(instance);
        self.up.send_replace(true);
    }

    /// Returns how often the upstream has crashed.
    pub fn crashes(&self) -> usize {
        self.state().crashes
    }

    /// Returns the requests that have started to run, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns whether the request with this id has started to run.
    pub fn has_run(&self, id: &str) -> bool {
        self.state().runs.iter().any(|run| &*run.id == id)
    }

    /// Returns the number of requests that arrived, including refused ones.
    pub fn arrivals(&self) -> usize {
        self.state().arrivals
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.state().running
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections while the upstream is up.
    async fn serve(self, listener: TcpListener) {
        let up = self.up.subscribe();
        serve_while_up(self.address, listener, up, |up| *up, |stream| self.accept(stream)).await;
    }

    fn accept(&self, stream: TcpStream) {
        let shard = self.clone();
        let mut up = self.up.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                // I/O errors are ignored, since many tests break connections on purpose.
                result = shard.serve_connection(stream) => result.ok(),
                _ = up.wait_for(|up| !up) => None,
            }
        });
    }

    async fn serve_connection(&self, stream: TcpStream) -> Result<()> {
        // An answer must not wait for the host to confirm the bytes before it.
        stream.set_nodelay(true)?;
        let mut link = Link { shard: self, stream, requests: 0, late: Vec::new() };
        let mut buffer = Vec::new();
        while let Some(message) = read(&mut link.stream, &mut buffer).await? {
            if !self.answer(&mut link, &message).await? {
                break;
            }
        }
        Ok(())
    }

    /// Returns whether an answer is to be sent a second time.
    fn is_repeated(&self) -> bool {
        let mut state = self.state();
        state.repeat_credit += state.repeated;
        let repeated = state.repeat_credit >= 1.0;
        state.repeat_credit -= f64::from(u8::from(repeated));
        repeated
    }

    /// Answers one request; returns whether the connection stays open.
    async fn answer(&self, link: &mut Link<'_>, message: &Message) -> Result<bool> {
        if message.line.split(' ').nth(1) == Some(HEALTH_PATH) {
            return self.answer_health(&mut link.stream).await;
        }
        link.requests += 1;
        let id = message.header(REQUEST_ID.as_str()).unwrap_or_default();
        let expected = message.header(EXPECT_INSTANCE.as_str());
        let (fault, instance, full, leaving, pause, echo) = {
            let mut state = self.state();
            state.arrivals += 1;
            let full = state.running >= state.slots && state.waiting >= state.max_waiting;
            let leaving = if state.leaving { format!("{LEAVING}: 1\r\n") } else { String::new() };
            let echo =
                if state.anonymous { String::new() } else { format!("{REQUEST_ID}: {id}\r\n") };
            (state.fault, state.instance.clone(), full, leaving, state.pause, echo)
        };
        if expected.is_some_and(|expected| *expected != *instance) {
            let head = format!("HTTP/1.1 421 Misdirected\r\n{echo}{INSTANCE}: {instance}\r\n");
            return link.write(&head, b"").await.map(|()| true);
        }
        let refuses = fault == Fault::Shed || fault == Fault::RefuseFirst && link.requests == 1;
        if refuses || full {
            let pause = pause.map_or_else(String::new, |pause| {
                format!("{RETRY_AFTER}: {}\r\n", pause.as_secs_f64())
            });
            let head = format!("HTTP/1.1 503 Busy\r\n{echo}{NOT_EXECUTED}: 1\r\n{leaving}{pause}");
            return link.write(&head, b"").await.map(|()| true);
        }
        if fault == Fault::Silent {
            std::future::pending::<()>().await;
        }
        let ok = format!("HTTP/1.1 200 OK\r\n{echo}{STAMP}: {instance}\r\n");
        if fault == Fault::EndlessHead {
            return endless(&mut link.stream, &ok, "filler: 0123456789abcdef\r\n").await;
        }
        if fault == Fault::EndlessBody {
            return endless(&mut link.stream, &format!("{ok}\r\n"), "0123456789abcdef").await;
        }
        let _slot = self.acquire_slot().await;
        let (service_time, rate_limit, records) = {
            let mut state = self.state();
            let deadline = message.header(DEADLINE.as_str());
            let run = Run {
                id: id.into(),
                line: message.line.clone(),
                body: message.body.clone(),
                deadline_ms: deadline.and_then(|text| text.parse().ok()),
            };
            state.runs.push(run);
            (state.service_time, state.rate_limit, state.records.clone())
        };
        tokio::time::sleep(service_time).await;
        if self.crash_at(&message.line) {
            return Ok(false);
        }
        let line = match fault {
            Fault::Error => "HTTP/1.1 500 Failed",
            Fault::StatusLine(line) | Fault::FalseRefusal(line) => line,
            _ => "HTTP/1.1 200 OK",
        };
        let refusal = if matches!(fault, Fault::FalseRefusal(_)) {
            format!("{NOT_EXECUTED}: 1\r\n")
        } else {
            String::new()
        };
        let stamp = format!("{instance}.{id}.{}", records.len());
        let limit = rate_limit.map_or_else(String::new, |rate| format!("{LIMIT}: {rate}\r\n"));
        let head = format!(
            "{line}\r\n{echo}{refusal}{STAMP}: {stamp}\r\n{LOAD}: 1,0,2\r\n{limit}{leaving}"
        );
        match fault {
            Fault::Lose => Ok(false),
            Fault::Truncate => {
                let length = records.len() + 16;
                let head = format!("{head}content-length: {length}\r\n\r\n");
                link.stream.write_all(head.as_bytes()).await?;
                link.stream.write_all(&records).await?;
                Ok(false)
            }
            Fault::Double => {
                link.write(&head, &records).await?;
                let other = format!("HTTP/1.1 200 OK\r\n{REQUEST_ID}: other\r\n{STAMP}: other\r\n");
                write(&mut link.stream, &other, b"not for this request").await?;
                Ok(true)
            }
            _ => link.write(&head, &records).await.map(|()| true),
        }
    }

    async fn answer_health(&self, stream: &mut TcpStream) -> Result<bool> {
        let (instance, cold_until, health_time) = {
            let state = self.state();
            (state.instance.clone(), state.cold_until, state.health_time)
        };
        tokio::time::sleep(health_time).await;
        let left = cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        let warmup = left.filter(|left| !left.is_zero());
        let warmup =
            warmup.map_or_else(String::new, |left| format!("{WARMUP}: {}\r\n", left.as_millis()));
        let head = format!("HTTP/1.1 200 OK\r\n{INSTANCE}: {instance}\r\n{warmup}");
        write(stream, &head, b"").await.map(|()| true)
    }

    /// Crashes if the request with this request line is one to crash at; returns whether it is.
    fn crash_at(&self, line: &str) -> bool {
        {
            let mut state = self.state();
            if !state.crash_on.as_deref().is_some_and(|text| line.contains(text)) {
                return false;
            }
            state.crashes += 1;
        }
        self.up.send_replace(false);
        true
    }

    /// Waits for a slot, which the returned guard frees when it is dropped.
    async fn acquire_slot(&self) -> Slot<'_> {
        let mut freed = self.shared.1.subscribe();
        self.state().waiting += 1;
        loop {
            {
                let mut state = self.state();
                if state.running < state.slots {
                    state.waiting -= 1;
                    state.running += 1;
                    return Slot(self);
                }
            }
            // The sender lives as long as the upstream, so this cannot fail.
            let _ = freed.changed().await;
        }
    }
}

struct Slot<'a>(&'a Shard);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
        self.0.shared.1.send_modify(|count| *count += 1);
    }
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(key, _)| **key == *name);
        header.map(|(_, value)| &**value)
    }
}

/// A connection of a host to the upstream.
struct Link<'a> {
    shard: &'a Shard,
    stream: TcpStream,
    /// Number of requests that were read, without health checks.
    requests: usize,
    /// Copy of an answer, to be sent before the next one.
    late: Vec<u8>,
}

impl Link<'_> {
    /// Sends the copy of an earlier answer, if there is one, and then an answer.
    async fn write(&mut self, head: &str, body: &[u8]) -> Result<()> {
        let answer = message(head, body);
        let late = if self.shard.is_repeated() { answer.clone() } else { Vec::new() };
        let late = std::mem::replace(&mut self.late, late);
        self.stream.write_all(&[late, answer].concat()).await
    }
}

async fn write(stream: &mut TcpStream, head: &str, body: &[u8]) -> Result<()> {
    stream.write_all(&message(head, body)).await
}

fn message(head: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{head}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Sends a head and repetitions of `text` until the connection fails.
async fn endless(stream: &mut TcpStream, head: &str, text: &str) -> Result<bool> {
    let block = text.repeat(4_096);
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}

/// Reads one request, or returns `None` at the end of the connection.
///
/// Only bodies with a `content-length` are supported, the only kind that the system under test
/// sends.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default();
    let headers: Vec<(Box<str>, Box<str>)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.to_ascii_lowercase().into(), value.trim().into()))
        .collect();
    let length = headers.iter().find(|(key, _)| &**key == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    let body = buffer[end..end + length].into();
    buffer.drain(..end + length);
    Ok(Some(Message { line: line.into(), headers, body }))
}
