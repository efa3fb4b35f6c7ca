//! Rules of routes, which map a host name and a path prefix to services.

use std::collections::BTreeSet;
use std::time::Duration;

use clap::ArgMatches;
use table::{Gather, Route, Share, Target};

use crate::grammar;
use crate::model::{RouteRule, Rules};

/// A `Result` whose error is the message about an invalid rule.
type Result<T> = std::result::Result<T, String>;

/// Timeout of a route whose rule does not set one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Adds a `route` rule.
pub(crate) fn route(rules: &mut Rules, line: u32, rule: &ArgMatches, by: &str) -> Result<()> {
    let name = grammar::name_of(rule);
    let [host, prefix] =
        ["host", "prefix"].map(|option| grammar::word_of(rule, option).unwrap_or_default());
    if rules.routes.contains_key(&name) {
        return Err(format!("route \"{name}\" is defined twice"));
    }
    let mut others = rules.routes.values().map(|other| &other.route);
    if let Some(other) = others.find(|other| other.host_name == host && other.prefix == prefix) {
        return Err(format!("route \"{name}\" has the host and prefix of \"{}\"", other.name));
    }
    let timeout = grammar::time_of(rule, "timeout-ms", DEFAULT_TIMEOUT);
    let objective = grammar::time_of(rule, "objective-ms", timeout);
    if objective > timeout {
        return Err(format!(
            "--objective-ms {} is more than --timeout-ms {}; expected at most --timeout-ms",
            objective.as_millis(),
            timeout.as_millis()
        ));
    }
    let mut builder = Route::builder(&name, &host, &prefix)
        .idempotent(rule.get_flag("repeatable"))
        .attempts(grammar::number_of(rule, "attempts", 1))
        .timeout(timeout)
        .objective(objective)
        .priority(grammar::number_of(rule, "priority", 0));
    if let Some(service) = grammar::word_of(rule, "service") {
        builder = builder.target(Target::Service(service));
    }
    let asked_by = [(line, by.into())].into();
    rules.routes.insert(name, RouteRule { route: builder.build(), asked_by });
    Ok(())
}

/// Adds a `split` rule, which gives the weight of one service of a route.
pub(crate) fn split(rules: &mut Rules, line: u32, rule: &ArgMatches, by: &str) -> Result<()> {
    let name = grammar::name_of(rule);
    let service = grammar::word_of(rule, "service").unwrap_or_default();
    let weight = f64::from(grammar::number_of(rule, "weight", 1));
    let existing = route_mut(rules, &name)?;
    let Target::Split(shares) = &mut existing.route.target else {
        return Err(format!("route \"{name}\" has a target already; expected only one"));
    };
    if shares.iter().any(|share| share.service == service) {
        return Err(format!("service \"{service}\" has two weights on route \"{name}\""));
    }
    shares.push(Share { service, weight });
    existing.asked_by.insert(line, by.into());
    Ok(())
}

/// Adds a `gather` rule, which gives the shards of a query, the number of records and the minimum
/// percentage of shards.
pub(crate) fn gather(rules: &mut Rules, line: u32, rule: &ArgMatches, by: &str) -> Result<()> {
    let name = grammar::name_of(rule);
    let shards = grammar::shards_of(rule);
    let top_k = grammar::number_of(rule, "records", 1) as usize;
    let min_shard_ratio = f64::from(grammar::number_of(rule, "least-percent", 100)) / 100.0;
    let existing = route_mut(rules, &name)?;
    if !matches!(&existing.route.target, Target::Split(shares) if shares.is_empty()) {
        return Err(format!("route \"{name}\" has a target already; expected only one"));
    }
    if !existing.route.idempotent {
        return Err(format!(
            "route \"{name}\" has a gather rule; expected --repeatable in its route rule"
        ));
    }
    let mut names = BTreeSet::new();
    if let Some(twice) = shards.iter().find(|shard| !names.insert(*shard)) {
        return Err(format!("shard \"{twice}\" is named twice"));
    }
    existing.route.target = Target::Gather(Gather { shards, top_k, min_shard_ratio });
    existing.asked_by.insert(line, by.into());
    Ok(())
}

fn route_mut<'a>(rules: &'a mut Rules, name: &str) -> Result<&'a mut RouteRule> {
    let existing = rules.routes.get_mut(name);
    existing.ok_or_else(|| format!("route \"{name}\" does not exist in this file"))
}

/// Returns the errors of routes that show only after all rules have been read: a missing target or
/// an unknown service.
pub(crate) fn diagnostics(rules: &Rules) -> Vec<(u32, String)> {
    let mut diagnostics = Vec::new();
    for (name, rule) in &rules.routes {
        let line = rule.asked_by.keys().next().copied().unwrap_or(1);
        let services = rule.services();
        if services.is_empty() {
            let message = format!(
                "route \"{name}\" has no target; expected --service, split rules or a gather rule"
            );
            diagnostics.push((line, message));
        }
        for service in services.iter().filter(|name| !rules.services.contains_key(**name)) {
            let message =
                format!("route \"{name}\" names service \"{service}\", which does not exist");
            diagnostics.push((line, message));
        }
    }
    diagnostics
}
