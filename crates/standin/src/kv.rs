//! A stand-in for the key-value store that `pistachio-node` uses: keys with revisions, conditional
//! writes, leases and watches.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::platform::names::{ERA, KEEP, LEASE, LEASE_END, RANGE, TRANSACTION, WATCH};
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

use crate::port::loopback;

/// Maximum number of items in a page, small so that most reads in tests take several pages.
const MAX_PAGE_ITEMS: usize = 8;

/// Maximum number of events in an answer to a watch; the caller gets the rest by watching from the
/// revision in the answer.
const MAX_EVENTS: usize = 80;

/// Fault that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Refuses every call with 503.
    Busy,
    /// Reads calls and never answers them.
    Silent,
    /// Applies writes, but never answers them.
    Losing,
}

#[derive(Clone)]
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
    /// New value; `None` when the key was removed.
    value: Option<Box<[u8]>>,
}

#[derive(Clone, Default)]
struct State {
    era: u64,
    revision: u64,
    items: BTreeMap<Box<str>, Item>,
    /// End and time to live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<Event>,
    /// Revision up to which the history was discarded.
    compacted: u64,
    fault: StoreFault,
    calls: u64,
}

/// A copy of the store at one moment.
pub struct Snapshot(State);

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// A handle on a running stand-in store; clones refer to the same store.
#[derive(Clone)]
pub struct Kv {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Kv {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { era: 1, revision: 10, ..State::default() });
        let shared = Arc::new(Shared { state, changed: watch::channel(0).0 });
        let kv = Self { address, shared };
        tokio::spawn(kv.clone().serve(listener));
        Ok(kv)
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a key unconditionally and without a lease, as operators and upstreams do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.state().put(key, value.into(), 0);
        self.shared.notify_watchers();
    }

    /// Removes a key unconditionally, as operators and upstreams do.
    pub fn remove(&self, key: &str) {
        self.shared.state().remove(key);
        self.shared.notify_watchers();
    }

    /// Returns the value of a key, if it exists.
    pub fn get(&self, key: &str) -> Option<Box<[u8]>> {
        self.shared.state().items.get(key).map(|item| item.value.clone())
    }

    /// Returns the keys that start with a prefix, in lexical order.
    pub fn keys(&self, prefix: &str) -> Vec<Box<str>> {
        let state = self.shared.state();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Sets the fault of calls from now on; [`StoreFault::None`] ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.state().fault = fault;
        self.shared.notify_watchers();
    }

    /// Discards the history, so that a watch from an older revision gets 410 and the watcher must
    /// read all keys again.
    pub fn compact(&self) {
        let mut state = self.shared.state();
        state.history.clear();
        state.compacted = state.revision;
    }

    /// Returns a copy of the store, from which it can be [restored](Self::restore).
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.shared.state().clone())
    }

    /// Loses everything since a snapshot was taken, leases too, and starts the next era. Revisions
    /// are used again.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = self.shared.state();
        let restored = State {
            era: state.era + 1,
            fault: state.fault,
            calls: state.calls,
            ..snapshot.0.clone()
        };
        *state = restored;
        drop(state);
        self.shared.notify_watchers();
    }

    /// Ends all leases and removes their keys, as may happen during an outage.
    pub fn expire_leases(&self) {
        let mut state = self.shared.state();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.shared.notify_watchers();
    }

    /// Returns the number of calls so far, including refused ones.
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
                // Errors are ignored, since callers may close their connections at any time.
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watchers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Answers a call; every answer states the era.
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, body) = self.perform(request).await;
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
        response.headers_mut().insert(ERA, self.state().era.into());
        response
    }

    async fn perform(&self, request: Request<Incoming>) -> (u16, Value) {
        let path: Box<str> = request.uri().path().into();
        let query: Box<str> = request.uri().query().unwrap_or_default().into();
        let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes);
        let body: Value =
            body.ok().and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or(Value::Null);
        let fault = {
            let mut state = self.state();
            state.calls += 1;
            state.end_expired_leases(Instant::now());
            state.fault
        };
        match fault {
            StoreFault::Busy => return (503, Value::Null),
            StoreFault::Silent => std::future::pending().await,
            StoreFault::None | StoreFault::Losing => {}
        }
        let writes = !matches!(&*path, RANGE | WATCH);
        let (status, answer) = match &*path {
            RANGE => self.range(&query),
            WATCH => self.watch(&query).await,
            LEASE => self.state().grant_lease(&body),
            TRANSACTION => self.state().transact(&body),
            other => self.renew_or_end_lease(other),
        };
        if writes {
            self.notify_watchers();
            if fault == StoreFault::Losing {
                std::future::pending::<()>().await;
            }
        }
        (status, answer)
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
            rest.by_ref().take(MAX_PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
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
                if state.fault == StoreFault::Busy {
                    return (503, Value::Null);
                }
                if after < state.compacted || after > state.revision {
                    return (410, Value::Null);
                }
                let mut rest = state.history.iter().filter(|event| event.revision > after);
                let events: Vec<&Event> = rest.by_ref().take(MAX_EVENTS).collect();
                let last = events.last().map(|event| event.revision);
                let as_of = last.filter(|_| rest.next().is_some()).unwrap_or(state.revision);
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let events: Vec<Value> = events.into_iter().map(event_json).collect();
                    return (200, json!({"events": events, "as_of": as_of}));
                }
            }
            // After a timeout, the next pass answers without events.
            let _ = tokio::time::timeout_at(end, changed.changed()).await;
        }
    }

    fn renew_or_end_lease(&self, path: &str) -> (u16, Value) {
        let mut state = self.state();
        let id = |prefix| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        if let Some(id) = id(KEEP) {
            let Some((until, ttl)) = state.leases.get_mut(&id) else { return (404, Value::Null) };
            *until = Instant::now() + *ttl;
            return (200, json!({"ttl_ms": ttl.as_millis() as u64}));
        }
        if let Some(id) = id(LEASE_END) {
            let exists = state.leases.contains_key(&id);
            state.end_lease(id);
            return (if exists { 200 } else { 404 }, Value::Null);
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

    fn end_expired_leases(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<Box<str>> = attached.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
    }

    fn grant_lease(&mut self, body: &Value) -> (u16, Value) {
        let Some(millis) = body["ttl_ms"].as_u64() else { return (400, Value::Null) };
        let ttl = Duration::from_millis(millis);
        let id = self.leases.keys().max().map_or(77_001, |id| id + 1);
        self.leases.insert(id, (Instant::now() + ttl, ttl));
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

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}

fn event_json(event: &Event) -> Value {
    match &event.value {
        Some(value) => {
            json!({"key": event.key, "value": STANDARD.encode(value), "revision": event.revision})
        }
        None => json!({"key": event.key, "revision": event.revision, "deleted": true}),
    }
}

/// Returns a parameter of a query string; `%2F` and `%40` are the only escapes that are decoded.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2F", "/").replace("%40", "@"))
}
