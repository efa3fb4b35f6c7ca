//! The platform's metadata store: items with revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, from_base64, parse, quote, to_base64};

const MAX_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// End and time to live.
    leases: BTreeMap<u64, (Instant, u64)>,
    /// Revision, key, and value unless the key was removed.
    history: Vec<(u64, String, Option<(Vec<u8>, u64)>)>,
    next_lease: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 10;
        store.0.0.lock().unwrap().next_lease = 77_000;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Starts to serve, and returns the address.
    pub fn open(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    pub fn put(&self, key: &str, value: &str) {
        self.0.0.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
        self.0.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.0.0.lock().unwrap();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.0.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn expire(&self) {
        let mut state = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.0.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(call)) = http::read(&mut stream, &mut buffer) {
            let (status, body) = self.perform(&call);
            thread::sleep(Duration::from_millis(2));
            let line = format!("HTTP/1.1 {status} Status");
            let answer =
                http::message(&line, "Content-Type: application/json\r\n", body.as_bytes());
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn perform(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let Some(path) = path.strip_prefix("/pistachiorock/") else { return (404, "{}".into()) };
        let body = parse(&call.body).unwrap_or(Json::Null);
        match path {
            "kv-range" => self.range(query),
            "kv-key" => self.key(query),
            "kv-watch" => self.watch(query),
            "kv-txn" => {
                let answer = self.0.0.lock().unwrap().transact(&body);
                self.0.1.notify_all();
                answer
            }
            "kv-lease" => {
                let mut state = self.0.0.lock().unwrap();
                let ttl = body.get("ttl_ms").number().unwrap_or(1_000).clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let until = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (until, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            other => self.keep_or_end(other),
        }
    }

    fn keep_or_end(&self, path: &str) -> (u16, String) {
        let mut state = self.0.0.lock().unwrap();
        if let Some(id) = path.strip_prefix("kv-keep/").and_then(|id| id.parse::<u64>().ok()) {
            let Some((until, ttl)) = state.leases.get_mut(&id) else { return (404, "{}".into()) };
            *until = Instant::now() + Duration::from_millis(*ttl);
            return (200, format!("{{\"ttl_ms\":{ttl}}}"));
        }
        if let Some(id) = path.strip_prefix("kv-lease-end/").and_then(|id| id.parse().ok()) {
            let known = state.leases.contains_key(&id);
            state.end_lease(id);
            self.0.1.notify_all();
            return (if known { 200 } else { 404 }, "{}".into());
        }
        (404, "{}".into())
    }

    fn key(&self, query: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let key = parameter(query, "key").unwrap_or_default();
        state.items.get(&key).map_or((404, "{}".into()), |item| (200, item_json(&key, item)))
    }

    fn range(&self, query: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let mut rest = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let items: Vec<String> =
            rest.by_ref().take(MAX_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let (items, more, as_of) = (items.join(","), rest.next().is_some(), state.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{as_of}}}"))
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
            return (400, "{}".into());
        };
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.0.0.lock().unwrap();
        loop {
            let newer = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(revision, key, value)| match value {
                    Some((value, lease)) => format!(
                        "{{\"key\":{},\"value\":\"{}\",\"revision\":{revision},\"lease\":{lease}}}",
                        quote(key),
                        to_base64(value)
                    ),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.clone(), revision: self.revision, created, lease };
        self.items.insert(key.into(), item);
        self.history.push((self.revision, key.into(), Some((value, lease))));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected").list() {
            let key = row.get("key").text();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            if row.get("revision").number() != Some(revision) {
                let rows = body.get("expected").list().iter();
                let rows = rows.filter_map(|row| {
                    let key = row.get("key").text();
                    self.items.get(key).map(|item| item_json(key, item))
                });
                let rows = rows.collect::<Vec<_>>().join(",");
                return (412, format!("{{\"items\":[{rows}]}}"));
            }
        }
        for row in body.get("puts").list() {
            let lease = row.get("lease").number().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
            if ["op/", "servers/"].iter().any(|own| row.get("key").text().starts_with(own)) {
                return (403, "{}".into());
            }
        }
        for row in body.get("puts").list() {
            let lease = row.get("lease").number().unwrap_or(0);
            self.put(row.get("key").text(), from_base64(row.get("value").text()), lease);
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
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// Returns a parameter of a query string without its escapes.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name)?.1;
    let (mut bytes, mut rest) = (Vec::new(), value.bytes());
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next()?, rest.next()?];
            bytes.push(u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok()
}
