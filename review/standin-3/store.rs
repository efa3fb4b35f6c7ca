//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, base64};

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    value: Option<String>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    events: Vec<Event>,
    /// Number of times at which the waiting watches were cut.
    cuts: u64,
    waiting: usize,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let state = State {
            revision: 10,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 100,
            events: Vec::new(),
            cuts: 0,
            waiting: 0,
        };
        let address = listener.local_addr().expect("the listener is bound");
        let store = Arc::new(Self { address, state: Mutex::new(state), changed: Condvar::new() });
        let this = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                thread::spawn(move || this.serve(stream));
            }
        });
        let this = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                this.expire();
            }
        });
        store
    }

    /// Writes a key as the operator or a backend does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key as the operator or a backend does.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.changed.notify_all();
    }

    /// Cuts the watches that wait, before they are told of what follows. Returns their number.
    pub fn cut_and(&self, change: impl FnOnce()) -> usize {
        let mut state = self.lock();
        state.cuts += 1;
        let waiting = state.waiting;
        drop(state);
        change();
        self.changed.notify_all();
        waiting
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        let changed = !ended.is_empty();
        ended.into_iter().for_each(|lease| state.end_lease(lease));
        drop(state);
        if changed {
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        while let Some(request) = http::read(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let Some((status, body)) = self.answer(&request) else { break };
            let line = format!("HTTP/1.1 {status} X");
            let headers = [("content-type", "application/json")];
            if http::write(&mut stream, &line, &headers, body.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Returns the answer to a call; `None` if the connection ends without one.
    fn answer(&self, request: &http::Message) -> Option<(u16, String)> {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let body = Json::parse(std::str::from_utf8(&request.body).unwrap_or(""));
        match path {
            "/pistachiorock/kv-key" => Some(self.key(&parameter(query, "key"))),
            "/pistachiorock/kv-range" => Some(self.range(query)),
            "/pistachiorock/kv-watch" => self.watch(query),
            "/pistachiorock/kv-txn" => {
                let answer = self.lock().transact(&body);
                self.changed.notify_all();
                Some(answer)
            }
            "/pistachiorock/kv-lease" => {
                let mut state = self.lock();
                let ttl = Duration::from_millis(body.get("ttl_ms").number());
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                Some((200, format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis())))
            }
            _ => Some(self.lease_call(path)),
        }
    }

    fn lease_call(&self, path: &str) -> (u16, String) {
        let mut state = self.lock();
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        let Some((until, ttl)) = state.leases.get_mut(&id) else { return (404, "{}".into()) };
        if path.contains("kv-keep") {
            *until = Instant::now() + *ttl;
            return (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()));
        }
        state.end_lease(id);
        drop(state);
        self.changed.notify_all();
        (200, "{}".into())
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.lock().items.get(key) {
            Some(item) => (200, item.json(key)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, query: &str) -> (u16, String) {
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let state = self.lock();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let rows: Vec<String> =
            found.take(PAGE_ITEMS + 1).map(|(key, item)| item.json(key)).collect();
        let more = rows.len() > PAGE_ITEMS;
        let rows = rows[..rows.len().min(PAGE_ITEMS)].join(",");
        (200, format!("{{\"items\":[{rows}],\"has_more\":{more},\"as_of\":{}}}", state.revision))
    }

    fn watch(&self, query: &str) -> Option<(u16, String)> {
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait = parameter(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                return None;
            }
            let rows: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after)
                .map(Event::json)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, revision) = (rows.join(","), state.revision);
                return Some((200, format!("{{\"events\":[{rows}],\"as_of\":{revision}}}")));
            }
            state.waiting += 1;
            state = self.changed.wait_timeout(state, left).expect("no thread panics").0;
            state.waiting -= 1;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.clone(), revision: self.revision, created, lease };
        self.items.insert(key.into(), item);
        self.events.push(Event { key: key.into(), revision: self.revision, value: Some(value) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event { key: key.into(), revision: self.revision, value: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected").list() {
            let revision = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if revision != row.get("revision").number() {
                return (412, "{\"items\":[]}".into());
            }
        }
        let puts = body.get("puts").list();
        let unknown = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if puts.iter().any(|row| unknown(row.get("lease").number())) {
            return (404, "{}".into());
        }
        for row in puts {
            self.put(
                row.get("key").text(),
                row.get("value").text().into(),
                row.get("lease").number(),
            );
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        )
    }
}

impl Event {
    fn json(&self) -> String {
        let Self { key, revision, value } = self;
        match value {
            Some(value) => {
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision}}}")
            }
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        }
    }
}

/// Returns a parameter of a query string, decoded.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("");
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = std::str::from_utf8(tail.get(..2).unwrap_or(&[])).ok();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = tail;
            }
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}
