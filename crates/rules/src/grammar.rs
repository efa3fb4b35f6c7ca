//! The grammar of a rule line, shared with the command line through `clap`.

use std::time::Duration;

use clap::builder::RangedU64ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};

/// Maximum number of shards of a service; larger numbers are taken for typing errors.
const MAX_SHARDS: u64 = 100_000;

/// Maximum deadline of a request, in milliseconds. A takeover waits at least this long for the
/// requests of a lost owner; see `docs/design/ownership.md`.
const MAX_DEADLINE_MS: u64 = 2_000;

/// Maximum value of `--attempts`, the number of upstreams that may run one request or one part of a
/// query; upstreams that refused it do not count. More attempts would amplify an overload.
const MAX_ATTEMPTS: u64 = 10;

/// Maximum timeout of a route, in milliseconds; callers do not keep a connection open for an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Maximum priority number of a route; greater numbers rank lower.
const MAX_PRIORITY: u64 = 100;

/// Maximum weight of a service in a split, and maximum number of records in a merged answer.
const MAX_COUNT: u64 = 1_000_000;

fn number(name: &'static str, max: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(RangedU64ValueParser::<u64>::new().range(1..=max))
}

/// Parses a host name, which may contain dots.
fn parse_host(text: &str) -> Result<Box<str>, String> {
    let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    if text.is_empty() || text.len() > 253 || !text.chars().all(legal) {
        return Err("expected 1 to 253 of a-z, 0-9, - and .".into());
    }
    Ok(text.into())
}

fn parse_prefix(text: &str) -> Result<Box<str>, String> {
    if !text.starts_with('/') || !text.ends_with('/') {
        return Err("expected a path that begins and ends with a slash".into());
    }
    Ok(text.into())
}

fn word(name: &'static str, parse: fn(&str) -> Result<Box<str>, String>) -> Arg {
    Arg::new(name).long(name).value_parser(parse)
}

fn route() -> Command {
    Command::new("route")
        .arg(name())
        .arg(word("host", parse_host).required(true))
        .arg(word("prefix", parse_prefix).required(true))
        .arg(word("service", parse_name))
        .arg(Arg::new("repeatable").long("repeatable").action(ArgAction::SetTrue))
        .arg(number("attempts", MAX_ATTEMPTS))
        .arg(number("timeout-ms", MAX_TIMEOUT_MS))
        .arg(number("objective-ms", MAX_TIMEOUT_MS))
        .arg(
            Arg::new("priority")
                .long("priority")
                .value_parser(RangedU64ValueParser::<u64>::new().range(..=MAX_PRIORITY)),
        )
}

fn name() -> Arg {
    Arg::new("name").required(true).value_parser(parse_name)
}

fn parse_name(text: &str) -> Result<Box<str>, String> {
    let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > 64 || !text.chars().all(legal) {
        return Err("expected 1 to 64 of a-z, 0-9 and -".into());
    }
    Ok(text.into())
}

/// Builds the grammar of a rule line.
pub(crate) fn line() -> Command {
    Command::new("rule")
        .no_binary_name(true)
        .disable_help_flag(true)
        .disable_help_subcommand(true)
        .subcommand_required(true)
        .subcommand(
            Command::new("service")
                .arg(name())
                .arg(number("shards", MAX_SHARDS).required(true))
                .arg(number("replicas", 64).required(true)),
        )
        .subcommand(
            Command::new("limit")
                .arg(name())
                .arg(number("slots", 10_000).required(true))
                .arg(number("connections", 100_000).required(true))
                .arg(number("cold-slots", 10_000))
                .arg(number("cold-successes", 1_000_000))
                .arg(number("connect-cost-ms", 10_000)),
        )
        .subcommand(
            Command::new("repeat")
                .arg(name())
                .arg(word("operation", parse_name).required(true))
                .arg(Arg::new("never").long("never").action(ArgAction::SetTrue).required(true)),
        )
        .subcommand(
            Command::new("deadline")
                .arg(name())
                .arg(number("default-ms", MAX_DEADLINE_MS).required(true))
                .arg(number("max-ms", MAX_DEADLINE_MS)),
        )
        .subcommand(route())
        .subcommand(
            Command::new("split")
                .arg(name())
                .arg(word("service", parse_name).required(true))
                .arg(number("weight", MAX_COUNT).required(true)),
        )
        .subcommand(
            Command::new("gather")
                .arg(name())
                .arg(word("shards", parse_name).value_delimiter(',').required(true))
                .arg(number("records", MAX_COUNT).required(true))
                .arg(number("least-percent", 100)),
        )
        .subcommand(
            Command::new("domain")
                .arg(name())
                .arg(Arg::new("out").long("out").action(ArgAction::SetTrue)),
        )
}

/// Returns the name that follows the keyword of a rule.
pub(crate) fn name_of(matches: &ArgMatches) -> Box<str> {
    matches.get_one::<Box<str>>("name").cloned().unwrap_or_default()
}

/// Returns the name of the operation.
pub(crate) fn operation_of(matches: &ArgMatches) -> Box<str> {
    word_of(matches, "operation").unwrap_or_default()
}

/// Returns the text of an option, if it was given.
pub(crate) fn word_of(matches: &ArgMatches, option: &str) -> Option<Box<str>> {
    matches.get_one::<Box<str>>(option).cloned()
}

/// Returns the shards of a gather rule, each of which is a service.
pub(crate) fn shards_of(matches: &ArgMatches) -> Vec<Box<str>> {
    matches.get_many::<Box<str>>("shards").into_iter().flatten().cloned().collect()
}

/// Returns the number of an option, or `default` if the option was not given.
pub(crate) fn number_of(matches: &ArgMatches, option: &str, default: u32) -> u32 {
    matches.get_one::<u64>(option).map_or(default, |n| u32::try_from(*n).unwrap_or(u32::MAX))
}

/// Returns the time of an option in milliseconds, or `default` if the option was not given.
pub(crate) fn time_of(matches: &ArgMatches, option: &str, default: Duration) -> Duration {
    matches.get_one::<u64>(option).map_or(default, |n| Duration::from_millis(*n))
}
