//! The platform: a KV with compare-and-swap, leases and watches, and a list of hosts that lags.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use route::{Host, Hosts, Life};
use salvo::prelude::*;
use store::{Swap, Versioned};
use tokio::sync::Notify;

/// Values may hold up to this many bytes.
const MAX_VALUE: usize = 1 << 20;

/// Longest that a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(30);

/// What is wrong with the platform.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// No call is answered with anything but 503.
    pub down: bool,
    /// Time that each call takes longer.
    pub slow: Duration,
    /// Answers of writes are lost after the write has taken effect.
    pub lose_answers: bool,
    /// Reads answer with the value before the current one.
    pub stale: bool,
}

#[derive(Default)]
struct State {
    values: BTreeMap<Box<str>, Value>,
    revision: u64,
    hosts: BTreeMap<Box<str>, Host>,
    /// Lists by the time from which they show.
    lists: Vec<(Instant, Hosts)>,
    lag: Duration,
    faults: Faults,
    calls: u64,
    writes: u64,
}

#[derive(Clone, Default)]
struct Value {
    now: Versioned,
    before: Versioned,
    lapses: Option<Instant>,
}

/// A handle on a running platform.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform on `listen`; port 0 stands for a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = State { lag, ..State::default() };
        let changed = Arc::new(Notify::new());
        let platform = Self { state: Arc::new(Mutex::new(state)), changed, address };
        let router = platform.router();
        let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener)?;
        tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(platform)
    }

    /// Returns the platform's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the calls so far, a waiting watch counted as one, and the writes among them.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state();
        (state.calls, state.writes)
    }

    /// Lists a host, or changes its line.
    pub fn add_hosts(&self, hosts: impl IntoIterator<Item = Host>) {
        let mut state = self.state();
        for host in hosts {
            state.hosts.insert(host.id.clone(), host);
        }
        state.publish();
    }

    /// Marks a host as leaving or as staying.
    pub fn set_life(&self, id: &str, life: Life) {
        let mut state = self.state();
        if let Some(host) = state.hosts.get_mut(id) {
            host.life = life;
        }
        state.publish();
    }

    /// Takes hosts off the list.
    pub fn remove_hosts(&self, ids: &[Box<str>]) {
        let mut state = self.state();
        state.hosts.retain(|id, _| !ids.contains(id));
        state.publish();
    }

    /// Writes a value as an operator's tool would, whatever stands there.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.state().put(key, value, None);
        self.changed.notify_waiters();
        revision
    }

    /// Reads a value without the network.
    pub fn get(&self, key: &str) -> Versioned {
        self.state().values.get(key).map(|value| value.now.clone()).unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn router(&self) -> Router {
        let kv = Router::with_path("v1/kv/{key}")
            .get(Call { platform: self.clone(), run: Run::Read })
            .put(Call { platform: self.clone(), run: Run::Write });
        let hosts = Router::with_path("v1/hosts")
            .get(Call { platform: self.clone(), run: Run::Hosts })
            .put(Call { platform: self.clone(), run: Run::List });
        Router::new().push(kv).push(hosts)
    }

    async fn read(&self, key: &str, after: Option<u64>, wait: Duration) -> Option<Versioned> {
        let until = Instant::now() + wait.min(MAX_WATCH);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let value = {
                let state = self.state();
                if state.faults.down {
                    return None;
                }
                state.read(key)
            };
            let left = until.saturating_duration_since(Instant::now());
            if after.is_none_or(|after| value.revision > after) || left.is_zero() {
                return Some(value);
            }
            let _ = tokio::time::timeout(left, changed).await;
        }
    }

    fn write(&self, key: &str, swap: &Swap) -> Result<u64, u64> {
        let mut state = self.state();
        state.writes += 1;
        let current = state.current(key);
        if current != swap.expect {
            return Err(current);
        }
        let lapses = swap.lease_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        Ok(state.put(key, &swap.value, lapses))
    }
}

impl State {
    fn current(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.now.revision)
    }

    fn read(&self, key: &str) -> Versioned {
        let Some(value) = self.values.get(key) else {
            return Versioned { revision: 0, value: "".into() };
        };
        let lapsed = value.lapses.is_some_and(|at| Instant::now() >= at);
        match (self.faults.stale, lapsed) {
            (true, _) => value.before.clone(),
            (false, true) => Versioned { revision: value.now.revision, value: "".into() },
            (false, false) => value.now.clone(),
        }
    }

    fn put(&mut self, key: &str, value: &str, lapses: Option<Instant>) -> u64 {
        self.revision += 1;
        let entry = self.values.entry(key.into()).or_default();
        let now = Versioned { revision: self.revision, value: value.into() };
        entry.before = std::mem::replace(&mut entry.now, now);
        entry.lapses = lapses;
        self.revision
    }

    fn publish(&mut self) {
        let version = self.lists.last().map_or(1, |(_, hosts)| hosts.version + 1);
        let hosts = Hosts { version, hosts: self.hosts.values().cloned().collect() };
        let shows = if self.lists.is_empty() { Instant::now() } else { Instant::now() + self.lag };
        self.lists.push((shows, hosts));
    }

    fn listed(&mut self) -> Hosts {
        let now = Instant::now();
        let shown = self.lists.iter().rposition(|(shows, _)| *shows <= now);
        let Some(shown) = shown else { return Hosts::default() };
        self.lists.drain(..shown);
        self.lists[0].1.clone()
    }
}

enum Run {
    Read,
    Write,
    Hosts,
    List,
}

struct Call {
    platform: Platform,
    run: Run,
}

#[async_trait]
impl Handler for Call {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let faults = {
            let mut state = self.platform.state();
            state.calls += 1;
            state.faults.clone()
        };
        tokio::time::sleep(faults.slow).await;
        if faults.down {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match self.run {
            Run::Read => self.read(req, res).await,
            Run::Write => self.write(req, res, faults.lose_answers).await,
            Run::List => match req.parse_json_with_max_size::<Vec<Host>>(MAX_VALUE).await {
                Ok(hosts) => self.platform.add_hosts(hosts),
                Err(_) => _ = res.status_code(StatusCode::BAD_REQUEST),
            },
            Run::Hosts => {
                let hosts = self.platform.state().listed();
                res.render(Json(hosts));
            }
        }
    }
}

impl Call {
    async fn read(&self, req: &mut Request, res: &mut Response) {
        let key = req.param::<String>("key").unwrap_or_default();
        let after = req.query::<u64>("after");
        let wait = Duration::from_millis(req.query::<u64>("wait_ms").unwrap_or(0));
        match self.platform.read(&key, after, wait).await {
            Some(value) => res.render(Json(value)),
            None => _ = res.status_code(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn write(&self, req: &mut Request, res: &mut Response, lose: bool) {
        let key = req.param::<String>("key").unwrap_or_default();
        let Ok(swap) = req.parse_json_with_max_size::<Swap>(MAX_VALUE + 4_096).await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        if swap.value.len() > MAX_VALUE {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        }
        let written = self.platform.write(&key, &swap);
        self.platform.changed.notify_waiters();
        if lose {
            // Longer than any client waits.
            tokio::time::sleep(MAX_WATCH).await;
        }
        match written {
            Ok(revision) => res.render(Json(Versioned { revision, value: "".into() })),
            Err(revision) => {
                res.status_code(StatusCode::CONFLICT);
                res.render(Json(Versioned { revision, value: "".into() }));
            }
        }
    }
}
