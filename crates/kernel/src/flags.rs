//! Command-line flags, which environment variables can set as well. Values are checked on parsing.

use std::net::SocketAddr;

use clap::Arg;
use clap::builder::RangedU64ValueParser;

/// Prefix of the environment variables that set flags.
const PREFIX: &str = "PISTACHIO_";

/// Returns the flag `--name`, which the environment variable `PISTACHIO_NAME` can set as well.
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    let variable = format!("{PREFIX}{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(variable).help(help)
}

/// Returns a flag whose value is an IP address and a port.
pub fn address_flag(name: &'static str, help: &'static str) -> Arg {
    flag(name, help).value_name("IP:PORT").value_parser(parse_address)
}

/// Returns a flag whose value is a name, for example of a host or a failure domain.
pub fn name_flag(name: &'static str, help: &'static str) -> Arg {
    flag(name, help).value_name("NAME").value_parser(parse_name)
}

/// Returns a flag whose value is an integer from `min` to `max`.
pub fn number_flag(name: &'static str, min: u64, max: u64, help: &'static str) -> Arg {
    let parser = RangedU64ValueParser::<u64>::new().range(min..=max);
    flag(name, help).value_name("N").value_parser(parser)
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| "expected an IP address and a port, such as 127.0.0.1:7000".into())
}

fn parse_name(text: &str) -> Result<Box<str>, String> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > 64 || !text.chars().all(is_allowed) {
        return Err("expected 1 to 64 of a-z, 0-9 and -".into());
    }
    Ok(text.into())
}
