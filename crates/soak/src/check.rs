//! Checks of the history of a run: the answers against the requests that ran.

use std::collections::BTreeMap;
use std::time::Instant;

use gather::greatest;

use crate::client::{Exchange, Route};
use crate::environment::{Environment, SHARDS, TOP_K};
use crate::report::{Report, Violation};

/// Checks the answers against the requests that ran on the upstreams.
pub fn check_history(environment: &Environment, exchanges: &[Exchange], report: &mut Report) {
    let mut ran: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
    for (index, upstream) in environment.upstreams.iter().enumerate() {
        for run in upstream.shard.runs() {
            if !run.body.is_empty() || !run.line.starts_with("GET /") {
                report.add_violation(Violation::UnexpectedRequest, format!("{run:?}"));
            }
            ran.entry(run.id).or_default().push(index);
        }
    }
    for exchange in exchanges {
        let runs = ran.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        check_exchange(environment, exchange, runs, report);
    }
    check_versions(exchanges, report);
}

/// Checks one answer against `runs`, the indices of the upstreams that ran its request. An upstream
/// that ran the request twice occurs twice.
fn check_exchange(
    environment: &Environment,
    exchange: &Exchange,
    runs: &[usize],
    report: &mut Report,
) {
    let id = &exchange.id;
    if matches!(exchange.route, Route::NonIdempotent | Route::Long) && runs.len() > 1 {
        report.add_violation(Violation::DuplicateRun, format!("{id} ran {} times", runs.len()));
    }
    if matches!(exchange.status, 408 | 421 | 429 | 503) && !runs.is_empty() {
        report.add_violation(
            Violation::FalseRefusal,
            format!("{id} got status {} and ran", exchange.status),
        );
    }
    if exchange.status != 0 && !(200..600).contains(&exchange.status) {
        report
            .add_violation(Violation::WrongAnswer, format!("{id} got status {}", exchange.status));
    }
    if exchange.status != 200 || exchange.cut {
        return;
    }
    if exchange.answer_id.as_ref() != Some(id) {
        report.add_violation(
            Violation::WrongAnswer,
            format!("{id} got the answer of request {:?}", exchange.answer_id),
        );
    }
    let stamp = |index: &usize| {
        let upstream = &environment.upstreams[*index];
        format!("{}.{id}.{}", upstream.id, upstream.records.len())
    };
    let stamped: Vec<usize> = runs
        .iter()
        .filter(|index| exchange.stamps.contains(stamp(index).as_str()))
        .copied()
        .collect();
    let mut services: Vec<_> =
        stamped.iter().map(|index| &environment.upstreams[*index].service).collect();
    services.sort_unstable();
    services.dedup();
    if services.len() != exchange.stamps.len() {
        report.add_violation(
            Violation::FalseCoverage,
            format!("{id} has stamps {:?}", exchange.stamps),
        );
    }
    let bodies = || stamped.iter().map(|index| &*environment.upstreams[*index].records);
    let body_matches = match exchange.route {
        Route::AllShards => {
            if exchange.stamps.len() + exchange.missing_parts != SHARDS
                || exchange.stamps.len() * 2 < SHARDS
            {
                report.add_violation(
                    Violation::FalseCoverage,
                    format!("{id} reports {} missing parts", exchange.missing_parts),
                );
            }
            // The records of an upstream that ran a request twice count once.
            let mut distinct = stamped.clone();
            distinct.sort_unstable();
            distinct.dedup();
            let bodies = distinct.iter().map(|index| &*environment.upstreams[*index].records);
            greatest(bodies, TOP_K) == exchange.body
        }
        Route::NonIdempotent | Route::Crashing | Route::Long | Route::Version(_) => {
            bodies().any(|body| *body == *exchange.body)
        }
    };
    if !body_matches {
        report.add_violation(
            Violation::WrongAnswer,
            format!("{id} got a body that its upstreams did not send"),
        );
    }
}

/// Checks that no host served an older configuration after a newer one. The route of version N is
/// served only while N is in force, so a request that is sent after an answer to version N must not
/// be served by an older version.
fn check_versions(exchanges: &[Exchange], report: &mut Report) {
    let mut newest: BTreeMap<usize, (u64, Instant)> = BTreeMap::new();
    let mut served: Vec<_> = exchanges
        .iter()
        .filter(|exchange| exchange.status == 200)
        .filter_map(|exchange| match exchange.route {
            Route::Version(version) => Some((exchange, version)),
            _ => None,
        })
        .collect();
    served.sort_by_key(|(exchange, _)| exchange.ended);
    for (exchange, version) in served {
        let seen = newest.entry(exchange.host).or_insert((version, exchange.ended));
        if version < seen.0 && exchange.sent > seen.1 {
            let detail = format!("{}: version {version} after {}", exchange.id, seen.0);
            report.add_violation(Violation::ConfigReverted, detail);
        }
        if version >= seen.0 {
            *seen = (version, exchange.ended);
        }
    }
}
