//! State of the traffic thread for upstreams, services and routes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::Departure;
use hedge::{Purpose, WindowBudget};
use limit::Window;
use pick::{Candidate, Election, Hosts};
use platform::Settings;
use quarantine::Fingerprint;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use table::{Domain, Route, ServiceName, Share, Split, Upstream, UpstreamId, View};
use tokio::sync::{mpsc, watch};

use crate::alerts::MAX_RECEIVERS;
use crate::crashes::Crashes;
use crate::directory;
use crate::endpoint::{Context, Endpoint};
use crate::forward::{Forwarder, Forwarders, Prober};
use crate::latency::Latency;
use crate::peer::Peer;
use crate::relays::Relays;

/// Fraction of the limit on extra attempts that hosts use. The rest covers extra attempts that
/// restarted hosts no longer remember, and those that cross the boundaries of a time window.
const EXTRA_LIMIT_RATIO: f64 = 0.75;

/// Fraction of the fixed allowance of extra attempts (`extra_slack`, granted per window whatever
/// the request rate) that is divided among the advertised hosts. The other hosts divide the rest;
/// these hosts get requests only from callers with an outdated result of an address lookup.
const ADVERTISED_SLACK_RATIO: f64 = 0.9;

/// Time for which a host is expected to keep its connections after it is no longer advertised.
const ADVERTISED_TTL: Duration = Duration::from_secs(20);

/// Time for which the statistics and the rate limit of an upstream are kept after it has left the
/// view. It may return when its failure domain or its entry in the store does.
const DEPARTED_TTL: Duration = Duration::from_secs(60);

/// Cost of a request to another failure domain as a multiple of the typical latency. It accounts
/// for the bytes that cross between domains.
const REMOTE_COST_FACTOR: f64 = 2.5;

/// Cost of a part that a relay in another failure domain returns in one message with others, as a
/// multiple of the typical latency.
const RELAYED_COST_FACTOR: f64 = 2.0;

/// Number of upstreams of all services to which connections are tried in order to learn whether the
/// host is isolated.
const CHECKED_UPSTREAMS: usize = 4;

/// Upstreams, services and routes of the current view, with their statistics and limits.
pub struct Registry {
    settings: Arc<Settings>,
    state: RefCell<State>,
}

struct State {
    endpoints: BTreeMap<UpstreamId, Rc<Endpoint>>,
    /// Upstreams that have left the view, and when.
    departed: BTreeMap<UpstreamId, (Instant, Rc<Endpoint>)>,
    services: BTreeMap<ServiceName, Rc<[Rc<Endpoint>]>>,
    budgets: BTreeMap<ServiceName, WindowBudget>,
    latencies: BTreeMap<Box<str>, Rc<RefCell<Latency>>>,
    splits: BTreeMap<Box<str>, Split>,
    relays: Relays,
    forwarders: Forwarders,
    windows: BTreeMap<Box<str>, Window>,
    waiting: BTreeMap<ServiceName, Rc<()>>,
    context: Rc<Context>,
    random: StdRng,
    recent_advertised: Option<(Instant, usize)>,
    /// Whether callers are told to use this host.
    is_advertised: bool,
    is_shutting_down: bool,
    /// Whether this host forwards the requests that reach it, because callers are told to use others
    /// and its processor share is small.
    forwards: bool,
    /// Fixed number of extra attempts that this host may send to each service per window, whatever
    /// the request rate.
    slack: f64,
}

/// A part that waits for an upstream, for as long as the value exists.
pub struct Waiting(#[expect(dead_code, reason = "its references are counted")] Rc<()>);

/// Admission of one query; dropping it releases its place in the route's window.
pub struct Permit<'a> {
    registry: &'a Registry,
    route: &'a Route,
    congested: bool,
}

impl Permit<'_> {
    /// Marks the query as late or failed because of overloaded upstreams, so that the window
    /// shrinks.
    pub fn mark_congested(&mut self) {
        self.congested = true;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let windows = &mut self.registry.state.borrow_mut().windows;
        if let Some(window) = windows.get_mut(&self.route.name) {
            window.release(Instant::now(), self.congested);
        }
    }
}

/// The hosts that service discovery advertises to callers.
struct Advertised {
    count: usize,
    includes_self: bool,
}

impl State {
    /// Keeps those of the previous upstreams that have left the view, without connections, and
    /// drops those that have returned or have been gone for [`DEPARTED_TTL`].
    fn keep_departed(&mut self, now: Instant, previous: BTreeMap<UpstreamId, Rc<Endpoint>>) {
        for (id, endpoint) in previous {
            if !self.endpoints.contains_key(&id) {
                endpoint.connections.close();
                self.departed.insert(id, (now, endpoint));
            }
        }
        let endpoints = &self.endpoints;
        self.departed.retain(|id, (since, _)| {
            !endpoints.contains_key(id) && now.saturating_duration_since(*since) < DEPARTED_TTL
        });
    }

    /// Returns the recent maximum of the number of advertised hosts. A host that is not advertised
    /// for a moment still has its connections.
    fn recent_advertised(&mut self, now: Instant, current: usize) -> usize {
        let recent =
            self.recent_advertised.filter(|(until, count)| now < *until && *count > current);
        let (until, count) = recent.unwrap_or((now + ADVERTISED_TTL, current));
        self.recent_advertised = Some((until, count));
        count.max(1)
    }
}

impl Registry {
    /// Creates an empty registry; `seed` determines how ties are broken.
    ///
    /// Whether the host is isolated is published to `isolated`, and upstreams that state that they
    /// are leaving are sent to `departures`.
    pub fn new(
        settings: Arc<Settings>,
        crashes: Rc<Crashes>,
        isolated: watch::Sender<bool>,
        departures: mpsc::Sender<Departure>,
        seed: u64,
    ) -> Self {
        let hosts = RefCell::new(Hosts::new(&settings.host));
        let state = State {
            endpoints: BTreeMap::new(),
            departed: BTreeMap::new(),
            services: BTreeMap::new(),
            budgets: BTreeMap::new(),
            latencies: BTreeMap::new(),
            splits: BTreeMap::new(),
            relays: Relays::default(),
            windows: BTreeMap::new(),
            waiting: BTreeMap::new(),
            context: Rc::new(Context {
                settings: Arc::clone(&settings),
                view: RefCell::default(),
                confirmed: Cell::new(None),
                hosts,
                election: RefCell::new(Election::new(&settings.host)),
                buffers: Rc::default(),
                crashes,
                isolation: RefCell::default(),
                isolated,
                departures,
            }),
            forwarders: Forwarders::default(),
            random: StdRng::seed_from_u64(seed),
            recent_advertised: None,
            is_advertised: false,
            is_shutting_down: false,
            forwards: false,
            slack: 0.0,
        };
        Self { settings, state: RefCell::new(state) }
    }

    /// Returns the state that all endpoints share.
    pub fn context(&self) -> Rc<Context> {
        Rc::clone(&self.state.borrow().context)
    }

    /// Returns the requests that crash upstreams.
    pub fn crashes(&self) -> Rc<Crashes> {
        Rc::clone(&self.state.borrow().context.crashes)
    }

    /// Returns a random available host to which a request can be forwarded.
    pub fn forwarder(&self, now: Instant) -> Option<Rc<Forwarder>> {
        let state = &mut *self.state.borrow_mut();
        state.forwarders.choose(now, state.random.random())
    }

    /// Returns whether this host forwards the requests that reach it, because callers are told to use
    /// others and its processor share is small.
    pub fn forwards(&self) -> bool {
        self.state.borrow().forwards
    }

    /// Returns the hosts that may send a suspected request to an upstream, in their order.
    pub fn probers(&self, now: Instant, request: Fingerprint) -> Vec<Prober> {
        self.state.borrow().forwarders.probers(now, request)
    }

    /// Returns the version of the configuration that forwarded requests must at least be based on.
    pub fn forwarded_version(&self) -> u64 {
        let state = self.state.borrow();
        let view = state.context.view.borrow();
        let own = view.table.as_ref().map_or(0, |table| table.version());
        own.max(state.forwarders.newest_version)
    }

    /// Records the version of the configuration in an answer of another host.
    pub fn record_forwarded_version(&self, version: u64) {
        let newest = &mut self.state.borrow_mut().forwarders.newest_version;
        *newest = version.max(*newest);
    }

    /// Records that the shutdown of the host has begun. It is no longer advertised then, but keeps
    /// its share of connections and attempts, which its requests in flight need.
    pub fn begin_shutdown(&self) {
        self.state.borrow_mut().is_shutting_down = true;
    }

    /// Returns the upstreams to which connections are tried in order to learn whether the host is
    /// isolated, if that is due. One of them is in the host's own failure domain, if there is any.
    pub fn start_isolation_check(&self, now: Instant) -> Option<Vec<Rc<Endpoint>>> {
        let state = &mut *self.state.borrow_mut();
        let upstreams = state.endpoints.len();
        if !state.context.isolation.borrow_mut().start_check(now, upstreams) {
            return None;
        }
        let local = state.endpoints.values().filter(|endpoint| !endpoint.remote);
        let sample = local.sample(&mut state.random, 1).into_iter().cloned();
        let mut sample: Vec<_> = sample.collect();
        sample.extend(
            state
                .endpoints
                .values()
                .sample(&mut state.random, CHECKED_UPSTREAMS)
                .into_iter()
                .cloned(),
        );
        Some(sample)
    }

    /// Records the result of a check that began at `started`. Idle connections of an isolated host
    /// are closed, since they may have been lost.
    pub fn end_isolation_check(&self, now: Instant, started: Instant, connected: bool) {
        let state = self.state.borrow();
        let changed = state.context.isolation.borrow_mut().end_check(now, started, connected);
        if !changed {
            return;
        }
        if !connected {
            state.endpoints.values().for_each(|endpoint| endpoint.connections.clear());
        }
        state.context.publish_isolation();
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.state.borrow().context.view.borrow())
    }

    /// Replaces the view. Upstreams that the new view does not contain get no more requests.
    /// Returns the upstreams that are new if this host is advertised, since callers' requests for
    /// them are then likely.
    pub fn update(&self, now: Instant, view: &Arc<View>) -> Vec<Rc<Endpoint>> {
        let state = &mut *self.state.borrow_mut();
        state.context.view.replace(Arc::clone(view));
        let names = advertised_names(view);
        if !state.is_shutting_down {
            state.is_advertised = names.contains(&self.settings.host);
        }
        let advertised = Advertised {
            count: state.recent_advertised(now, names.len()),
            includes_self: state.is_advertised,
        };
        state.forwards = !advertised.includes_self && directory::is_weak(view, self.settings.cores);
        state.context.crashes.update(now, view);
        state.context.hosts.borrow_mut().update(now, &names, view.hosts.len());
        // A host that reaches no upstream must not keep others from sending.
        let eligible = view.hosts.values().filter(|host| !host.isolated);
        let eligible = eligible.map(|host| (&*host.name, &*host.domain));
        state.context.election.borrow_mut().update(now, eligible);
        let mut services: BTreeMap<ServiceName, Vec<Rc<Endpoint>>> = BTreeMap::new();
        let mut endpoints = BTreeMap::new();
        let mut new = Vec::new();
        for (name, upstreams) in &view.upstreams {
            let max = max_connections(view, name, &advertised);
            for upstream in upstreams {
                let known = state.endpoints.get(&upstream.id);
                let known = known.filter(|endpoint| Arc::ptr_eq(&endpoint.upstream, upstream));
                let endpoint = known.cloned().unwrap_or_else(|| {
                    let departed = state.departed.get(&upstream.id).map(|(_, endpoint)| endpoint);
                    let previous = state.endpoints.get(&upstream.id).or(departed);
                    Rc::new(self.create_endpoint(now, upstream, &state.context, previous))
                });
                endpoint.connections.set_max(max);
                endpoint.update_rate(now);
                if let Some(cold) = endpoint.replica.borrow_mut().cold_start_mut() {
                    cold.set_turn(endpoint.cold_turn());
                }
                if advertised.includes_self && !state.endpoints.contains_key(&upstream.id) {
                    new.push(Rc::clone(&endpoint));
                }
                endpoints.insert(upstream.id.clone(), Rc::clone(&endpoint));
                services.entry(name.clone()).or_default().push(endpoint);
            }
        }
        let previous = std::mem::replace(&mut state.endpoints, endpoints);
        state.keep_departed(now, previous);
        state.relays.update(view, &self.settings.domain);
        state.forwarders.update(view, &names, &self.settings.host, &self.settings.domain);
        state.context.crashes.set_alert_receivers(self.alert_receivers(view, &names));
        let shared = |(name, endpoints): (_, Vec<_>)| (name, Rc::from(endpoints));
        state.services = services.into_iter().map(shared).collect();
        state.waiting.retain(|_, waiting| Rc::strong_count(waiting) > 1);
        state.slack = self.slack(view, &advertised);
        let slack = state.slack;
        state.budgets.values_mut().for_each(|budget| budget.set_slack(slack));
        if let Some(table) = &view.table {
            let routes = || table.routes().map(|route| &route.name);
            state.latencies.retain(|name, _| routes().any(|route| route == name));
            state.splits.retain(|name, _| routes().any(|route| route == name));
            state.windows.retain(|name, window| {
                window.in_flight() > 0 || routes().any(|route| route == name)
            });
        }
        new
    }

    /// Returns the upstreams of a service, none if the service is unknown.
    pub fn endpoints(&self, service: &str) -> Rc<[Rc<Endpoint>]> {
        self.state.borrow().services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the earliest time at which an upstream of a service may get another request, or
    /// `None` if the service has no upstreams. Requests that already wait for upstreams with a rate
    /// limit come first.
    pub fn available_at(&self, now: Instant, service: &str) -> Option<Instant> {
        let endpoints = self.endpoints(service);
        let available =
            endpoints.iter().map(|endpoint| endpoint.replica.borrow().available_at(now));
        let rates = endpoints.iter().map(|endpoint| endpoint.replica.borrow().rate());
        Some(available.min()? + pick::queue_time(rates, self.waiting(service)))
    }

    /// Counts a part that waits for an upstream of a service until the returned value is dropped.
    pub fn wait(&self, service: &ServiceName) -> Waiting {
        let waiting = &mut self.state.borrow_mut().waiting;
        Waiting(Rc::clone(waiting.entry(service.clone()).or_default()))
    }

    /// Returns the number of parts that wait for an upstream of a service.
    fn waiting(&self, service: &str) -> usize {
        let waiting = &self.state.borrow().waiting;
        waiting.get(service).map_or(0, |waiting| Rc::strong_count(waiting) - 1)
    }

    /// Returns the upstream with the given id if it is part of the view.
    pub fn endpoint(&self, id: &str) -> Option<Rc<Endpoint>> {
        self.state.borrow().endpoints.get(id).cloned()
    }

    /// Selects at random a failure domain, other than this host's, with a relay that is available
    /// for a request with the given flush timeout.
    pub fn relay_domain(&self, now: Instant, flush_timeout: Duration) -> Option<Domain> {
        let state = &mut *self.state.borrow_mut();
        state.relays.choose_domain(now, flush_timeout, state.random.random())
    }

    /// Returns whether a failure domain has a relay that is available for a request with the
    /// given flush timeout.
    pub fn has_relay(&self, now: Instant, flush_timeout: Duration, domain: &str) -> bool {
        self.state.borrow().relays.has_available(now, flush_timeout, domain)
    }

    /// Returns, for a request with the given flush timeout, the available relay of a failure domain
    /// with the lowest cost, if there is one.
    pub fn relay(&self, now: Instant, flush_timeout: Duration, domain: &str) -> Option<Rc<Peer>> {
        let state = &mut *self.state.borrow_mut();
        state.relays.choose_relay(now, flush_timeout, domain, state.random.random())
    }

    /// Returns the recent latencies of a route's parts.
    pub fn latency(&self, route: &Route) -> Rc<RefCell<Latency>> {
        let latencies = &mut self.state.borrow_mut().latencies;
        if let Some(latency) = latencies.get(&route.name) {
            return Rc::clone(latency);
        }
        let latency = Rc::new(RefCell::new(Latency::new(route.objective)));
        latencies.insert(route.name.clone(), Rc::clone(&latency));
        latency
    }

    /// Returns the share of a split that gets the next request, or `None` if there is none with a
    /// weight.
    pub fn next_share<'a>(&self, route: &str, shares: &'a [Share]) -> Option<&'a Share> {
        let splits = &mut self.state.borrow_mut().splits;
        let split = splits.entry(route.into()).or_default();
        split.next(shares).map(|index| &shares[index])
    }

    /// Admits a query of a route. Returns `None` if the route's window is full, because the
    /// upstreams are overloaded.
    pub fn admit<'a>(&'a self, route: &'a Route) -> Option<Permit<'a>> {
        let windows = &mut self.state.borrow_mut().windows;
        let window = windows.entry(route.name.clone()).or_insert_with(Window::for_route);
        // The permit is created only on success, because dropping it releases a place in the
        // window.
        if window.try_acquire() {
            Some(Permit { registry: self, route, congested: false })
        } else {
            None
        }
    }

    /// Counts the first attempt of a request to a service, on which the attempt budget is based.
    pub fn count_request(&self, now: Instant, service: &str) {
        self.with_budget(now, service, |budget| budget.record_request(now));
    }

    /// Takes one extra attempt from the budget of a service. Returns whether the budget allowed it
    /// for this purpose.
    pub fn try_take_extra(&self, now: Instant, service: &str, purpose: Purpose) -> bool {
        self.with_budget(now, service, |budget| budget.try_take(now, purpose))
    }

    /// Chooses the upstream with the lowest cost among those that have a connection available.
    /// Parts from the domain `preferred` cost less, because a relay returns them in one message.
    pub fn choose<'a>(
        &self,
        now: Instant,
        typical: Duration,
        endpoints: impl Iterator<Item = &'a Rc<Endpoint>>,
        preferred: Option<&str>,
    ) -> Option<Rc<Endpoint>> {
        let endpoints: Vec<_> = endpoints.filter(|endpoint| !endpoint.replaced.get()).collect();
        let replicas: Vec<_> = endpoints.iter().map(|endpoint| endpoint.replica.borrow()).collect();
        let penalty = |endpoint: &Endpoint| match preferred {
            _ if !endpoint.remote => Duration::ZERO,
            Some(domain) if *domain == *endpoint.upstream.domain => {
                typical.mul_f64(RELAYED_COST_FACTOR)
            }
            _ => typical.mul_f64(REMOTE_COST_FACTOR),
        };
        let pairs = endpoints.iter().zip(&replicas);
        let candidates: Vec<_> = pairs
            .map(|(endpoint, replica)| Candidate {
                replica,
                penalty: penalty(endpoint),
                has_room: endpoint.has_room(),
            })
            .collect();
        let draw = self.state.borrow_mut().random.random();
        let index = pick::choose(now, typical, &candidates, draw)?;
        Some(Rc::clone(endpoints[index]))
    }

    /// Records that the view shows the state of the store at a time.
    pub fn confirm(&self, at: Option<Instant>) {
        self.state.borrow().context.confirmed.set(at);
    }

    /// Returns whether all upstreams of a service were lost and could not be reached since.
    pub fn is_gone(&self, service: &str) -> bool {
        let endpoints = self.endpoints(service);
        let is_gone = |endpoint: &Rc<Endpoint>| {
            endpoint.replaced.get() || endpoint.replica.borrow().is_gone()
        };
        !endpoints.is_empty() && endpoints.iter().all(is_gone)
    }

    fn with_budget<T>(
        &self,
        now: Instant,
        service: &str,
        act: impl FnOnce(&mut WindowBudget) -> T,
    ) -> T {
        let state = &mut *self.state.borrow_mut();
        if let Some(budget) = state.budgets.get_mut(service) {
            return act(budget);
        }
        let bounds = &self.settings.bounds;
        let ratio = bounds.extra_ratio * EXTRA_LIMIT_RATIO;
        let budget = WindowBudget::new(now, bounds.extra_window, ratio, state.slack);
        act(state.budgets.entry(service.into()).or_insert(budget))
    }

    /// Returns the addresses of the other advertised hosts, those in this host's failure domain first.
    /// Callers repeat their requests there.
    fn alert_receivers(&self, view: &View, advertised: &[Box<str>]) -> Vec<SocketAddr> {
        let others = advertised.iter().filter(|name| **name != self.settings.host);
        let mut others: Vec<_> = others.filter_map(|name| view.hosts.get(name)).collect();
        others.sort_by_key(|host| host.domain != self.settings.domain);
        others.into_iter().filter_map(|host| host.relay).take(MAX_RECEIVERS).collect()
    }

    /// Returns this host's part of the fixed allowance of extra attempts per service and window;
    /// see [`ADVERTISED_SLACK_RATIO`].
    fn slack(&self, view: &View, advertised: &Advertised) -> f64 {
        let total = self.settings.bounds.extra_slack * EXTRA_LIMIT_RATIO;
        if advertised.includes_self {
            return total * ADVERTISED_SLACK_RATIO / advertised.count as f64;
        }
        let others = view.hosts.len().saturating_sub(advertised.count).max(1);
        total * (1.0 - ADVERTISED_SLACK_RATIO) / others as f64
    }

    fn create_endpoint(
        &self,
        now: Instant,
        upstream: &Arc<Upstream>,
        context: &Rc<Context>,
        previous: Option<&Rc<Endpoint>>,
    ) -> Endpoint {
        let remote = upstream.domain != self.settings.domain;
        let same = previous.filter(|previous| {
            previous.upstream.started_ms == upstream.started_ms
                && previous.upstream.address == upstream.address
        });
        let endpoint =
            Endpoint::new(Arc::clone(upstream), remote, context, same.map(|previous| &**previous));
        if !upstream.warmup_left.is_zero() {
            let mut cold = endpoint.cold_start(now + upstream.warmup_left);
            // The health check may have told of this start before the entry did.
            if let Some(previous) = previous
                && let Some(earlier) = previous.replica.borrow().cold_start()
            {
                cold.follow(earlier);
            }
            endpoint.replica.borrow_mut().set_cold_start(Some(cold));
        }
        endpoint
    }
}

/// Returns the names of the hosts that are advertised to the callers of any failure domain. They
/// open most of the connections to upstreams.
fn advertised_names(view: &View) -> Vec<Box<str>> {
    let mut names: Vec<Box<str>> = Vec::new();
    let mut domains: Vec<_> = view.hosts.values().map(|host| &host.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let advertised = directory::advertised_hosts(view, Some(domain));
        names.extend(advertised.into_iter().map(|host| host.name.clone()));
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// Returns the maximum number of connections to each upstream of a service. A host that is not
/// advertised forwards its requests, and needs a connection only while it reaches no advertised host.
fn max_connections(view: &View, service: &str, advertised: &Advertised) -> usize {
    if !advertised.includes_self {
        return 1;
    }
    let service = view.table.as_ref().and_then(|table| table.service(service));
    pick::connection_share(service.map_or(0, |service| service.max_connections), advertised.count)
}
