//! The store and the upstreams, each behind a proxy.

use std::io::Result;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::{Kv, Shard};

use crate::proxy::Proxy;

/// Host name of all routes.
pub const HOST: &str = "search.example";

/// Failure domains of the upstreams.
pub const DOMAINS: [&str; 2] = ["perth-1", "perth-2"];

/// Failure domains of the hosts; the last has no upstreams, so that its hosts use relays.
pub const HOST_DOMAINS: [&str; 3] = ["perth-1", "perth-2", "perth-3"];

/// Shards of the query.
pub const SHARDS: usize = 6;

/// Records in an answer to the query.
pub const TOP_K: usize = 5;

/// Time in which news must have an effect.
pub const NEWS_TIME: Duration = Duration::from_secs(3);

/// One upstream.
pub struct Upstream {
    /// Its identity.
    pub id: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Its failure domain.
    pub domain: &'static str,
    /// Its records.
    pub records: Vec<u8>,
    /// The stand-in.
    pub shard: Shard,
    /// The way to it.
    pub proxy: Proxy,
}

/// The store and the upstreams.
pub struct World {
    /// The store.
    pub kv: Kv,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Version of the configuration, and when it was written.
    pub version: (u64, Instant),
}

impl World {
    /// Starts everything and writes the first configuration.
    ///
    /// # Errors
    ///
    /// Fails when no ports can be had.
    pub async fn start(work: Duration) -> Result<Self> {
        let kv = Kv::start().await?;
        let mut upstreams = Vec::new();
        let services = (0..SHARDS).map(|shard| format!("shard-{shard}"));
        for (number, service) in services.chain(["single".to_string()]).enumerate() {
            for (side, domain) in DOMAINS.into_iter().enumerate() {
                let id = format!("{service}@{domain}");
                let mut record = vec![0_u8; 32];
                record[0] = number as u8;
                record[16] = 100 + number as u8;
                record[17] = side as u8;
                let shard = Shard::start(&id, work, &record).await?;
                let proxy = Proxy::start(shard.address()).await?;
                upstreams.push(Upstream {
                    id: id.into(),
                    service: service.clone().into(),
                    domain,
                    records: record,
                    shard,
                    proxy,
                });
            }
        }
        let mut world = Self { kv, upstreams, version: (0, Instant::now()) };
        for upstream in &world.upstreams {
            world.register(upstream, "ready");
        }
        world.configure();
        Ok(world)
    }

    /// Returns the upstream at a drawn place. Every third is one of the service whose requests must
    /// not run twice, which would hardly be hit among all shards.
    pub fn upstream(&self, place: usize) -> &Upstream {
        let once = self.upstreams.len() - DOMAINS.len();
        let number = if place.is_multiple_of(3) {
            once + place / 3 % DOMAINS.len()
        } else {
            place % self.upstreams.len()
        };
        &self.upstreams[number]
    }

    /// Writes the entry of an upstream.
    pub fn register(&self, upstream: &Upstream, state: &str) {
        let entry = json!({
            "service": upstream.service, "address": upstream.proxy.address(),
            "zone": upstream.domain, "version": "v1", "capacity": 2, "state": state,
            "warmup_left_ms": 0, "sequence": 1,
        });
        self.kv.put(&format!("servers/{}", upstream.id), entry.to_string().as_bytes());
    }

    /// Writes the next configuration, which has a route `/vN/` for its version and no older ones.
    pub fn configure(&mut self) {
        let version = self.version.0 + 1;
        let route = |prefix: &str, kind: &str| {
            json!({
                "name": prefix, "host": HOST, "prefix": prefix, "type": kind, "timeout_ms": 2_000,
                "slo_ms": 200, "priority": 1, "attempts": 2,
            })
        };
        let shards: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let mut all = route("/all/", "idempotent");
        all["gather"] = json!(shards);
        all["top_k"] = json!(TOP_K);
        all["min_shard_share"] = json!(0.5);
        let mut once = route("/once/", "non_idempotent");
        once["service"] = json!("single");
        let mut newest = route(&format!("/v{version}/"), "idempotent");
        newest["service"] = json!("single");
        let service = |name: &str| json!({"name": name, "health_path": "/health", "max_conns": 26});
        let mut services: Vec<_> = shards.iter().map(|shard| service(shard)).collect();
        services.push(service("single"));
        let config = json!({
            "version": version, "routes": [all, once, newest], "services": services,
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        });
        self.kv.put("op/config", config.to_string().as_bytes());
        self.version = (version, Instant::now());
    }
}
