//! Parser of a rule file, which reports all errors at once.

use std::time::Duration;

use clap::ArgMatches;

use crate::error::{Diagnostic, Error, Result};
use crate::grammar;
use crate::model::{Domain, Limit, Rules, Service};
use crate::routes;

/// Start of the comment that names who asked for a rule.
pub(crate) const ASKED_BY: &str = "# asked by:";

/// Deadline of a request without one, if no rule sets it.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(1_000);

/// Maximum deadline of a request, if no rule sets it.
const DEFAULT_MAX_DEADLINE: Duration = Duration::from_millis(2_000);

/// Parses the text of a rule file; `file` is the name to use in error messages.
///
/// # Errors
///
/// Fails when any line is invalid. The error lists all invalid lines.
pub fn parse(file: &str, text: &str) -> Result<Rules> {
    let mut parser =
        Parser { file, rules: Rules::default(), limited: Vec::new(), diagnostics: Vec::new() };
    // Services, domains and routes are read first, so that a rule may precede the service or route
    // to which it applies.
    for pass in [Pass::Definitions, Pass::References] {
        for (index, line) in text.lines().enumerate() {
            let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
            parser.line(pass, number, line);
        }
    }
    parser.finish()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Reads the rules that define services, domains and routes.
    Definitions,
    /// Reads the rules that refer to these.
    References,
}

struct Parser<'a> {
    file: &'a str,
    rules: Rules,
    /// Services that already have a limit rule.
    limited: Vec<Box<str>>,
    diagnostics: Vec<Diagnostic>,
}

impl Parser<'_> {
    fn add_error(&mut self, line: u32, message: impl Into<Box<str>>) {
        self.diagnostics.push(Diagnostic { file: self.file.into(), line, message: message.into() });
    }

    fn check(&mut self, line: u32, result: std::result::Result<(), String>) {
        if let Err(message) = result {
            self.add_error(line, message);
        }
    }

    fn line(&mut self, pass: Pass, number: u32, line: &str) {
        if line.trim().is_empty() || line.trim_start().starts_with("##") {
            return;
        }
        // Syntax errors are reported in the first pass only.
        let result = read_line(line);
        match (pass, result) {
            (Pass::Definitions, Err(message)) => self.add_error(number, message),
            (Pass::References, Err(_)) => {}
            (_, Ok((matches, asked_by))) => self.rule(pass, number, &matches, &asked_by),
        }
    }

    fn rule(&mut self, pass: Pass, line: u32, matches: &ArgMatches, asked_by: &str) {
        match (pass, matches.subcommand()) {
            (Pass::Definitions, Some(("service", rule))) => self.service(line, rule, asked_by),
            (Pass::Definitions, Some(("domain", rule))) => self.domain(line, rule, asked_by),
            (Pass::Definitions, Some(("route", rule))) => {
                let result = routes::route(&mut self.rules, line, rule, asked_by);
                self.check(line, result);
            }
            (Pass::References, Some(("split", rule))) => {
                let result = routes::split(&mut self.rules, line, rule, asked_by);
                self.check(line, result);
            }
            (Pass::References, Some(("gather", rule))) => {
                let result = routes::gather(&mut self.rules, line, rule, asked_by);
                self.check(line, result);
            }
            (Pass::References, Some(("limit", rule))) => self.limit(line, rule, asked_by),
            (Pass::References, Some(("repeat", rule))) => self.repeat(line, rule, asked_by),
            (Pass::References, Some(("deadline", rule))) => self.deadline(line, rule, asked_by),
            _ => {}
        }
    }

    fn service(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let name = grammar::name_of(rule);
        if self.rules.services.contains_key(&name) {
            return self.add_error(line, format!("service \"{name}\" is defined twice"));
        }
        let service = Service {
            shards: grammar::number_of(rule, "shards", 1),
            replicas: grammar::number_of(rule, "replicas", 1),
            limit: Limit::default(),
            never_repeat: std::collections::BTreeSet::default(),
            default_deadline: DEFAULT_DEADLINE,
            max_deadline: DEFAULT_MAX_DEADLINE,
            asked_by: [(line, asked_by.into())].into(),
        };
        self.rules.services.insert(name, service);
    }

    fn domain(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let name = grammar::name_of(rule);
        let domain = Domain { out: rule.get_flag("out"), asked_by: asked_by.into(), line };
        if self.rules.domains.insert(name.clone(), domain).is_some() {
            self.add_error(line, format!("domain \"{name}\" is defined twice"));
        }
    }

    /// Returns the service of a rule, and records who asked for the rule. Adds an error if the
    /// service does not exist.
    fn service_mut(
        &mut self,
        line: u32,
        rule: &ArgMatches,
        asked_by: &str,
    ) -> Option<&mut Service> {
        let name = grammar::name_of(rule);
        if !self.rules.services.contains_key(&name) {
            self.add_error(line, format!("service \"{name}\" does not exist in this file"));
            return None;
        }
        let service = self.rules.services.get_mut(&name)?;
        service.asked_by.insert(line, asked_by.into());
        Some(service)
    }

    fn limit(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let name = grammar::name_of(rule);
        if self.limited.contains(&name) {
            return self.add_error(line, format!("service \"{name}\" has two limits"));
        }
        let default = Limit::default();
        let limit = Limit {
            slots: grammar::number_of(rule, "slots", default.slots),
            connections: grammar::number_of(rule, "connections", default.connections),
            connect_cost: grammar::time_of(rule, "connect-cost-ms", default.connect_cost),
            cold_slots: grammar::number_of(rule, "cold-slots", default.cold_slots),
            cold_successes: grammar::number_of(rule, "cold-successes", default.cold_successes),
        };
        if limit.cold_slots > limit.slots {
            let message = format!(
                "--cold-slots {} is more than --slots {}; expected at most --slots",
                limit.cold_slots, limit.slots
            );
            return self.add_error(line, message);
        }
        if limit.connections <= limit.slots {
            let message = format!(
                "--connections {} does not exceed --slots {}; expected at least one more, for \
                 management calls",
                limit.connections, limit.slots
            );
            return self.add_error(line, message);
        }
        if let Some(service) = self.service_mut(line, rule, asked_by) {
            service.limit = limit;
            self.limited.push(name);
        }
    }

    fn repeat(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let operation = grammar::operation_of(rule);
        if let Some(service) = self.service_mut(line, rule, asked_by) {
            service.never_repeat.insert(operation);
        }
    }

    fn deadline(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let default = grammar::time_of(rule, "default-ms", DEFAULT_DEADLINE);
        let max = grammar::time_of(rule, "max-ms", DEFAULT_MAX_DEADLINE);
        if default > max {
            let message = format!(
                "--default-ms {} is more than --max-ms {}; expected at most --max-ms",
                default.as_millis(),
                max.as_millis()
            );
            return self.add_error(line, message);
        }
        if let Some(service) = self.service_mut(line, rule, asked_by) {
            service.default_deadline = default;
            service.max_deadline = max;
        }
    }

    fn finish(mut self) -> Result<Rules> {
        if self.diagnostics.is_empty() && self.rules.domains.is_empty() {
            self.add_error(1, "there is no domain; expected at least one \"domain NAME\" line");
        }
        for (line, message) in routes::diagnostics(&self.rules) {
            self.add_error(line, message);
        }
        if self.diagnostics.is_empty() {
            return Ok(self.rules);
        }
        self.diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        Err(Error::invalid(self.diagnostics))
    }
}

fn read_line(line: &str) -> std::result::Result<(ArgMatches, Box<str>), String> {
    let Some((rule, asked_by)) = line.rsplit_once(ASKED_BY) else {
        return Err(format!(
            "the rule names no requester; expected it to end in \"{ASKED_BY} NAME\""
        ));
    };
    let asked_by = asked_by.trim();
    if asked_by.is_empty() {
        return Err(format!("\"{ASKED_BY}\" names no requester; expected a name after it"));
    }
    let Some(words) = shlex::split(rule) else {
        return Err("a quote is not closed; expected a closing quote".into());
    };
    let matches =
        grammar::line().try_get_matches_from(words).map_err(|error| single_line(&error))?;
    Ok((matches, asked_by.into()))
}

/// Returns the error of the command-line parser as one line, without usage and help texts.
fn single_line(error: &clap::Error) -> String {
    let text = error.to_string();
    let lines = text
        .lines()
        .map(str::trim)
        .take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more"))
        .filter(|line| !line.is_empty());
    let joined = lines.collect::<Vec<_>>().join(" ");
    joined.trim_start_matches("error: ").to_string()
}
