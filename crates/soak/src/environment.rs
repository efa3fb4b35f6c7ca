//! The environment of the hosts: the store and the upstreams.

use std::io::Result;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use standin::{Kv, Proxy, Shard, Snapshot};

/// Value of the `host` header on which all routes match.
pub const ROUTE_HOST: &str = "search.example";

/// Failure domains of the upstreams.
pub const UPSTREAM_DOMAINS: [&str; 2] = ["perth-1", "perth-2"];

/// Failure domains of the hosts. The last one has no upstreams, so that its hosts use relays.
pub const HOST_DOMAINS: [&str; 3] = ["perth-1", "perth-2", "perth-3"];

/// Number of shards of the query.
pub const SHARDS: usize = 6;

/// Requests per second that a cold upstream bears, unless a scenario has set another number.
pub const COLD_PER_SECOND: f64 = 5.0;

/// Service of the requests that take long.
pub const LONG_SERVICE: &str = "long";

/// Number of requests that an upstream of [`LONG_SERVICE`] runs at a time.
const LONG_SLOTS: usize = 64;

/// Maximum number of records in an answer to the query.
pub const TOP_K: usize = 5;

/// Time within which a change in the store must take effect on every host.
pub const MAX_UPDATE_LAG: Duration = Duration::from_secs(3);

/// An upstream.
#[derive(Clone)]
pub struct Upstream {
    /// Instance id, `SERVICE@DOMAIN`.
    pub id: Box<str>,
    /// Service to which the upstream belongs.
    pub service: Box<str>,
    /// Failure domain of the upstream.
    pub domain: &'static str,
    /// Body of its answers: two records of 16 bytes.
    pub records: Vec<u8>,
    /// Stand-in that answers for the upstream.
    pub shard: Shard,
    /// Proxy for the connections of hosts to the upstream.
    pub proxy: Proxy,
}

/// The store and the upstreams.
pub struct Environment {
    /// The store.
    pub store: Kv,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Version of the newest configuration, and when it was written.
    pub version: (u64, Instant),
    /// Requests per second that the configurations from now on allow for a cold upstream.
    pub cold_per_second: f64,
    /// Number of entries that the upstreams have written.
    entries: AtomicU64,
}

impl Environment {
    /// Starts the store and the upstreams, registers the upstreams and writes the first
    /// configuration. An upstream takes `service_time` for each request.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start(service_time: Duration) -> Result<Self> {
        let store = Kv::start().await?;
        let mut upstreams = Vec::new();
        let services = (0..SHARDS).map(|shard| format!("shard-{shard}"));
        for (service_index, service) in
            services.chain([LONG_SERVICE.into(), "single".to_string()]).enumerate()
        {
            for (domain_index, domain) in UPSTREAM_DOMAINS.into_iter().enumerate() {
                let id = format!("{service}@{domain}");
                // The first byte of each record identifies the service, and the second byte of the
                // second record the failure domain.
                let mut body = vec![0_u8; 32];
                body[0] = service_index as u8;
                body[16] = 100 + service_index as u8;
                body[17] = domain_index as u8;
                let shard = Shard::start(&id, service_time, &body).await?;
                if service == LONG_SERVICE {
                    shard.set_slots(LONG_SLOTS);
                }
                let proxy = Proxy::start(shard.address()).await?;
                upstreams.push(Upstream {
                    id: id.into(),
                    service: service.clone().into(),
                    domain,
                    records: body,
                    shard,
                    proxy,
                });
            }
        }
        let mut environment = Self {
            store,
            upstreams,
            version: (0, Instant::now()),
            cold_per_second: COLD_PER_SECOND,
            entries: AtomicU64::default(),
        };
        for upstream in &environment.upstreams {
            environment.register(upstream, "ready");
        }
        environment.configure();
        Ok(environment)
    }

    /// Returns the upstream that a random number selects. Multiples of three select an upstream of
    /// the service `single`, which runs the non-idempotent requests: with an equal chance for each
    /// upstream, its two upstreams would rarely be selected.
    pub fn upstream(&self, target: usize) -> &Upstream {
        let first_single = self.upstreams.len() - UPSTREAM_DOMAINS.len();
        let index = if target.is_multiple_of(3) {
            first_single + target / 3 % UPSTREAM_DOMAINS.len()
        } else {
            target % self.upstreams.len()
        };
        &self.upstreams[index]
    }

    /// Writes the entry of an upstream into the store, in the state `ready` or `draining`.
    pub fn register(&self, upstream: &Upstream, state: &str) {
        self.write_entry(upstream, state, Duration::ZERO);
    }

    /// Writes the entry of an upstream that stays cold for `warmup_left`.
    pub fn register_cold(&self, upstream: &Upstream, warmup_left: Duration) {
        self.write_entry(upstream, "ready", warmup_left);
    }

    fn write_entry(&self, upstream: &Upstream, state: &str, warmup_left: Duration) {
        let warmup_ms = warmup_left.as_millis() as u64;
        let sequence = self.entries.fetch_add(1, Ordering::Relaxed);
        let entry = json!({
            "service": upstream.service, "address": upstream.proxy.address(),
            "zone": upstream.domain, "version": "v1", "capacity": 2, "state": state,
            "warmup_left_ms": warmup_ms, "sequence": sequence,
        });
        self.store.put(&format!("servers/{}", upstream.id), entry.to_string().as_bytes());
    }

    /// Removes the entry of an upstream, which runs on.
    pub fn remove(&self, upstream: &Upstream) {
        self.store.remove(&format!("servers/{}", upstream.id));
    }

    /// Restores the store from a copy, and writes again what operators and upstreams have written or
    /// removed since.
    pub fn restore(&self, snapshot: &Snapshot) {
        let keys = || ["op/", "servers/"].into_iter().flat_map(|prefix| self.store.keys(prefix));
        let written: Vec<_> = keys().map(|key| (self.store.get(&key), key)).collect();
        self.store.restore(snapshot);
        for key in keys().filter(|key| !written.iter().any(|(_, other)| other == key)) {
            self.store.remove(&key);
        }
        for (value, key) in written {
            if let Some(value) = value.filter(|value| self.store.get(&key).as_ref() != Some(value))
            {
                self.store.put(&key, &value);
            }
        }
    }

    /// Writes the next configuration. Version N has a route `/vN/`, but none of an older version.
    pub fn configure(&mut self) {
        let version = self.version.0 + 1;
        let route = |prefix: &str, kind: &str| {
            json!({
                "name": prefix, "host": ROUTE_HOST, "prefix": prefix, "type": kind,
                "timeout_ms": 2_000, "slo_ms": 200, "priority": 1, "attempts": 2,
            })
        };
        let shards: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let mut all_shards = route("/all/", "idempotent");
        all_shards["gather"] = json!(shards);
        all_shards["top_k"] = json!(TOP_K);
        all_shards["min_shard_share"] = json!(0.5);
        let mut non_idempotent = route("/once/", "non_idempotent");
        non_idempotent["service"] = json!("single");
        let mut long = route("/long/", "non_idempotent");
        long["service"] = json!(LONG_SERVICE);
        long["timeout_ms"] = json!(10_000);
        let mut versioned = route(&format!("/v{version}/"), "idempotent");
        versioned["service"] = json!("single");
        let service = |name: &str| {
            json!({"name": name, "health_path": "/health", "max_conns": 26, "warmup_s": 3.0,
                "cold_per_s": self.cold_per_second})
        };
        let mut services: Vec<_> = shards.iter().map(|shard| service(shard)).collect();
        services.push(service("single"));
        services.push(json!({"name": LONG_SERVICE, "health_path": "/health", "max_conns": 1_000}));
        let config = json!({
            "version": version, "routes": [all_shards, non_idempotent, long, versioned],
            "services": services, "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        });
        self.store.put("op/config", config.to_string().as_bytes());
        self.version = (version, Instant::now());
    }
}
