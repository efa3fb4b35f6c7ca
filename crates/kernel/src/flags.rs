//! Settings by flags and environment variables, checked at the start.

use std::net::SocketAddr;

use clap::Arg;
use clap::builder::RangedU64ValueParser;

/// Prefix of the environment variable that stands in for a flag.
const PREFIX: &str = "PISTACHIO_";

/// Builds a flag that the variable `PISTACHIO_NAME` may set as well.
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    let variable = format!("{PREFIX}{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(variable).help(help)
}

/// Builds a flag that takes an IP number and a port.
pub fn address(name: &'static str, help: &'static str) -> Arg {
    flag(name, help).value_name("IP:PORT").value_parser(parse_address)
}

/// Builds a flag that takes the name of a host or of a failure domain.
pub fn name(name: &'static str, help: &'static str) -> Arg {
    flag(name, help).value_name("NAME").value_parser(parse_name)
}

/// Builds a flag that takes a whole number in a range.
pub fn number(name: &'static str, least: u64, most: u64, help: &'static str) -> Arg {
    let parser = RangedU64ValueParser::<u64>::new().range(least..=most);
    flag(name, help).value_name("N").value_parser(parser)
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| "expected an IP number and a port, such as 127.0.0.1:7000".into())
}

fn parse_name(text: &str) -> Result<Box<str>, String> {
    let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > 64 || !text.chars().all(legal) {
        return Err("expected 1 to 64 of a-z, 0-9 and -".into());
    }
    Ok(text.into())
}
