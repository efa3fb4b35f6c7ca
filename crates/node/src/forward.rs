//! Forwarding of callers' requests to another host, for a host that cannot reach the upstreams.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use table::{Host, View};

use crate::attempt::Outgoing;
use crate::buffers::Buffers;
use crate::directory;
use crate::exchange::{Completion, transfer};
use crate::pool::Pool;

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
    /// older than `version` refuses the request.
    pub async fn send(
        &self,
        outgoing: &Outgoing,
        version: u64,
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
        let request = outgoing.request(headers);
        transfer(pooled, request, &outgoing.call.id, buffers, |_, _| {}).await
    }

    fn is_available(&self, now: Instant) -> bool {
        self.connections.has_room() && self.failed_until.get().is_none_or(|until| until <= now)
    }
}

/// Parses the value of [`FORWARDED_HEADER`] or [`VERSION_HEADER`].
pub fn parse_version(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}

/// The hosts to which requests can be forwarded, by name.
#[derive(Default)]
pub struct Forwarders {
    hosts: BTreeMap<Box<str>, Rc<Forwarder>>,
    /// Newest version of the configuration in an answer of another host. Callers must not be served
    /// by an older one after that.
    pub newest_version: u64,
}

impl Forwarders {
    /// Replaces the hosts by those that `view` advertises to callers and that reach the upstreams.
    /// A host that was known before, under the same address, keeps its connections.
    pub fn update(&mut self, view: &View, own: &str, domain: &str) {
        let advertised = directory::advertised_hosts(view, Some(domain));
        let others = advertised.iter().filter(|host| !host.isolated && *host.name != *own);
        let forwarder = |host: &std::sync::Arc<Host>| {
            let known = self.hosts.get(&host.name).filter(|known| known.address == host.front);
            let forwarder = known.cloned().unwrap_or_else(|| Rc::new(Forwarder::new(host)));
            (host.name.clone(), forwarder)
        };
        self.hosts = others.map(forwarder).collect();
    }

    /// Chooses an available host by the random number `draw`.
    pub fn choose(&self, now: Instant, draw: u64) -> Option<Rc<Forwarder>> {
        let available = self.hosts.values().filter(|host| host.is_available(now));
        let available: Vec<_> = available.collect();
        let index = draw % available.len().max(1) as u64;
        available.get(index as usize).map(|host| Rc::clone(host))
    }
}
