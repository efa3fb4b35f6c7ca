//! What the traffic thread knows of upstreams, services and routes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hedge::{Purpose, WindowBudget};
use limit::Window;
use pick::{Candidate, ColdStart};
use platform::Settings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use table::{Domain, Route, ServiceName, Share, Split, Upstream, UpstreamId, View};

use crate::directory;
use crate::endpoint::Endpoint;
use crate::latency::Latency;
use crate::peer::Peer;
use crate::relays::Relays;

/// Part of the shared extra requests that this host uses: what hosts that were restarted have
/// forgotten, and what crosses the edges of a span, must fit beside it.
const EXTRA_SHARE: f64 = 0.75;

/// Part of the extra requests beside the ratio that hosts share which callers are sent to; others
/// get requests only from callers with an old answer of the directory.
const DIALER_SLACK: f64 = 0.9;

/// Part of an upstream's connections that all hosts together open; hosts that come and go see
/// different numbers of hosts for a moment.
const CONNECTION_SHARE: f64 = 0.85;

/// Time for which a host that callers were sent to is expected to keep its connections.
const DIALER_MEMORY: Duration = Duration::from_secs(20);

/// Part of a cold upstream's rate that one host uses, so that two may believe to be the first.
const COLD_SHARE: f64 = 0.4;

/// Cost of going to another failure domain, in typical times; it pays for the bytes that cross.
const FAR_COST: f64 = 2.5;

/// The same for parts that come through a relay in one message with others.
const RELAYED_COST: f64 = 2.0;

/// What the traffic thread knows.
pub struct Registry {
    settings: Arc<Settings>,
    state: RefCell<State>,
}

struct State {
    view: Arc<View>,
    endpoints: BTreeMap<UpstreamId, Rc<Endpoint>>,
    services: BTreeMap<ServiceName, Rc<[Rc<Endpoint>]>>,
    allowances: BTreeMap<ServiceName, WindowBudget>,
    latencies: BTreeMap<Box<str>, Rc<RefCell<Latency>>>,
    splits: BTreeMap<Box<str>, Split>,
    relays: Relays,
    windows: BTreeMap<Box<str>, Window>,
    random: StdRng,
    dialers: Option<(Instant, usize)>,
    slack: f64,
}

/// A query that was let in; dropping it makes room for the next one.
pub struct Permit<'a> {
    registry: &'a Registry,
    route: &'a Route,
    congested: bool,
}

impl Permit<'_> {
    /// Notes that the query was late since upstreams had others waiting.
    pub fn congested(&mut self) {
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

/// The hosts that callers are sent to.
struct Dialers {
    count: usize,
    own: bool,
}

impl State {
    /// Returns how many hosts callers are sent to, the most of recent times: a host that left the
    /// list for a moment still has its connections.
    fn recent_dialers(&mut self, now: Instant, present: usize) -> usize {
        let before = self.dialers.filter(|(until, count)| now < *until && *count > present);
        let (until, count) = before.unwrap_or((now + DIALER_MEMORY, present));
        self.dialers = Some((until, count));
        count.max(1)
    }
}

impl Registry {
    /// Creates a fleet that knows nothing yet; `seed` draws ties.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let state = State {
            view: Arc::default(),
            endpoints: BTreeMap::new(),
            services: BTreeMap::new(),
            allowances: BTreeMap::new(),
            latencies: BTreeMap::new(),
            splits: BTreeMap::new(),
            relays: Relays::default(),
            windows: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            dialers: None,
            slack: 0.0,
        };
        Self { settings, state: RefCell::new(state) }
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.state.borrow().view)
    }

    /// Takes a new view: upstreams that it does not name get nothing more. Returns those that are new
    /// and that callers' requests will soon go to.
    pub fn update(&self, now: Instant, view: Arc<View>) -> Vec<Rc<Endpoint>> {
        let state = &mut *self.state.borrow_mut();
        let names = dialers(&view);
        let dialers = Dialers {
            count: state.recent_dialers(now, names.len()),
            own: names.contains(&self.settings.host),
        };
        let mut services: BTreeMap<ServiceName, Vec<Rc<Endpoint>>> = BTreeMap::new();
        let mut endpoints = BTreeMap::new();
        let mut new = Vec::new();
        for (name, upstreams) in &view.upstreams {
            let most = connections(&view, name, &dialers);
            for upstream in upstreams {
                let known = state.endpoints.get(&upstream.id);
                let known = known.filter(|endpoint| Arc::ptr_eq(&endpoint.upstream, upstream));
                let endpoint = known.cloned().unwrap_or_else(|| {
                    let before = state.endpoints.get(&upstream.id);
                    Rc::new(self.adopt(now, &view, upstream, before))
                });
                endpoint.connections.set_max(most);
                if let Some(cold) = endpoint.replica.borrow_mut().cold_start_mut() {
                    cold.set_spacing(self.cold_spacing(&view, upstream));
                }
                if dialers.own && !state.endpoints.contains_key(&upstream.id) {
                    new.push(Rc::clone(&endpoint));
                }
                endpoints.insert(upstream.id.clone(), Rc::clone(&endpoint));
                services.entry(name.clone()).or_default().push(endpoint);
            }
        }
        state.endpoints = endpoints;
        state.relays.update(&view, &self.settings.domain);
        let shared = |(name, endpoints): (_, Vec<_>)| (name, Rc::from(endpoints));
        state.services = services.into_iter().map(shared).collect();
        state.slack = self.slack(&view, &dialers);
        let slack = state.slack;
        state.allowances.values_mut().for_each(|allowance| allowance.set_slack(slack));
        if let Some(table) = &view.table {
            let routes = || table.routes().map(|route| &route.name);
            state.latencies.retain(|name, _| routes().any(|route| route == name));
            state.splits.retain(|name, _| routes().any(|route| route == name));
            state.windows.retain(|name, window| {
                window.in_flight() > 0 || routes().any(|route| route == name)
            });
        }
        state.view = view;
        new
    }

    /// Returns the upstreams of a service.
    pub fn endpoints(&self, service: &str) -> Rc<[Rc<Endpoint>]> {
        self.state.borrow().services.get(service).cloned().unwrap_or_default()
    }

    /// Returns from when on an upstream of a service may get a request, if there is any.
    pub fn available_at(&self, now: Instant, service: &str) -> Option<Instant> {
        let endpoints = self.endpoints(service);
        endpoints.iter().map(|endpoint| endpoint.replica.borrow().available_at(now)).min()
    }

    /// Returns the upstream with an id, if it may get work.
    pub fn endpoint(&self, id: &str) -> Option<Rc<Endpoint>> {
        self.state.borrow().endpoints.get(id).cloned()
    }

    /// Draws a failure domain, other than this host's, that has a relay for an order which is due
    /// after `flush`.
    pub fn relay_domain(&self, now: Instant, flush: Duration) -> Option<Domain> {
        let state = &mut *self.state.borrow_mut();
        state.relays.draw(now, flush, state.random.random())
    }

    /// Returns whether a failure domain has a relay that can take such an order.
    pub fn has_relay(&self, now: Instant, flush: Duration, domain: &str) -> bool {
        self.state.borrow().relays.has(now, flush, domain)
    }

    /// Chooses the relay of a failure domain that is the least busy.
    pub fn relay(&self, now: Instant, flush: Duration, domain: &str) -> Option<Rc<Peer>> {
        let state = &mut *self.state.borrow_mut();
        state.relays.choose(now, flush, domain, state.random.random())
    }

    /// Returns the latencies of a route's parts.
    pub fn latency(&self, route: &Route) -> Rc<RefCell<Latency>> {
        let latencies = &mut self.state.borrow_mut().latencies;
        if let Some(latency) = latencies.get(&route.name) {
            return Rc::clone(latency);
        }
        let latency = Rc::new(RefCell::new(Latency::new(route.objective)));
        latencies.insert(route.name.clone(), Rc::clone(&latency));
        latency
    }

    /// Returns the service of a split that gets the next request.
    pub fn split<'a>(&self, route: &str, shares: &'a [Share]) -> Option<&'a Share> {
        let splits = &mut self.state.borrow_mut().splits;
        let split = splits.entry(route.into()).or_default();
        split.next(shares).map(|index| &shares[index])
    }

    /// Lets a query of a route in, or refuses it while the upstreams are overloaded.
    pub fn enter<'a>(&'a self, route: &'a Route) -> Option<Permit<'a>> {
        let windows = &mut self.state.borrow_mut().windows;
        let window = windows.entry(route.name.clone()).or_insert_with(Window::for_route);
        // An entry that is made and dropped would leave the window it never entered.
        if window.try_acquire() {
            Some(Permit { registry: self, route, congested: false })
        } else {
            None
        }
    }

    /// Counts the first sending of a request to a service.
    pub fn count_request(&self, now: Instant, service: &str) {
        self.with_allowance(now, service, |allowance| allowance.record_request(now));
    }

    /// Takes an extra request to a service if the allowance has room for this need.
    pub fn take_extra(&self, now: Instant, service: &str, need: Purpose) -> bool {
        self.with_allowance(now, service, |allowance| allowance.try_take(now, need))
    }

    /// Chooses among members by the least expected time; parts in the domain `relays` cost less to
    /// fetch, since they come in one message.
    pub fn choose<'a>(
        &self,
        now: Instant,
        typical: Duration,
        endpoints: impl Iterator<Item = &'a Rc<Endpoint>>,
        relays: Option<&str>,
    ) -> Option<Rc<Endpoint>> {
        let endpoints: Vec<_> = endpoints.filter(|endpoint| endpoint.has_room()).collect();
        let replicas: Vec<_> = endpoints.iter().map(|endpoint| endpoint.replica.borrow()).collect();
        let added_latency = |endpoint: &Endpoint| match relays {
            _ if !endpoint.remote => Duration::ZERO,
            Some(domain) if *domain == *endpoint.upstream.domain => typical.mul_f64(RELAYED_COST),
            _ => typical.mul_f64(FAR_COST),
        };
        let pairs = endpoints.iter().zip(&replicas);
        let candidates: Vec<_> = pairs
            .map(|(endpoint, replica)| Candidate {
                replica,
                added_latency: added_latency(endpoint),
            })
            .collect();
        let draw = self.state.borrow_mut().random.random();
        let index = pick::choose(now, typical, &candidates, draw)?;
        Some(Rc::clone(endpoints[index]))
    }

    fn with_allowance<T>(
        &self,
        now: Instant,
        service: &str,
        act: impl FnOnce(&mut WindowBudget) -> T,
    ) -> T {
        let state = &mut *self.state.borrow_mut();
        if let Some(allowance) = state.allowances.get_mut(service) {
            return act(allowance);
        }
        let bounds = &self.settings.bounds;
        let ratio = bounds.extra_ratio * EXTRA_SHARE;
        let allowance = WindowBudget::new(now, bounds.extra_span, ratio, state.slack);
        act(state.allowances.entry(service.into()).or_insert(allowance))
    }

    /// Returns this host's share of the extra requests that do not depend on load. Nearly all of
    /// them go to the hosts that callers are sent to.
    fn slack(&self, view: &View, dialers: &Dialers) -> f64 {
        let all = self.settings.bounds.extra_slack * EXTRA_SHARE;
        if dialers.own {
            return all * DIALER_SLACK / dialers.count as f64;
        }
        let others = view.hosts.len().saturating_sub(dialers.count).max(1);
        all * (1.0 - DIALER_SLACK) / others as f64
    }

    fn adopt(
        &self,
        now: Instant,
        view: &View,
        upstream: &Arc<Upstream>,
        before: Option<&Rc<Endpoint>>,
    ) -> Endpoint {
        let remote = upstream.domain != self.settings.domain;
        let same = before.filter(|before| {
            before.upstream.started_ms == upstream.started_ms
                && before.upstream.address == upstream.address
        });
        let endpoint = Endpoint::new(Arc::clone(upstream), remote, same.map(|before| &**before));
        if !upstream.warmup_left.is_zero() {
            let until = now + upstream.warmup_left;
            let cold = ColdStart::new(until, self.cold_spacing(view, upstream));
            endpoint.replica.borrow_mut().set_cold_start(Some(cold));
        }
        endpoint
    }

    /// Returns the time between two requests to a cold upstream, if this host may send any.
    fn cold_spacing(&self, view: &View, upstream: &Upstream) -> Option<Duration> {
        let hosts = view.hosts.values();
        let near = hosts.filter(|host| host.domain == upstream.domain).map(|host| &*host.name);
        let near: Vec<&str> = near.collect();
        let all = || view.hosts.keys().map(|name| &**name);
        let own = &*self.settings.host;
        let first = if near.is_empty() {
            pick::ranks_first(&upstream.id, own, all())
        } else {
            near.contains(&own) && pick::ranks_first(&upstream.id, own, near)
        };
        if !first {
            return None;
        }
        let bounds = &self.settings.bounds;
        let service = view.table.as_ref().and_then(|table| table.service(&upstream.service));
        let rate = service.map_or(0.0, |service| service.cold_per_second);
        let allowed = (rate * bounds.cold_factor + bounds.cold_slack) * COLD_SHARE;
        (allowed >= 1.0).then(|| Duration::from_secs_f64(1.0 / allowed))
    }
}

/// Returns the hosts that callers are sent to, and that so open most connections.
fn dialers(view: &View) -> Vec<Box<str>> {
    let mut names: Vec<Box<str>> = Vec::new();
    let mut domains: Vec<_> = view.hosts.values().map(|host| &host.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let named = directory::named(view, Some(domain));
        names.extend(named.into_iter().map(|host| host.name.clone()));
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// Returns the most connections to each upstream of a service. A host that callers are not sent
/// to needs one only.
fn connections(view: &View, service: &str, dialers: &Dialers) -> usize {
    if !dialers.own {
        return 1;
    }
    let service = view.table.as_ref().and_then(|table| table.service(service));
    let all = service.map_or(0.0, |service| f64::from(service.max_connections));
    let others = view.hosts.len().saturating_sub(dialers.count) as f64;
    let share = (all * CONNECTION_SHARE - others) / dialers.count as f64;
    (share as usize).max(1)
}
