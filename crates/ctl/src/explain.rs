//! The command that explains where the requests of a service or route go, and why.

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::ArgMatches;
use kernel::{Error, Result};
use member::{Roster, rank};
use route::{Hosts, Kind, Life, group};
use rules::Rules;
use store::roster_key;
use table::Target;

use crate::{client, read_config, text};

/// Explains one service or route.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let client = client(matches)?;
    let config = read_config(&client).await?;
    let rules = rules::parse("configuration", &config.document.text).map_err(Error::other)?;
    let name = text(matches, "name");
    let revision = config.revision;
    if let Some(route) = rules.routes.get(&*name) {
        println!("route {name}, revision {revision} by {}", config.document.by);
        print_rules(&config.document.text, &route.asked_by);
        print_target(&route.route.target);
        print_domains(&rules);
        return Ok(ExitCode::SUCCESS);
    }
    let Some(service) = rules.services.get(&*name) else {
        return Err(Error::other(format!(
            "no service or route named \"{name}\" in revision {revision}"
        )));
    };
    let roster = client.get(&roster_key(&text(matches, "cell"))).await.map_err(Error::other)?;
    let roster: Roster = serde_json::from_str(&roster.value).unwrap_or_default();
    let hosts = client.hosts().await.map_err(Error::other)?;
    println!("service {name}, revision {revision} by {}", config.document.by);
    print_rules(&config.document.text, &service.asked_by);
    print_routes(&name, &rules);
    print_domains(&rules);
    print_groups(&name, &rules, &roster, &hosts);
    Ok(ExitCode::SUCCESS)
}

/// Prints the given lines of the rule file, with who asked for each of them.
fn print_rules(text: &str, asked_by: &BTreeMap<u32, Box<str>>) {
    println!("rules:");
    for (line, asked_by) in asked_by {
        let rule = text.lines().nth(*line as usize - 1).unwrap_or_default();
        let rule = rule.split(" #").next().unwrap_or_default().trim();
        println!("  line {line}, asked by {asked_by}: {rule}");
    }
}

/// Prints the routes whose requests may go to a service.
fn print_routes(name: &str, rules: &Rules) {
    for (route, rule) in &rules.routes {
        if rule.services().contains(&name) {
            println!("route {route}: {}{}", rule.route.host_name, rule.route.prefix);
        }
    }
}

fn print_target(target: &Target) {
    match target {
        Target::Service(service) => println!("requests go to {service}"),
        Target::Split(targets) => {
            let total: f64 = targets.iter().map(|target| target.weight).sum();
            for target in targets {
                println!(
                    "{:.1}% of requests go to {}",
                    target.weight / total * 100.0,
                    target.service
                );
            }
        }
        Target::Gather(gather) => println!(
            "requests go to {} shards; answers need {} of them and hold {} records",
            gather.shards.len(),
            gather.min_shards(),
            gather.top_k
        ),
    }
}

fn print_domains(rules: &Rules) {
    println!("failure domains:");
    for (name, domain) in &rules.domains {
        let state = if domain.out { "out, receives no requests" } else { "in" };
        println!("  line {}, asked by {}: {name} is {state}", domain.line, domain.asked_by);
    }
}

/// Prints the upstreams of each group, and which egress owns the group and why.
fn print_groups(name: &str, rules: &Rules, roster: &Roster, hosts: &Hosts) {
    println!("owners in epoch {} of the roster:", roster.epoch);
    let mut groups: BTreeMap<_, (u32, u32)> = BTreeMap::new();
    for host in hosts.hosts.iter().filter(|host| host.kind == Kind::Upstream) {
        if host.place.as_ref().is_none_or(|place| *place.service != *name) {
            continue;
        }
        let counts = groups.entry(group(name, &host.domain, &host.id)).or_default();
        counts.0 += 1;
        counts.1 += u32::from(host.life == Life::Leaving);
    }
    for (key, (upstreams, leaving)) in groups {
        let owner = rank(roster, &key.domain, &key.name).first().map(|host| (*host).clone());
        let owner = owner.unwrap_or_else(|| "no owner".into());
        let local = roster.members.get(&owner).is_some_and(|entry| entry.domain == key.domain);
        let reason = if local { "ranked first in the domain" } else { "ranked first overall" };
        let state = if rules.accepts_requests(&key.domain) { "" } else { "; the domain is out" };
        println!(
            "  {}: {upstreams} upstreams, {leaving} leaving, {owner} ({reason}){state}",
            key.name
        );
    }
}
