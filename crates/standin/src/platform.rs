//! A stand-in for the platform that `pistachio-egress` uses: a key-value store with
//! compare-and-swap, leases and watches, and a list of hosts whose changes become visible after a
//! delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use route::{Host, Hosts, Life};
use salvo::prelude::*;
use store::{Swap, Versioned};
use tokio::sync::Notify;

/// Maximum length of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum time for which a read waits for a change.
const MAX_WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Faults that the platform injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call is answered with 503.
    pub down: bool,
    /// Time by which each call is delayed.
    pub delay: Duration,
    /// Writes take effect, but their answers come later than any caller waits.
    pub lose_answers: bool,
    /// Reads return the previous value instead of the current one.
    pub stale: bool,
}

#[derive(Default)]
struct State {
    values: BTreeMap<Box<str>, Value>,
    revision: u64,
    hosts: BTreeMap<Box<str>, Host>,
    /// Lists of hosts, each with the time from which it is visible.
    lists: Vec<(Instant, Hosts)>,
    list_lag: Duration,
    faults: Faults,
    calls: u64,
    writes: u64,
}

#[derive(Clone, Default)]
struct Value {
    current: Versioned,
    previous: Versioned,
    expires_at: Option<Instant>,
}

/// A handle on a running stand-in platform; clones refer to the same platform.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform that listens on `listen`, in which port 0 stands for a free port.
    ///
    /// Changes of the list of hosts are visible after `list_lag`, the first list at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(listen: SocketAddr, list_lag: Duration) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = State { list_lag, ..State::default() };
        let changed = Arc::new(Notify::new());
        let platform = Self { state: Arc::new(Mutex::new(state)), changed, address };
        let router = platform.router();
        let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener)?;
        tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(platform)
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far, in which a waiting watch counts once, and the number of
    /// writes among them.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state();
        (state.calls, state.writes)
    }

    /// Adds hosts to the list, or replaces their entries.
    pub fn add_hosts(&self, hosts: impl IntoIterator<Item = Host>) {
        let mut state = self.state();
        for host in hosts {
            state.hosts.insert(host.id.clone(), host);
        }
        state.publish();
    }

    /// Sets whether a listed host is live or leaving.
    pub fn set_life(&self, id: &str, life: Life) {
        let mut state = self.state();
        if let Some(host) = state.hosts.get_mut(id) {
            host.life = life;
        }
        state.publish();
    }

    /// Removes hosts from the list.
    pub fn remove_hosts(&self, ids: &[Box<str>]) {
        let mut state = self.state();
        state.hosts.retain(|id, _| !ids.contains(id));
        state.publish();
    }

    /// Writes a value unconditionally and without a lease; returns the new revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.state().put(key, value, None);
        self.changed.notify_waiters();
        revision
    }

    /// Returns the current value, regardless of faults and leases; revision 0 if there is none.
    pub fn get(&self, key: &str) -> Versioned {
        self.state().values.get(key).map(|value| value.current.clone()).unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn router(&self) -> Router {
        let kv = Router::with_path("v1/kv/{key}")
            .get(Call { platform: self.clone(), operation: Operation::Read })
            .put(Call { platform: self.clone(), operation: Operation::Write });
        let hosts = Router::with_path("v1/hosts")
            .get(Call { platform: self.clone(), operation: Operation::ReadHosts })
            .put(Call { platform: self.clone(), operation: Operation::AddHosts });
        Router::new().push(kv).push(hosts)
    }

    /// Returns the value as soon as its revision is greater than `after`, or after `wait`, but
    /// at the latest after [`MAX_WAIT_TIMEOUT`].
    ///
    /// Returns `None` when the platform is down.
    async fn read(&self, key: &str, after: Option<u64>, wait: Duration) -> Option<Versioned> {
        let until = Instant::now() + wait.min(MAX_WAIT_TIMEOUT);
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

    /// Writes a value if the current revision is the expected one.
    ///
    /// Returns the new revision, or the current one as the error.
    fn write(&self, key: &str, swap: &Swap) -> Result<u64, u64> {
        let mut state = self.state();
        state.writes += 1;
        let current = state.current(key);
        if current != swap.expect {
            return Err(current);
        }
        let expires_at = swap.lease_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        Ok(state.put(key, &swap.value, expires_at))
    }
}

impl State {
    fn current(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.current.revision)
    }

    fn read(&self, key: &str) -> Versioned {
        let Some(value) = self.values.get(key) else {
            return Versioned { revision: 0, value: "".into() };
        };
        let expired = value.expires_at.is_some_and(|at| Instant::now() >= at);
        match (self.faults.stale, expired) {
            (true, _) => value.previous.clone(),
            (false, true) => Versioned { revision: value.current.revision, value: "".into() },
            (false, false) => value.current.clone(),
        }
    }

    fn put(&mut self, key: &str, value: &str, expires_at: Option<Instant>) -> u64 {
        self.revision += 1;
        let entry = self.values.entry(key.into()).or_default();
        let current = Versioned { revision: self.revision, value: value.into() };
        entry.previous = std::mem::replace(&mut entry.current, current);
        entry.expires_at = expires_at;
        self.revision
    }

    /// Appends the current list of hosts, which becomes visible after the lag.
    fn publish(&mut self) {
        let version = self.lists.last().map_or(1, |(_, hosts)| hosts.version + 1);
        let hosts = Hosts { version, hosts: self.hosts.values().cloned().collect() };
        let visible_at =
            if self.lists.is_empty() { Instant::now() } else { Instant::now() + self.list_lag };
        self.lists.push((visible_at, hosts));
    }

    /// Returns the latest list that is visible, and discards older ones.
    fn visible_hosts(&mut self) -> Hosts {
        let now = Instant::now();
        let latest = self.lists.iter().rposition(|(visible_at, _)| *visible_at <= now);
        let Some(latest) = latest else { return Hosts::default() };
        self.lists.drain(..latest);
        self.lists[0].1.clone()
    }
}

enum Operation {
    Read,
    Write,
    ReadHosts,
    AddHosts,
}

/// Handler of one operation.
struct Call {
    platform: Platform,
    operation: Operation,
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
        tokio::time::sleep(faults.delay).await;
        if faults.down {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match self.operation {
            Operation::Read => self.read(req, res).await,
            Operation::Write => self.write(req, res, faults.lose_answers).await,
            Operation::AddHosts => {
                match req.parse_json_with_max_size::<Vec<Host>>(MAX_VALUE_BYTES).await {
                    Ok(hosts) => self.platform.add_hosts(hosts),
                    Err(_) => _ = res.status_code(StatusCode::BAD_REQUEST),
                }
            }
            Operation::ReadHosts => {
                let hosts = self.platform.state().visible_hosts();
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

    async fn write(&self, req: &mut Request, res: &mut Response, lose_answer: bool) {
        let key = req.param::<String>("key").unwrap_or_default();
        let Ok(swap) = req.parse_json_with_max_size::<Swap>(MAX_VALUE_BYTES + 4_096).await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        if swap.value.len() > MAX_VALUE_BYTES {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        }
        let written = self.platform.write(&key, &swap);
        self.platform.changed.notify_waiters();
        if lose_answer {
            // Longer than any caller waits.
            tokio::time::sleep(MAX_WAIT_TIMEOUT).await;
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
