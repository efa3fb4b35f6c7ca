//! The control thread: the mirror of the store, the host's own entry, and questions.

use std::cell::RefCell;
use std::future::ready;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::{Action, Batch, Freshness, Mirror, Peer, Registration, Source, Sources, Store};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use platform::DiscoveryRequest;
use table::{Host, View};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::directory;
use crate::follow::{self, News};
use crate::server::{Body, empty, http_builder, reply, serve};
use crate::start::Shared;

/// Part of the time in which news must have an effect that a watch of the store waits. A way to the
/// store that fell silent shows only when the watch should have returned.
const WATCH_SHARE: f64 = 0.4;

/// Part of that time that a follower waits for its source.
const FOLLOW_SHARE: f64 = 0.3;

/// Part of that time after which a source's news counts as old.
const STALE_SHARE: f64 = 0.62;

/// Pause after changes before the store is watched again, so that a burst of changes costs few
/// calls.
const WATCH_PAUSE: Duration = Duration::from_millis(150);

/// Pause of a follower after changes; asking a host costs less than asking the store.
const FOLLOW_PAUSE: Duration = Duration::from_millis(60);

/// Time of the host's own lease. A host that died must not be named for long, and each renewal is
/// paid for.
const LEASE_TIME: Duration = Duration::from_millis(5_500);

/// Time for which callers may keep an answer of the directory.
const DIRECTORY_LIFETIME: Duration = Duration::from_secs(2);

/// Age that stands for no news at all, in milliseconds: a year.
const NO_NEWS_MS: u64 = 365 * 24 * 3_600_000;

/// Pause after a source that failed; a host whose news is old asks this often at most.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a source that answered at once without changes, so that a faulty one cannot spin.
const LEAST_TURN: Duration = Duration::from_millis(20);

/// Pause between looks for lapsed entries while there are none.
const EXPIRY_TURN: Duration = Duration::from_millis(500);

/// Longest pause between looks whether the own entry is still in the store.
const VISIBLE_TURN: Duration = Duration::from_millis(500);

/// Listeners of the control thread.
pub struct Listeners {
    /// For the platform's checks.
    pub readiness: TcpListener,
    /// For our other hosts.
    pub peer: TcpListener,
    /// For callers that ask where to connect.
    pub directory: TcpListener,
    /// For metrics.
    pub metrics: TcpListener,
}

/// The state of the control thread.
pub struct Control {
    shared: Shared,
    own: Host,
    own_key: Box<str>,
    mirror: RefCell<Mirror>,
    sources: RefCell<Sources>,
    hearing: RefCell<Freshness>,
    publish: watch::Sender<Arc<View>>,
    revision: watch::Sender<u64>,
    http: reqwest::Client,
}

impl Control {
    /// Runs the thread until the process ends.
    pub async fn run(
        shared: Shared,
        store: platform::Client,
        listeners: Listeners,
        publish: watch::Sender<Arc<View>>,
    ) {
        let control = Rc::new(Self::new(shared, publish));
        for listener in [listeners.directory, listeners.readiness] {
            let this = Rc::clone(&control);
            spawn_local(serve(listener, http_builder(), move |request| {
                ready(this.answer(&request))
            }));
        }
        let this = Rc::clone(&control);
        spawn_local(serve(listeners.peer, http_builder(), move |request| {
            Rc::clone(&this).follower(request)
        }));
        let this = Rc::clone(&control);
        spawn_local(serve(listeners.metrics, http_builder(), move |_| ready(this.metrics())));
        spawn_local(Rc::clone(&control).register(store.clone()));
        spawn_local(Rc::clone(&control).expire());
        control.follow(store).await;
    }

    fn new(shared: Shared, publish: watch::Sender<Arc<View>>) -> Self {
        let settings = &shared.settings;
        let own = Host {
            name: settings.host.clone(),
            domain: settings.domain.clone(),
            front: settings.front,
            peer: settings.peer,
            relay: Some(settings.relay),
            cores: settings.cores,
        };
        let peer = Peer { name: own.name.clone(), domain: own.domain.clone(), address: own.peer };
        let sources = Sources::new(peer, settings.seeds.clone());
        let fresh_for = settings.bounds.max_propagation().mul_f64(STALE_SHARE);
        Self {
            own_key: platform::host_key(&own.name),
            own,
            mirror: RefCell::new(Mirror::new(platform::decode)),
            sources: RefCell::new(sources),
            hearing: RefCell::new(Freshness::new(fresh_for)),
            publish,
            revision: watch::channel(0).0,
            http: reqwest::Client::builder().no_proxy().build().unwrap_or_default(),
            shared,
        }
    }

    /// Reads news for as long as the thread runs, from whichever source is best.
    async fn follow(&self, store: platform::Client) {
        let mut last = None;
        loop {
            let now = Instant::now();
            let old = self.left_fresh(now).is_zero();
            let chosen = self.sources.borrow().choose(now, &self.peers(), old);
            let source = match chosen {
                Ok(source) => source,
                Err(at) => {
                    tokio::time::sleep_until(at.into()).await;
                    continue;
                }
            };
            if last != Some(source) {
                log::info!(source:? = source, revision = self.mirror.borrow().revision(); "reading news");
                last = Some(source);
            }
            let heard = match source {
                Source::Store => self.read_store(&store).await,
                Source::Peer(_) => self.read_peer(source).await,
            };
            if !heard {
                tokio::time::sleep(FAILED_PAUSE).await;
            }
        }
    }

    /// Reads from the store; returns whether it answered.
    async fn read_store(&self, store: &platform::Client) -> bool {
        let after = self.mirror.borrow().revision();
        let wait = self.patience(Source::Store, WATCH_SHARE);
        self.shared.metrics.store_calls.inc();
        let result = if after == 0 { store.read().await } else { store.watch(after, wait).await };
        let result = match result {
            Err(error) if error.is_compacted() => {
                log::info!(after; "history is gone, reading all entries");
                self.shared.metrics.store_calls.inc();
                store.read().await
            }
            other => other,
        };
        let now = Instant::now();
        match result {
            Ok(batch) => {
                self.sources.borrow_mut().succeeded(Source::Store);
                self.hear(now, now, true);
                let pause = if self.take(now, batch) { WATCH_PAUSE } else { LEAST_TURN };
                tokio::time::sleep(pause).await;
                true
            }
            Err(error) => {
                self.shared.metrics.store_failures.inc();
                self.hearing.borrow_mut().record_failure(now);
                self.fail(now, Source::Store, &error.to_string());
                false
            }
        }
    }

    /// Reads from another host; returns whether its news was fresh.
    async fn read_peer(&self, source: Source) -> bool {
        let Source::Peer(address) = source else { return false };
        let after = self.mirror.borrow().revision();
        let asked = Instant::now();
        let wait = self.patience(source, FOLLOW_SHARE).min(self.left_fresh(asked));
        let question = follow::Question { after, wait };
        let result = follow::ask(&self.http, address, &question).await;
        let now = Instant::now();
        match result {
            Ok(News { age_ms, settling_ms, batch }) => {
                let age = Duration::from_millis(age_ms);
                // The way to the source counts as age, since its answer may have been late.
                let way = (now - asked).saturating_sub(question.wait);
                self.hear(now, now.checked_sub(age + way).unwrap_or(now), false);
                let settling = Duration::from_millis(settling_ms);
                self.mirror.borrow_mut().hold_lapsed(now, settling);
                let changed = self.take(now, batch);
                if age > self.part(STALE_SHARE) {
                    self.fail(now, source, "old news");
                    return false;
                }
                self.sources.borrow_mut().succeeded(source);
                let pause = if changed { FOLLOW_PAUSE } else { LEAST_TURN };
                tokio::time::sleep(pause).await;
                true
            }
            Err(error) => {
                self.fail(now, source, &error.to_string());
                false
            }
        }
    }

    fn fail(&self, now: Instant, source: Source, cause: &str) {
        log::info!(source:? = source, cause, age_ms = self.age_ms(now); "source lost");
        self.sources.borrow_mut().failed(now, source, rand::random());
    }

    /// Notes that the store was heard at `at`, before the news is applied.
    fn hear(&self, now: Instant, at: Instant, direct: bool) {
        let age_ms = self.age_ms(now);
        if self.hearing.borrow_mut().record_contact(now, at, direct) {
            log::info!(age_ms; "store is back");
            self.mirror.borrow_mut().store_recovered(now);
        }
    }

    fn take(&self, now: Instant, batch: Batch) -> bool {
        log::debug!(
            full = batch.full,
            revision = batch.revision,
            puts = batch.puts.len(),
            removes = batch.removes.len();
            "news"
        );
        let changed = self.mirror.borrow_mut().apply(now, batch);
        if changed {
            self.publish();
        }
        let revision = self.mirror.borrow().revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        changed
    }

    fn publish(&self) {
        let view = self.mirror.borrow().view();
        let version = view.table.as_ref().map_or(0, |table| table.version());
        let before = self.publish.borrow().table.as_ref().map_or(0, |table| table.version());
        if version != before {
            let revision = self.mirror.borrow().revision();
            log::info!(version, before, revision; "configuration in force");
            self.shared.metrics.config_version.set(version.cast_signed());
        }
        self.publish.send_replace(view);
    }

    /// Drops lapsed entries when their time is over.
    async fn expire(self: Rc<Self>) {
        loop {
            let next = self.mirror.borrow().next_expiry();
            let at = next.unwrap_or_else(|| Instant::now() + EXPIRY_TURN);
            tokio::time::sleep_until(at.into()).await;
            let expired = self.mirror.borrow_mut().expire(Instant::now());
            if expired {
                log::info!("entries that lapsed with the store are gone");
                self.publish();
            }
        }
    }

    /// Keeps the host's own entry in the store until the process stops.
    async fn register(self: Rc<Self>, store: platform::Client) {
        let mut stop = self.shared.stop.clone();
        let mut registration = Registration::new(LEASE_TIME);
        let value = platform::host_value(&self.own);
        loop {
            let visible = self.mirror.borrow().contains(&self.own_key);
            let action = registration.next_action(Instant::now(), visible);
            tokio::select! {
                () = stop.wait() => break,
                () = self.act(&store, &mut registration, action, &value) => {}
            }
        }
        if let Some(lease) = registration.lease() {
            self.shared.metrics.store_calls.inc();
            if let Err(error) = store.revoke(lease).await {
                log::info!(error:%; "own entry is left to its lease");
            }
        }
    }

    async fn act(
        &self,
        store: &platform::Client,
        registration: &mut Registration,
        action: Action,
        value: &str,
    ) {
        let result = match action {
            Action::Wait(at) => {
                let at = at.min(Instant::now() + VISIBLE_TURN);
                return tokio::time::sleep_until(at.into()).await;
            }
            Action::Grant => {
                let granted = store.grant(LEASE_TIME).await;
                granted.map(|lease| registration.granted(Instant::now(), lease))
            }
            Action::Put(lease) => {
                let put = store.put(&self.own_key, value, lease).await;
                put.map(|()| registration.written(Instant::now()))
            }
            Action::Renew(lease) => {
                let renewed = store.renew(lease).await;
                renewed.map(|()| registration.renewed(Instant::now()))
            }
        };
        self.shared.metrics.store_calls.inc();
        if let Err(error) = result {
            log::info!(action:? = action, error:%; "own entry not kept");
            self.shared.metrics.store_failures.inc();
            if error.is_lease_not_found() {
                registration.lost();
            } else {
                registration.failed(Instant::now());
            }
        }
    }

    /// Answers callers that ask where to connect, and the platform's checks.
    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        match platform::discovery_request(request.uri().path(), request.uri().query()) {
            Some(DiscoveryRequest::Ready) => empty(if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }),
            Some(DiscoveryRequest::Addresses(domain)) => {
                let lifetime = DIRECTORY_LIFETIME.min(self.shared.settings.bounds.directory_ttl);
                let body = platform::addresses_body(&self.addresses(domain.as_deref()), lifetime);
                reply(StatusCode::OK, "application/json", body)
            }
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn addresses(&self, domain: Option<&str>) -> Vec<std::net::SocketAddr> {
        let mut view = View::clone(&self.publish.borrow());
        if self.shared.stop.is_set() {
            view.hosts.remove(&self.own.name);
        } else {
            view.hosts.insert(self.own.name.clone(), Arc::new(self.own.clone()));
        }
        directory::advertised_hosts(&view, domain).iter().map(|host| host.front).collect()
    }

    fn is_ready(&self) -> bool {
        !self.shared.stop.is_set() && self.publish.borrow().table.is_some()
    }

    /// Answers a host that follows this one.
    async fn follower(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let question = match request.uri().path() {
            follow::PATH => follow::question(request.uri().query()),
            _ => None,
        };
        let Some(follow::Question { after, wait }) = question else {
            return empty(StatusCode::NOT_FOUND);
        };
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|revision| *revision > after);
        // Without changes the follower still hears how old the news is.
        let _ = tokio::time::timeout(wait, newer).await;
        let batch = if self.mirror.borrow().revision() > after {
            self.mirror.borrow().since(after)
        } else {
            Batch::default()
        };
        let now = Instant::now();
        let settling_ms = self.mirror.borrow().hold_remaining(now).as_millis() as u64;
        let news = News { age_ms: self.age_ms(now), settling_ms, batch };
        match serde_json::to_string(&news) {
            Ok(body) => reply(StatusCode::OK, "application/json", body),
            Err(error) => {
                log::error!(error:%; "news cannot be encoded");
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn metrics(&self) -> Response<Body> {
        reply(StatusCode::OK, "text/plain; version=0.0.4", self.shared.metrics.text())
    }

    /// Returns how long to wait for changes at a source. A host whose news is old cannot wait to find
    /// out that its source is silent, and those that follow it should not wait while it does.
    fn patience(&self, source: Source, share: f64) -> Duration {
        let old = self.left_fresh(Instant::now()).is_zero();
        let suspect = self.sources.borrow().is_suspect(source);
        if old || suspect { Duration::ZERO } else { self.part(share) }
    }

    fn left_fresh(&self, now: Instant) -> Duration {
        self.hearing.borrow().remaining(now)
    }

    fn age_ms(&self, now: Instant) -> u64 {
        let age = self.hearing.borrow().age(now);
        age.map_or(NO_NEWS_MS, |age| age.as_millis() as u64)
    }

    fn part(&self, share: f64) -> Duration {
        self.shared.settings.bounds.max_propagation().mul_f64(share)
    }

    fn peers(&self) -> Vec<Peer> {
        let view = self.publish.borrow();
        let peer = |host: &Arc<Host>| Peer {
            name: host.name.clone(),
            domain: host.domain.clone(),
            address: host.peer,
        };
        view.hosts.values().map(peer).collect()
    }
}
