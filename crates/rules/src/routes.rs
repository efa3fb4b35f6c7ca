//! Rules about routes: where requests of a host name and a path prefix go.

use std::collections::BTreeSet;
use std::time::Duration;

use clap::ArgMatches;
use table::{Gather, Route, Share, Target};

use crate::grammar;
use crate::model::{RouteRule, Rules};

/// Why a rule cannot be used.
type Result<T> = std::result::Result<T, String>;

/// Timeout of a route whose rule names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a `route` rule.
pub(crate) fn route(rules: &mut Rules, line: u32, rule: &ArgMatches, by: &str) -> Result<()> {
    let name = grammar::name_of(rule);
    let [host, prefix] =
        ["host", "prefix"].map(|option| grammar::word_of(rule, option).unwrap_or_default());
    if rules.routes.contains_key(&name) {
        return Err(format!("route \"{name}\" is named twice"));
    }
    let mut others = rules.routes.values().map(|other| &other.route);
    if let Some(other) = others.find(|other| other.host == host && other.prefix == prefix) {
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

/// Reads a `split` rule: one service of a route and its weight.
pub(crate) fn split(rules: &mut Rules, line: u32, rule: &ArgMatches, by: &str) -> Result<()> {
    let name = grammar::name_of(rule);
    let service = grammar::word_of(rule, "service").unwrap_or_default();
    let weight = f64::from(grammar::number_of(rule, "weight", 1));
    let known = find(rules, &name)?;
    let Target::Split(shares) = &mut known.route.target else {
        return Err(format!("route \"{name}\" has a target already; expected only one"));
    };
    if shares.iter().any(|share| share.service == service) {
        return Err(format!("service \"{service}\" has two weights on route \"{name}\""));
    }
    shares.push(Share { service, weight });
    known.asked_by.insert(line, by.into());
    Ok(())
}

/// Reads a `gather` rule: the shards of a query, and what an answer needs.
pub(crate) fn gather(rules: &mut Rules, line: u32, rule: &ArgMatches, by: &str) -> Result<()> {
    let name = grammar::name_of(rule);
    let shards = grammar::shards_of(rule);
    let top_k = grammar::number_of(rule, "records", 1) as usize;
    let min_shard_ratio = f64::from(grammar::number_of(rule, "least-percent", 100)) / 100.0;
    let known = find(rules, &name)?;
    if !matches!(&known.route.target, Target::Split(shares) if shares.is_empty()) {
        return Err(format!("route \"{name}\" has a target already; expected only one"));
    }
    if !known.route.idempotent {
        return Err(format!(
            "route \"{name}\" asks many shards; expected --repeatable in its rule"
        ));
    }
    let mut names = BTreeSet::new();
    if let Some(twice) = shards.iter().find(|shard| !names.insert(*shard)) {
        return Err(format!("shard \"{twice}\" is named twice"));
    }
    known.route.target = Target::Gather(Gather { shards, top_k, min_shard_ratio });
    known.asked_by.insert(line, by.into());
    Ok(())
}

fn find<'a>(rules: &'a mut Rules, name: &str) -> Result<&'a mut RouteRule> {
    let known = rules.routes.get_mut(name);
    known.ok_or_else(|| format!("route \"{name}\" does not exist in this file"))
}

/// Returns what is wrong with routes once every rule has been read.
pub(crate) fn faults(rules: &Rules) -> Vec<(u32, String)> {
    let mut faults = Vec::new();
    for (name, rule) in &rules.routes {
        let line = rule.asked_by.keys().next().copied().unwrap_or(1);
        let services = rule.services();
        if services.is_empty() {
            let message = format!(
                "route \"{name}\" has no target; expected --service, split rules or a gather rule"
            );
            faults.push((line, message));
        }
        for service in services.iter().filter(|name| !rules.services.contains_key(**name)) {
            let message =
                format!("route \"{name}\" names service \"{service}\", which does not exist");
            faults.push((line, message));
        }
    }
    faults
}
