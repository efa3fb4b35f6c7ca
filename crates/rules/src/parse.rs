//! Reads a rule file and lists all of its faults at once.

use std::time::Duration;

use clap::ArgMatches;

use crate::error::{Diagnostic, Error, Result};
use crate::grammar;
use crate::model::{Domain, Limit, Rules, Service};
use crate::routes;

/// Mark that starts the comment naming who asked for a rule.
pub(crate) const ASKED_BY: &str = "# asked by:";

/// Deadline of a request that names none, where no rule sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(1_000);

/// Longest deadline, where no rule sets one.
const MAX_DEADLINE: Duration = Duration::from_millis(2_000);

/// Reads the text of a rule file; `file` only serves to name the place of a fault.
///
/// # Errors
///
/// Lists every fault of the file, not only the first one.
pub fn parse(file: &str, text: &str) -> Result<Rules> {
    let mut reader =
        Reader { file, rules: Rules::default(), limited: Vec::new(), faults: Vec::new() };
    // Services come first, so that a rule may stand above the service it names.
    for pass in [Pass::Names, Pass::Details] {
        for (index, line) in text.lines().enumerate() {
            let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
            reader.line(pass, number, line);
        }
    }
    reader.finish()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    Names,
    Details,
}

struct Reader<'a> {
    file: &'a str,
    rules: Rules,
    limited: Vec<Box<str>>,
    faults: Vec<Diagnostic>,
}

impl Reader<'_> {
    fn fault(&mut self, line: u32, message: impl Into<Box<str>>) {
        self.faults.push(Diagnostic { file: self.file.into(), line, message: message.into() });
    }

    fn check(&mut self, line: u32, result: std::result::Result<(), String>) {
        if let Err(message) = result {
            self.fault(line, message);
        }
    }

    fn line(&mut self, pass: Pass, number: u32, line: &str) {
        if line.trim().is_empty() || line.trim_start().starts_with("##") {
            return;
        }
        // A fault is told once, in the first pass.
        let result = read_line(line);
        match (pass, result) {
            (Pass::Names, Err(message)) => self.fault(number, message),
            (Pass::Details, Err(_)) => {}
            (_, Ok((matches, asked_by))) => self.rule(pass, number, &matches, &asked_by),
        }
    }

    fn rule(&mut self, pass: Pass, line: u32, matches: &ArgMatches, asked_by: &str) {
        match (pass, matches.subcommand()) {
            (Pass::Names, Some(("service", rule))) => self.service(line, rule, asked_by),
            (Pass::Names, Some(("domain", rule))) => self.domain(line, rule, asked_by),
            (Pass::Names, Some(("route", rule))) => {
                let result = routes::route(&mut self.rules, line, rule, asked_by);
                self.check(line, result);
            }
            (Pass::Details, Some(("split", rule))) => {
                let result = routes::split(&mut self.rules, line, rule, asked_by);
                self.check(line, result);
            }
            (Pass::Details, Some(("gather", rule))) => {
                let result = routes::gather(&mut self.rules, line, rule, asked_by);
                self.check(line, result);
            }
            (Pass::Details, Some(("limit", rule))) => self.limit(line, rule, asked_by),
            (Pass::Details, Some(("repeat", rule))) => self.repeat(line, rule, asked_by),
            (Pass::Details, Some(("deadline", rule))) => self.deadline(line, rule, asked_by),
            _ => {}
        }
    }

    fn service(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let name = grammar::name_of(rule);
        if self.rules.services.contains_key(&name) {
            return self.fault(line, format!("service \"{name}\" is named twice"));
        }
        let service = Service {
            shards: grammar::number_of(rule, "shards", 1),
            replicas: grammar::number_of(rule, "replicas", 1),
            limit: Limit::default(),
            never_repeat: std::collections::BTreeSet::default(),
            default_deadline: DEFAULT_DEADLINE,
            max_deadline: MAX_DEADLINE,
            asked_by: [(line, asked_by.into())].into(),
        };
        self.rules.services.insert(name, service);
    }

    fn domain(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let name = grammar::name_of(rule);
        let domain = Domain { out: rule.get_flag("out"), asked_by: asked_by.into(), line };
        if self.rules.domains.insert(name.clone(), domain).is_some() {
            self.fault(line, format!("domain \"{name}\" is named twice"));
        }
    }

    fn known(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) -> Option<&mut Service> {
        let name = grammar::name_of(rule);
        if !self.rules.services.contains_key(&name) {
            self.fault(line, format!("service \"{name}\" does not exist in this file"));
            return None;
        }
        let service = self.rules.services.get_mut(&name)?;
        service.asked_by.insert(line, asked_by.into());
        Some(service)
    }

    fn limit(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let name = grammar::name_of(rule);
        if self.limited.contains(&name) {
            return self.fault(line, format!("service \"{name}\" has two limits"));
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
            return self.fault(line, message);
        }
        if limit.connections <= limit.slots {
            let message = format!(
                "--connections {} does not exceed --slots {}; expected one more for control",
                limit.connections, limit.slots
            );
            return self.fault(line, message);
        }
        if let Some(service) = self.known(line, rule, asked_by) {
            service.limit = limit;
            self.limited.push(name);
        }
    }

    fn repeat(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let operation = grammar::operation_of(rule);
        if let Some(service) = self.known(line, rule, asked_by) {
            service.never_repeat.insert(operation);
        }
    }

    fn deadline(&mut self, line: u32, rule: &ArgMatches, asked_by: &str) {
        let default = grammar::time_of(rule, "default-ms", DEFAULT_DEADLINE);
        let max = grammar::time_of(rule, "max-ms", MAX_DEADLINE);
        if default > max {
            let message = format!(
                "--default-ms {} is more than --max-ms {}; expected at most --max-ms",
                default.as_millis(),
                max.as_millis()
            );
            return self.fault(line, message);
        }
        if let Some(service) = self.known(line, rule, asked_by) {
            service.default_deadline = default;
            service.max_deadline = max;
        }
    }

    fn finish(mut self) -> Result<Rules> {
        if self.faults.is_empty() && self.rules.domains.is_empty() {
            self.fault(1, "no domain is named; expected at least one \"domain NAME\" line");
        }
        for (line, message) in routes::faults(&self.rules) {
            self.fault(line, message);
        }
        if self.faults.is_empty() {
            return Ok(self.rules);
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(Error::faults(self.faults))
    }
}

fn read_line(line: &str) -> std::result::Result<(ArgMatches, Box<str>), String> {
    let Some((rule, asked_by)) = line.rsplit_once(ASKED_BY) else {
        return Err(format!("the rule names nobody; expected it to end in \"{ASKED_BY} NAME\""));
    };
    let asked_by = asked_by.trim();
    if asked_by.is_empty() {
        return Err(format!("\"{ASKED_BY}\" names nobody; expected a name after it"));
    }
    let Some(words) = shlex::split(rule) else {
        return Err("a quote is left open; expected its closing quote".into());
    };
    let matches = grammar::line().try_get_matches_from(words).map_err(|error| flatten(&error))?;
    Ok((matches, asked_by.into()))
}

/// Folds the command line's error into one line and leaves out its advice.
fn flatten(error: &clap::Error) -> String {
    let text = error.to_string();
    let lines = text
        .lines()
        .map(str::trim)
        .take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more"))
        .filter(|line| !line.is_empty());
    let joined = lines.collect::<Vec<_>>().join(" ");
    joined.trim_start_matches("error: ").to_string()
}
