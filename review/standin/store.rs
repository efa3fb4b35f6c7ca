//! The platform's store: keys with revisions, conditional writes, leases and watches.

use std::collections::BTreeMap;
use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};
use crate::json::{Json, decode, encode, quote};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

struct Lease {
    ends: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<Event>,
    /// Since when the store is down; it answers nothing then, and leases pause.
    down_since: Option<Instant>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: &str) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = State { revision: 10, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let this = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(&stream));
            }
        });
        let this = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                this.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator and the backends do; returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.shared.0.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes a key as the backends do; returns when the store has accepted it.
    pub fn remove(&self, key: &str) -> Instant {
        self.shared.0.lock().unwrap().remove(key);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Returns the keys with a prefix, with the time left of their leases.
    pub fn leased(&self, prefix: &str) -> Vec<(String, Option<Duration>)> {
        let state = self.shared.0.lock().unwrap();
        let now = state.down_since.unwrap_or_else(Instant::now);
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let left = |item: &Item| {
            state.leases.get(&item.lease).map(|lease| lease.ends.saturating_duration_since(now))
        };
        items.map(|(key, item)| (key.clone(), left(item))).collect()
    }

    /// Takes the store down, or up again. While it is down it answers nothing and leases pause.
    pub fn set_down(&self, down: bool) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        match (state.down_since, down) {
            (None, true) => state.down_since = Some(now),
            (Some(since), false) => {
                state.down_since = None;
                for lease in state.leases.values_mut() {
                    lease.ends += now - since;
                }
            }
            _ => {}
        }
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.shared.0.lock().unwrap();
        if state.down_since.is_some() {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut reader) = Reader::new(stream) else { return };
        let mut out = stream;
        while let Ok(Some(request)) = reader.read() {
            let Some((status, body)) = self.answer(&request) else {
                // A connection on which an answer is lost returns nothing further.
                thread::sleep(Duration::from_secs(120));
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let head = format!(
                "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` while the store is down.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.shared.0.lock().unwrap();
        if state.down_since.is_some() {
            return None;
        }
        let name = path.strip_prefix("/pistachiorock/").unwrap_or("");
        let answer = match (method, name) {
            ("GET", "kv-key") => match state.items.get_key_value(&parameter(query, "key")) {
                Some((key, item)) => (200, item_json(key, item)),
                None => (404, "null".into()),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
                let matching = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
                let items: Vec<String> = matching.map(|(key, item)| item_json(key, item)).collect();
                let as_of = state.revision;
                let more = items.len() > 500;
                let items = items.into_iter().take(500).collect::<Vec<_>>().join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{as_of}}}"))
            }
            ("GET", "kv-watch") => {
                let prefix = parameter(query, "prefix");
                let after: u64 = parameter(query, "after").parse().unwrap_or(0);
                let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    if state.down_since.is_some() {
                        return None;
                    }
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(event_json)
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, as_of) = (events.join(","), state.revision);
                        break (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "kv-txn") => state.transact(&body),
            ("POST", "kv-lease") => {
                let ttl = body.get("ttl_ms").number().unwrap_or(1_000);
                let id = state.leases.keys().max().map_or(77_001, |id| id + 1);
                let ttl_time = Duration::from_millis(ttl);
                let lease = Lease { ends: Instant::now() + ttl_time, ttl: ttl_time };
                state.leases.insert(id, lease);
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", other) if other.starts_with("kv-keep/") => {
                let id: u64 = other["kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                    }
                    None => (404, "null".into()),
                }
            }
            ("DELETE", other) if other.starts_with("kv-lease-end/") => {
                let id: u64 = other["kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = state.leases.contains_key(&id);
                state.end_lease(id);
                (if known { 200 } else { 404 }, "null".into())
            }
            _ => (404, "null".into()),
        };
        drop(state);
        self.shared.1.notify_all();
        Some(answer)
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.clone(), revision, created, lease };
        self.items.insert(key.into(), item);
        self.history.push(Event { key: key.into(), revision, value: Some(value) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event { key: key.into(), revision: self.revision, value: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected").list() {
            let current = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if row.get("revision").number() != Some(current) {
                return (412, "{\"items\":[]}".into());
            }
        }
        let puts = body.get("puts").list();
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        if puts.iter().any(|row| lease_of(row) != 0 && !self.leases.contains_key(&lease_of(row))) {
            return (404, "null".into());
        }
        let own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
        if !puts.iter().all(|row| own(row.get("key").text())) {
            return (403, "null".into());
        }
        for row in puts {
            self.put(row.get("key").text(), decode(row.get("value").text()), lease_of(row));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_json(event: &Event) -> String {
    let (key, revision) = (quote(&event.key), event.revision);
    match &event.value {
        Some(value) => {
            let value = encode(value);
            format!("{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision}}}")
        }
        None => format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}"),
    }
}

/// Returns a parameter of a query string.
pub fn parameter(query: &str, name: &str) -> String {
    let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    let text = pair.map_or("", |(_, value)| value);
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let escape = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = escape.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
