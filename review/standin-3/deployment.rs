//! A small deployment: three failure domains with some hosts each, a store, and backends.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Record;
use crate::backend::{Backend, Settings};
use crate::host::{Host, Place, control_address};
use crate::store::Store;

pub const ZONES: [&str; 3] = ["swan-upper", "canning-reach", "fremantle-mouth"];
/// Hosts of each failure domain, unless a scenario needs another number.
pub const HOSTS_PER_ZONE: usize = 2;

/// Returns a loopback address of this process.
pub fn ip(last: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{last}", 64 + pid / 250 % 60, 1 + pid % 250)
}

/// Returns a configuration with one route, to the service `records`.
pub fn config(version: u32) -> String {
    let limits = r#""max_conns":110,"warmup_s":3,"cold_per_s":20,"health_path":"/health""#;
    format!(
        r#"{{"version":{version},"routes":[{{"name":"records","host":"records.example","prefix":"/records/","type":"idempotent","timeout_ms":2000,"slo_ms":250,"attempts":2,"priority":0,"service":"records"}}],"services":[{{"name":"records",{limits}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
    )
}

/// Starts a backend of the service `records`.
pub fn backend(number: usize) -> Arc<Backend> {
    let settings = Settings {
        id: format!("i-{number:04}"),
        service: "records".into(),
        zone: ZONES[number % ZONES.len()].into(),
        slots: 6,
        work: Duration::from_millis(3),
    };
    Backend::start(&ip(200), settings)
}

/// Starts the hosts; `None` if one is not ready in time. `per_zone` is the number of those
/// in each failure domain.
pub fn start_hosts(
    record: &Record,
    folder: &Path,
    store: &Store,
    per_zone: usize,
) -> Option<Vec<Host>> {
    let places: Vec<(String, &str)> = (0..ZONES.len() * per_zone)
        .map(|index| (ip(10 + index), ZONES[index / per_zone]))
        .collect();
    let controls: Vec<_> = places.iter().map(|(ip, _)| control_address(ip)).collect();
    let seeds = [controls[0], controls[per_zone], controls[2 * per_zone]];
    let mut hosts = Vec::new();
    for (index, (ip, zone)) in places.iter().enumerate() {
        let name = format!("front-{zone}-{}", index % per_zone + 1);
        let place = Place { zone, ip: ip.clone(), store: store.address, seeds: &seeds, folder };
        let mut host = Host::new(&name, controls[index], &place);
        host.start();
        hosts.push(host);
    }
    if !hosts.iter_mut().all(|host| host.wait_ready(Duration::from_secs(8))) {
        record.line("a host is not ready");
        return None;
    }
    record.line("all hosts are ready");
    thread::sleep(Duration::from_secs(4));
    Some(hosts)
}
