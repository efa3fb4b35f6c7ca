//! The users' store: keys with revisions, conditional writes, leases and watches.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::platform::names::{KEEP, LEASE, LEASE_END, RANGE, TRANSACTION, WATCH};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Items in one page, few so that reads of several pages are the rule in tests.
const PAGE: usize = 8;

/// Events in one answer to a watch; the rest follows from the revision that the answer names.
const EVENTS: usize = 80;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It refuses every call with 503.
    Busy,
    /// It takes calls and answers none.
    Silent,
    /// It carries writes out and answers none of them.
    Losing,
}

struct Item {
    value: Box<[u8]>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: Box<str>,
    revision: u64,
    value: Option<Box<[u8]>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<Box<str>, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<Event>,
    compacted: u64,
    mood: Outage,
    calls: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// A stand-in of the users' store on a socket of its own.
#[derive(Clone)]
pub struct Kv {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Kv {
    /// Starts a store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { revision: 10, ..State::default() });
        let shared = Arc::new(Shared { state, changed: watch::channel(0).0 });
        let kv = Self { address, shared };
        tokio::spawn(kv.clone().serve(listener));
        Ok(kv)
    }

    /// Returns where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a key as operators and upstreams do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.state().put(key, value.into(), 0);
        self.shared.tell();
    }

    /// Removes a key as operators and upstreams do.
    pub fn remove(&self, key: &str) {
        self.shared.state().remove(key);
        self.shared.tell();
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<Box<str>> {
        let state = self.shared.state();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Makes the store misbehave, or behave again.
    pub fn set_outage(&self, mood: Outage) {
        self.shared.state().mood = mood;
        self.shared.tell();
    }

    /// Forgets all history, so that watches must read everything again.
    pub fn compact(&self) {
        let mut state = self.shared.state();
        state.history.clear();
        state.compacted = state.revision;
    }

    /// Ends all leases, as an outage may.
    pub fn expire_leases(&self) {
        let mut state = self.shared.state();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.shared.tell();
    }

    /// Returns the number of calls so far, refused ones included.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let shared = Arc::clone(&shared);
                    async move { Ok::<_, Infallible>(shared.answer(request).await) }
                });
                let builder = hyper::server::conn::http1::Builder::new();
                // A caller that goes away is no fault of the store.
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path: Box<str> = request.uri().path().into();
        let query: Box<str> = request.uri().query().unwrap_or_default().into();
        let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes);
        let body: Value =
            body.ok().and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or(Value::Null);
        let mood = {
            let mut state = self.state();
            state.calls += 1;
            state.expire(Instant::now());
            state.mood
        };
        match mood {
            Outage::Busy => return reply(503, &Value::Null),
            Outage::Silent => std::future::pending().await,
            Outage::None | Outage::Losing => {}
        }
        let writes = !matches!(&*path, RANGE | WATCH);
        let (status, answer) = match &*path {
            RANGE => self.range(&query),
            WATCH => self.watch(&query).await,
            LEASE => self.state().grant(&body),
            TRANSACTION => self.state().transact(&body),
            other => self.lease_call(other),
        };
        if writes {
            self.tell();
            if mood == Outage::Losing {
                std::future::pending::<()>().await;
            }
        }
        reply(status, &answer)
    }

    fn range(&self, query: &str) -> (u16, Value) {
        let state = self.state();
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let after = after.unwrap_or_default();
        let prefix = prefix.unwrap_or_default();
        let mut rest = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || ***key > *after));
        let items: Vec<Value> =
            rest.by_ref().take(PAGE).map(|(key, item)| row(key, item)).collect();
        let more = rest.next().is_some();
        (200, json!({"items": items, "has_more": more, "as_of": state.revision}))
    }

    async fn watch(&self, query: &str) -> (u16, Value) {
        let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
            return (400, Value::Null);
        };
        let end = tokio::time::Instant::now() + Duration::from_millis(wait);
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.state();
                if state.mood == Outage::Busy {
                    return (503, Value::Null);
                }
                if after < state.compacted {
                    return (410, Value::Null);
                }
                let mut rest = state.history.iter().filter(|event| event.revision > after);
                let events: Vec<&Event> = rest.by_ref().take(EVENTS).collect();
                let last = events.last().map(|event| event.revision);
                let as_of = last.filter(|_| rest.next().is_some()).unwrap_or(state.revision);
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let events: Vec<Value> = events.into_iter().map(event).collect();
                    return (200, json!({"events": events, "as_of": as_of}));
                }
            }
            // The end of the wait is as good as a change.
            let _ = tokio::time::timeout_at(end, changed.changed()).await;
        }
    }

    fn lease_call(&self, path: &str) -> (u16, Value) {
        let mut state = self.state();
        let id = |prefix| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        if let Some(id) = id(KEEP) {
            let Some((until, time)) = state.leases.get_mut(&id) else { return (404, Value::Null) };
            *until = Instant::now() + *time;
            return (200, json!({"ttl_ms": time.as_millis() as u64}));
        }
        if let Some(id) = id(LEASE_END) {
            let known = state.leases.contains_key(&id);
            state.end_lease(id);
            return (if known { 200 } else { 404 }, Value::Null);
        }
        (404, Value::Null)
    }
}

impl State {
    fn put(&mut self, key: &str, value: Box<[u8]>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.clone(), revision: self.revision, created, lease };
        self.items.insert(key.into(), item);
        self.history.push(Event { key: key.into(), revision: self.revision, value: Some(value) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event { key: key.into(), revision: self.revision, value: None });
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<Box<str>> = held.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let Some(millis) = body["ttl_ms"].as_u64() else { return (400, Value::Null) };
        let time = Duration::from_millis(millis);
        let id = self.leases.keys().max().map_or(77_001, |id| id + 1);
        self.leases.insert(id, (Instant::now() + time, time));
        (200, json!({"lease": id, "ttl_ms": millis}))
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("expected") {
            let key = row["key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            if row["revision"].as_u64() != Some(revision) {
                return (412, json!({"items": []}));
            }
        }
        let leases = || rows("puts").into_iter().filter_map(|row| row["lease"].as_u64());
        if leases().any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, Value::Null);
        }
        for row in rows("puts") {
            let key = row["key"].as_str().unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, Value::Null);
            }
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
            let value = value.unwrap_or_default().into_boxed_slice();
            self.put(key, value, row["lease"].as_u64().unwrap_or(0));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": self.revision}))
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}

fn event(event: &Event) -> Value {
    match &event.value {
        Some(value) => {
            json!({"key": event.key, "value": STANDARD.encode(value), "revision": event.revision})
        }
        None => json!({"key": event.key, "revision": event.revision, "deleted": true}),
    }
}

/// Returns a parameter of a query, in which `%2F` and `/` both stand for a slash.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/"))
}

fn reply(status: u16, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    response
}
