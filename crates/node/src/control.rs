//! The control thread: keeps the copy of the key-value store and the host's own entry up to date,
//! and answers callers' address lookups, followers and readiness checks of the hosting platform.

mod register;

use std::cell::RefCell;
use std::future::ready;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use feed::{
    Batch, Departure, Freshness, LEASE_TTL, Mirror, Peer, Position, Registrar, Registration,
    Source, Sources, Store,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use platform::DiscoveryRequest;
use table::{Host, View};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use crate::directory;
use crate::follow::{self, Update};
use crate::reporter::{Report, Reporter};
use crate::server::{Body, empty_response, http_builder, response, serve};
use crate::start::Shared;
use crate::suspension::Suspension;

/// Wait time of a watch of the store, as a fraction of the maximum propagation time. A connection
/// to the store that delivers nothing more is detected only when the watch should have returned.
const WATCH_WAIT_RATIO: f64 = 0.4;

/// Wait time of a request to another host, as a fraction of the maximum propagation time.
const FOLLOW_WAIT_RATIO: f64 = 0.3;

/// Time since the last contact with the store after which a copy is stale, as a fraction of the
/// maximum propagation time.
const STALE_AGE_RATIO: f64 = 0.62;

/// Time for which a removed entry may stay in the view without evidence of an outage of the store, as
/// a fraction of the maximum propagation time. The rest is for requests that are being sent.
const MAX_GRACE_RATIO: f64 = 0.9;

/// Delay after changes before the store is watched again, so that a burst of changes costs few
/// calls.
const WATCH_DELAY: Duration = Duration::from_millis(150);

/// Delay of a follower after changes. It is shorter than [`WATCH_DELAY`], since a request to
/// another host costs less than a call to the store.
const FOLLOW_DELAY: Duration = Duration::from_millis(60);

/// Time for which callers may cache an address lookup.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// Age that a host reports before its first contact with the store, in milliseconds: a year.
const NEVER_IN_CONTACT_MS: u64 = 365 * 24 * 3_600_000;

/// Delay after a failed read of a source; it limits how often a host with a stale copy retries.
const SOURCE_BACKOFF: Duration = Duration::from_millis(100);

/// Minimum delay between two reads, so that a faulty source that responds at once without changes
/// cannot cause a busy loop.
const MIN_READ_DELAY: Duration = Duration::from_millis(20);

/// Interval of checks for expired entries while there are none.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a host which knows no other one waits for others to register before it asks the store
/// again.
const PEER_DELAY: Duration = Duration::from_millis(300);

/// Listeners of the control thread.
pub struct Listeners {
    /// For the platform's readiness checks.
    pub readiness: TcpListener,
    /// For other hosts that follow this one.
    pub peer: TcpListener,
    /// For callers' address lookups.
    pub directory: TcpListener,
    /// For metrics.
    pub metrics: TcpListener,
}

/// Channels between the control thread and the traffic thread.
pub struct Channels {
    /// Views of the entries in the store.
    pub view: watch::Sender<Arc<View>>,
    /// Time of the state of the store that the views show.
    pub confirmed: watch::Sender<Option<Instant>>,
    /// Crashes of upstreams, from other hosts.
    pub reports: mpsc::Sender<Report>,
    /// Crashes of upstreams, which are written to the store.
    pub reported: mpsc::Receiver<Report>,
    /// Whether the host is cut off from all upstreams.
    pub isolated: watch::Receiver<bool>,
    /// Upstreams that have stated that they are leaving.
    pub departures: mpsc::Receiver<Departure>,
}

/// The state of the control thread.
pub struct Control {
    shared: Shared,
    own: Host,
    own_key: Box<str>,
    reports: mpsc::Sender<Report>,
    isolated: watch::Receiver<bool>,
    mirror: RefCell<Mirror>,
    sources: RefCell<Sources>,
    freshness: RefCell<Freshness>,
    registration: RefCell<Registration>,
    /// Wakes the registration after another host has confirmed or no longer confirms the own entry.
    cover_changed: Notify,
    registrar: RefCell<Registrar>,
    suspension: RefCell<Suspension>,
    /// Wakes the registration of followers.
    member_asked: Notify,
    view: watch::Sender<Arc<View>>,
    confirmed: watch::Sender<Option<Instant>>,
    position: watch::Sender<Position>,
    http: reqwest::Client,
}

impl Control {
    /// Runs the thread until the process ends. Writes the received reports to the store, and tells
    /// callers and other hosts while the host is isolated.
    pub async fn run(
        shared: Shared,
        store: platform::Client,
        listeners: Listeners,
        channels: Channels,
    ) {
        let Channels { view, confirmed, reports, reported, isolated, departures } = channels;
        let control = Rc::new(Self::new(shared, view, confirmed, reports, isolated));
        let metrics = Arc::clone(&control.shared.metrics);
        let (views, positions) = (control.view.subscribe(), control.position.subscribe());
        let (own, http) = (control.own.peer, control.http.clone());
        let reporter = Reporter::new(store.clone(), metrics, own, views, positions, http);
        spawn_local(reporter.run(reported));
        for listener in [listeners.directory, listeners.readiness] {
            let this = Rc::clone(&control);
            spawn_local(serve(listener, http_builder(), move |request| {
                ready(this.serve_discovery(&request))
            }));
        }
        let this = Rc::clone(&control);
        spawn_local(serve(listeners.peer, http_builder(), move |request| {
            Rc::clone(&this).serve_follower(request)
        }));
        let this = Rc::clone(&control);
        spawn_local(serve(listeners.metrics, http_builder(), move |_| ready(this.metrics())));
        spawn_local(Rc::clone(&control).register(store.clone()));
        spawn_local(Rc::clone(&control).register_followers(store.clone()));
        spawn_local(Rc::clone(&control).expire());
        spawn_local(Rc::clone(&control).record_departures(departures));
        control.follow(store).await;
    }

    fn new(
        shared: Shared,
        view: watch::Sender<Arc<View>>,
        confirmed: watch::Sender<Option<Instant>>,
        reports: mpsc::Sender<Report>,
        isolated: watch::Receiver<bool>,
    ) -> Self {
        let settings = &shared.settings;
        let own = Host {
            name: settings.host.clone(),
            domain: settings.domain.clone(),
            front: settings.front,
            peer: settings.peer,
            relay: Some(settings.relay),
            cores: settings.cores,
            isolated: false,
            registrar: None,
        };
        let peer = Peer { name: own.name.clone(), domain: own.domain.clone(), address: own.peer };
        let sources = Sources::new(peer, settings.seeds.clone());
        let fresh_for = settings.bounds.max_propagation().mul_f64(STALE_AGE_RATIO);
        Self {
            own_key: platform::host_key(&own.name),
            own,
            reports,
            isolated,
            mirror: RefCell::new(Mirror::new(platform::decode)),
            sources: RefCell::new(sources),
            freshness: RefCell::new(Freshness::new(fresh_for)),
            registration: RefCell::new(Registration::new(LEASE_TTL)),
            cover_changed: Notify::new(),
            registrar: RefCell::default(),
            suspension: RefCell::new(Suspension::new()),
            member_asked: Notify::new(),
            view,
            confirmed,
            position: watch::channel(Position::default()).0,
            http: reqwest::Client::builder().no_proxy().build().unwrap_or_default(),
            shared,
        }
    }

    /// Reads updates from the best available source, for as long as the thread runs.
    async fn follow(&self, store: platform::Client) {
        let mut last = None;
        loop {
            let now = Instant::now();
            let stale = self.remaining_freshness(now).is_zero();
            let chosen = self.sources.borrow().choose(now, &self.peers(), stale);
            let source = match chosen {
                Ok(source) => source,
                Err(at) => {
                    tokio::time::sleep_until(at.into()).await;
                    continue;
                }
            };
            if last != Some(source) {
                log::info!(
                    source:? = source,
                    revision = self.mirror.borrow().position().revision;
                    "reading store updates"
                );
                last = Some(source);
            }
            let succeeded = match source {
                Source::Store => self.read_store(&store).await,
                Source::Peer(_) => self.read_peer(source).await,
            };
            if !succeeded {
                tokio::time::sleep(SOURCE_BACKOFF).await;
            }
        }
    }

    /// Reads updates from the store; returns whether the read succeeded.
    async fn read_store(&self, store: &platform::Client) -> bool {
        let after = self.mirror.borrow().read_position().revision;
        let wait = self.wait_time(Source::Store, WATCH_WAIT_RATIO);
        self.shared.metrics.store_calls.inc();
        let result = if after == 0 { store.read().await } else { store.watch(after, wait).await };
        let result = match result {
            Err(error) if error.is_compacted() => {
                log::info!(after; "changes since this revision are compacted; reading all entries");
                self.shared.metrics.store_calls.inc();
                store.read().await
            }
            other => other,
        };
        let now = Instant::now();
        match result {
            Ok(batch) => {
                if batch.full {
                    log::info!(
                        era = batch.era,
                        revision = batch.revision,
                        own_revision = after;
                        "read all entries of the store"
                    );
                }
                self.sources.borrow_mut().succeeded(Source::Store);
                self.record_contact(now, now, true);
                let delay = if self.apply(now, batch) { WATCH_DELAY } else { MIN_READ_DELAY };
                let knows_others = self.view.borrow().hosts.len() > 1;
                let delay = if knows_others { delay } else { delay.max(PEER_DELAY) };
                tokio::time::sleep(delay).await;
                true
            }
            Err(error) => {
                self.shared.metrics.store_failures.inc();
                self.freshness.borrow_mut().record_failure(now);
                self.record_failure(now, Source::Store, &error.to_string());
                false
            }
        }
    }

    /// Reads updates from another host; returns whether the read succeeded and that host's copy was
    /// fresh.
    async fn read_peer(&self, source: Source) -> bool {
        let Source::Peer(address) = source else { return false };
        let after = self.mirror.borrow().read_position();
        let sent = Instant::now();
        let max_wait = self.freshness.borrow().max_wait(sent);
        let wait = self.wait_time(source, FOLLOW_WAIT_RATIO).min(max_wait);
        let request = follow::Request { after, wait };
        let entry = self.entry_for_registrar();
        let result = follow::fetch(&self.http, address, &request, entry.as_ref()).await;
        let now = Instant::now();
        match result {
            Ok(Update { batch, .. }) if self.mirror.borrow().is_outdated(batch.era) => {
                self.record_failure(now, source, "copy of an earlier era of the store");
                false
            }
            Ok(Update { age_ms, grace_ms, cover, batch }) => {
                let age = Duration::from_millis(age_ms);
                // The network delay counts as age, since the response may have been late.
                let network_delay = (now - sent).saturating_sub(request.wait);
                self.record_contact(
                    now,
                    now.checked_sub(age + network_delay).unwrap_or(now),
                    false,
                );
                let grace = Duration::from_millis(grace_ms);
                let grace = self.max_grace(now).map_or(grace, |max| grace.min(max));
                self.mirror.borrow_mut().extend_grace_period(now, grace);
                let changed = self.apply(now, batch);
                self.record_cover(now, sent, request.wait, cover);
                if age > self.propagation_fraction(STALE_AGE_RATIO) {
                    self.record_failure(now, source, "stale copy");
                    return false;
                }
                self.sources.borrow_mut().succeeded(source);
                let delay = if changed { FOLLOW_DELAY } else { MIN_READ_DELAY };
                tokio::time::sleep(delay).await;
                true
            }
            Err(error) => {
                self.record_failure(now, source, &error.to_string());
                false
            }
        }
    }

    /// Records a failed read of a source, with the cause for the log.
    fn record_failure(&self, now: Instant, source: Source, cause: &str) {
        log::info!(
            source:? = source,
            cause,
            age_ms = self.age_ms(now);
            "source of store updates failed"
        );
        self.sources.borrow_mut().failed(now, source, rand::random());
    }

    /// Records a contact with the store at the time `at`, directly or through another host. This
    /// must be called before the updates are applied: if the store was unavailable until now,
    /// entries whose leases expired meanwhile stay in the view for a grace period.
    fn record_contact(&self, now: Instant, at: Instant, direct: bool) {
        let age_ms = self.age_ms(now);
        if !self.freshness.borrow_mut().record_contact(now, at, direct) {
            return;
        }
        let mut mirror = self.mirror.borrow_mut();
        if let Some(max_grace) = self.max_grace(now) {
            let max_grace_ms = max_grace.as_millis() as u64;
            log::info!(age_ms, direct, max_grace_ms; "copy of the store was stale");
            mirror.store_may_have_recovered(now, max_grace);
        } else {
            log::info!(age_ms, direct; "store is available again");
            mirror.store_recovered(now);
        }
    }

    /// Returns for how long entries that the last update removes may stay in the view, unless that
    /// is not limited.
    fn max_grace(&self, now: Instant) -> Option<Duration> {
        self.freshness.borrow().max_grace(now, self.propagation_fraction(MAX_GRACE_RATIO))
    }

    /// Applies a batch to the mirror, publishes the view if any entry changed, and wakes the
    /// followers. Returns whether any entry changed.
    fn apply(&self, now: Instant, batch: Batch) -> bool {
        log::debug!(
            full = batch.full,
            era = batch.era,
            revision = batch.revision,
            puts = batch.puts.len(),
            removes = batch.removes.len();
            "applying store changes"
        );
        let before = self.mirror.borrow().position();
        let changed = self.mirror.borrow_mut().apply(now, batch);
        let position = self.mirror.borrow().position();
        if position.era != before.era {
            log::info!(
                era = position.era,
                before = before.era,
                revision = position.revision,
                revision_before = before.revision;
                "a new era of the store has begun"
            );
            self.shared.metrics.store_era.set(position.era.cast_signed());
        }
        if changed {
            self.publish();
        }
        self.confirmed.send_replace(self.freshness.borrow().confirmed());
        self.position.send_if_modified(|known| std::mem::replace(known, position) != position);
        changed
    }

    /// Publishes the view of the current entries to the traffic thread.
    fn publish(&self) {
        let view = self.mirror.borrow().view();
        let version = view.table.as_ref().map_or(0, |table| table.version());
        let before = self.view.borrow().table.as_ref().map_or(0, |table| table.version());
        if version != before {
            let revision = self.mirror.borrow().position().revision;
            log::info!(version, before, revision; "configuration in force");
            self.shared.metrics.config_version.set(version.cast_signed());
        }
        self.view.send_replace(view);
    }

    /// Takes upstreams that have stated that they are leaving out of the view.
    async fn record_departures(self: Rc<Self>, mut departures: mpsc::Receiver<Departure>) {
        while let Some(departure) = departures.recv().await {
            if self.mirror.borrow_mut().record_departure(Instant::now(), departure) {
                self.shared.metrics.departures.inc();
                self.publish();
            }
        }
    }

    /// Removes expired entries from the view once their grace period has ended.
    async fn expire(self: Rc<Self>) {
        loop {
            let next = self.mirror.borrow().next_expiry();
            let at = next.unwrap_or_else(|| Instant::now() + EXPIRY_CHECK_INTERVAL);
            tokio::time::sleep_until(at.into()).await;
            let expired = self.mirror.borrow_mut().expire(Instant::now());
            if expired {
                log::info!("removed entries whose leases expired while the store was unavailable");
                self.publish();
            }
        }
    }

    /// Answers callers' address lookups and the platform's readiness checks.
    fn serve_discovery(&self, request: &Request<Incoming>) -> Response<Body> {
        match platform::discovery_request(request.uri().path(), request.uri().query()) {
            Some(DiscoveryRequest::Ready) => empty_response(if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }),
            Some(DiscoveryRequest::Addresses(domain)) => {
                let ttl = DIRECTORY_TTL.min(self.shared.settings.bounds.directory_ttl);
                let body = platform::addresses_body(&self.addresses(domain.as_deref()), ttl);
                response(StatusCode::OK, "application/json", body)
            }
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Returns the addresses that callers of a failure domain should connect to. The host counts
    /// itself even if its entry is not in the store yet, and leaves itself out once it is stopping.
    fn addresses(&self, domain: Option<&str>) -> Vec<std::net::SocketAddr> {
        let mut view = View::clone(&self.view.borrow());
        if self.shared.stop.is_set() {
            view.hosts.remove(&self.own.name);
        } else {
            view.hosts.insert(self.own.name.clone(), Arc::new(self.own_host()));
        }
        directory::advertised_hosts(&view, domain).iter().map(|host| host.front).collect()
    }

    /// Returns the host's own entry.
    fn own_host(&self) -> Host {
        Host { isolated: *self.isolated.borrow(), ..self.own.clone() }
    }

    fn is_ready(&self) -> bool {
        !self.shared.stop.is_set() && self.shared.configured.load(Ordering::Acquire)
    }

    /// Accepts the report of a crash from another host, to write it to the store.
    fn accept_report(&self, query: Option<&str>) -> Response<Body> {
        let Some(strike) = follow::parse_report(query) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match self.reports.try_send(Report { strike, delegated: true }) {
            Ok(()) => empty_response(StatusCode::OK),
            Err(error) => {
                log::warn!(error:%; "cannot accept the report of a crash from another host");
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }

    /// Answers a host that follows this one, after the first change or the wait time of the
    /// request.
    async fn serve_follower(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let parsed = match request.uri().path() {
            follow::PATH => follow::parse_request(request.uri().query()),
            follow::CRASHES_PATH => return self.accept_report(request.uri().query()),
            _ => None,
        };
        let Some(follow::Request { after, wait }) = parsed else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let entry = follow::entry(request.headers());
        let member = entry.and_then(|entry| self.accept_member(Instant::now(), &entry));
        let mut position = self.position.subscribe();
        let changed = position.wait_for(|position| position.is_after(after));
        // Without changes the follower still gets the age of this host's copy.
        let _ = tokio::time::timeout(wait, changed).await;
        let batch = self.mirror.borrow().since(after);
        let now = Instant::now();
        let grace_ms = self.mirror.borrow().grace_remaining(now).as_millis() as u64;
        let cover = member.and_then(|key| self.cover(now, &key));
        let update = Update { age_ms: self.age_ms(now), grace_ms, cover, batch };
        match serde_json::to_string(&update) {
            Ok(body) => response(StatusCode::OK, "application/json", body),
            Err(error) => {
                log::error!(error:%; "cannot encode updates for a follower");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn metrics(&self) -> Response<Body> {
        response(StatusCode::OK, "text/plain; version=0.0.4", self.shared.metrics.text())
    }

    /// Returns how long a request to a source may wait for changes: `ratio` of the maximum
    /// propagation time, or zero when the own copy is stale or the last read of the source failed.
    /// A host with a stale copy must find out at once whether its source responds, and its
    /// followers must not wait while it does.
    fn wait_time(&self, source: Source, ratio: f64) -> Duration {
        let stale = self.remaining_freshness(Instant::now()).is_zero();
        let suspect = self.sources.borrow().is_suspect(source);
        if stale || suspect { Duration::ZERO } else { self.propagation_fraction(ratio) }
    }

    /// Returns how long the copy stays fresh, or zero if it is stale.
    fn remaining_freshness(&self, now: Instant) -> Duration {
        self.freshness.borrow().remaining(now)
    }

    /// Returns the time since the last contact with the store, in milliseconds.
    fn age_ms(&self, now: Instant) -> u64 {
        let age = self.freshness.borrow().age(now);
        age.map_or(NEVER_IN_CONTACT_MS, |age| age.as_millis() as u64)
    }

    fn propagation_fraction(&self, ratio: f64) -> Duration {
        self.shared.settings.bounds.max_propagation().mul_f64(ratio)
    }

    /// Returns all registered hosts, including this one.
    fn peers(&self) -> Vec<Peer> {
        let view = self.view.borrow();
        let peer = |host: &Arc<Host>| Peer {
            name: host.name.clone(),
            domain: host.domain.clone(),
            address: host.peer,
        };
        view.hosts.values().map(peer).collect()
    }
}
