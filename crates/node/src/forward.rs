//! Forwarding of callers' requests to another host: from a host that cannot reach the upstreams, and of
//! requests that may crash upstreams.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::HeaderValue;
use quarantine::Fingerprint;
use table::{Host, View};

use crate::attempt::Outgoing;
use crate::buffers::Buffers;
use crate::directory;
use crate::exchange::{Completion, Identity, transfer};
use crate::metrics::Metrics;
use crate::outcome::Outcome;
use crate::pool::Pool;
use crate::registry::Registry;
use crate::suspect::EVIDENCE_HEADER;

/// Header of forwarded requests, with the version of the configuration that the answer must at least
/// be based on. The host that gets one must not forward it again.
pub const FORWARDED_HEADER: &str = "pistachio-forwarded";

/// Header of the answers to forwarded requests, with the version of the configuration in force.
pub const VERSION_HEADER: &str = "pistachio-config";

/// Maximum number of connections to one host. Each carries one request at a time, so this bounds
/// the requests in flight there.
const MAX_CONNECTIONS: usize = 64;

/// Time for which a host to which a connection failed gets no requests.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// A host that serves callers' requests for this one.
pub struct Forwarder {
    /// Name of the host.
    pub name: Box<str>,
    address: SocketAddr,
    connections: Rc<Pool>,
    failed_until: Cell<Option<Instant>>,
}

impl Forwarder {
    fn new(host: &Host) -> Self {
        let connections = Rc::new(Pool::default());
        connections.set_max(MAX_CONNECTIONS);
        let (name, address) = (host.name.clone(), host.front);
        Self { name, address, connections, failed_until: Cell::new(None) }
    }

    /// Sends a request to the host and waits for the complete answer. A host whose configuration is
    /// older than `version` refuses the request. `evidence` says why it may crash upstreams, if it may.
    async fn send(
        &self,
        outgoing: &Outgoing,
        version: u64,
        evidence: Option<&HeaderValue>,
        buffers: &Rc<Buffers>,
    ) -> Completion {
        let pooled = match self.connections.get(Instant::now(), self.address).await {
            Ok(pooled) => pooled,
            Err(error) => {
                log::info!(host = self.name, error:%; "could not connect to forward a request");
                self.failed_until.set(Some(Instant::now() + FAILURE_BACKOFF));
                return Completion::Unsent;
            }
        };
        let remaining = outgoing.remaining(Instant::now());
        let mut headers = platform::forward_headers(&outgoing.call, remaining);
        headers.insert(FORWARDED_HEADER, HeaderValue::from(version));
        if let Some(evidence) = evidence {
            headers.insert(EVIDENCE_HEADER, evidence.clone());
        }
        let request = outgoing.request(headers);
        transfer(pooled, request, &outgoing.call.id, Identity::Position, buffers, |_, _| {}).await
    }

    fn is_available(&self, now: Instant) -> bool {
        self.connections.has_room() && self.failed_until.get().is_none_or(|until| until <= now)
    }
}

/// Forwards a request to a host. Returns `None` if another host may be tried: this one could not be
/// reached, or its configuration is older than at this host or than at another one that has answered.
///
/// A request that may have reached the host must not be forwarded again, since that host may have sent
/// it to as many upstreams as its route allows.
pub async fn forward(
    registry: &Registry,
    metrics: &Metrics,
    host: &Forwarder,
    outgoing: &Outgoing,
    evidence: Option<&HeaderValue>,
) -> Option<Outcome> {
    metrics.forwarded_requests.inc();
    let buffers = Rc::clone(&registry.context().buffers);
    let version = registry.forwarded_version();
    let sending = host.send(outgoing, version, evidence, &buffers);
    let error = |status, cause| Some(Outcome::error(status, None, cause));
    match tokio::time::timeout_at(outgoing.deadline.into(), sending).await {
        Ok(Completion::Replied(mut reply)) => {
            let used = reply.headers.remove(VERSION_HEADER);
            let used = used.as_ref().and_then(parse_version).unwrap_or_default();
            if used < version && reply.status == StatusCode::SERVICE_UNAVAILABLE {
                return None;
            }
            registry.record_forwarded_version(used);
            Some(Outcome { cause: "another host answered", ..Outcome::from_reply(reply) })
        }
        Ok(Completion::Unsent) => None,
        Ok(_) => error(StatusCode::BAD_GATEWAY, "no usable answer of another host"),
        Err(_) => error(StatusCode::GATEWAY_TIMEOUT, "timeout of another host"),
    }
}

/// Parses the value of [`FORWARDED_HEADER`] or [`VERSION_HEADER`].
pub fn parse_version(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}

/// A host that may send a suspected request to an upstream.
pub enum Prober {
    /// This host.
    This,
    /// Another host.
    Other(Rc<Forwarder>),
}

/// The hosts to which requests can be forwarded, by name.
#[derive(Default)]
pub struct Forwarders {
    /// The other hosts that callers of any failure domain use.
    hosts: BTreeMap<Box<str>, Rc<Forwarder>>,
    /// Those that callers of this host's failure domain use.
    nearby: BTreeSet<Box<str>>,
    /// Name of this host, if callers use it.
    own: Option<Box<str>>,
    /// Newest version of the configuration in an answer of another host. Callers must not be served
    /// by an older one after that.
    pub newest_version: u64,
}

impl Forwarders {
    /// Replaces the hosts by those of `view` that are `advertised` to callers and reach the upstreams.
    /// A host that was known before, under the same address, keeps its connections.
    pub fn update(&mut self, view: &View, advertised: &[Box<str>], own: &str, domain: &str) {
        let reachable = advertised.iter().filter_map(|name| view.hosts.get(name));
        let reachable = reachable.filter(|host| !host.isolated);
        let forwarder = |host: &Arc<Host>| {
            let known = self.hosts.get(&host.name).filter(|known| known.address == host.front);
            let forwarder = known.cloned().unwrap_or_else(|| Rc::new(Forwarder::new(host)));
            (host.name.clone(), forwarder)
        };
        let is_own = |host: &&Arc<Host>| *host.name == *own;
        self.own = reachable.clone().find(is_own).map(|host| host.name.clone());
        self.hosts = reachable.filter(|host| !is_own(host)).map(forwarder).collect();
        let nearby = directory::advertised_hosts(view, Some(domain));
        self.nearby = nearby.into_iter().map(|host| host.name.clone()).collect();
    }

    /// Returns the available hosts in their order for a suspected request. All hosts agree about it as
    /// far as they know the same hosts. Without any host, this one has to do.
    pub fn probers(&self, now: Instant, request: Fingerprint) -> Vec<Prober> {
        let own = self.own.as_deref();
        let names = self.hosts.keys().map(|name| &**name).chain(own);
        let ranked = pick::ranked(&format!("{request:016x}"), names);
        let prober = |name: &str| match self.hosts.get(name) {
            Some(host) => host.is_available(now).then(|| Prober::Other(Rc::clone(host))),
            None => Some(Prober::This),
        };
        if ranked.is_empty() {
            return vec![Prober::This];
        }
        ranked.into_iter().filter_map(prober).collect()
    }

    /// Chooses an available host that callers of this host's failure domain use, by the random number
    /// `draw`.
    pub fn choose(&self, now: Instant, draw: u64) -> Option<Rc<Forwarder>> {
        let nearby = self.hosts.values().filter(|host| self.nearby.contains(&host.name));
        let available = nearby.filter(|host| host.is_available(now));
        let available: Vec<_> = available.collect();
        let index = draw % available.len().max(1) as u64;
        available.get(index as usize).map(|host| Rc::clone(host))
    }
}
