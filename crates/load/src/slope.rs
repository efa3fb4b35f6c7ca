//! `pistachio-load slope`: placeholder until the slopes are measured.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use kernel::Result;

pub(crate) fn command() -> Command {
    Command::new("slope")
}

pub(crate) async fn run(_matches: &ArgMatches) -> Result<ExitCode> {
    Ok(ExitCode::SUCCESS)
}
