//! `pistachio-load`: load tests and experiments against in-process stand-ins.

mod caller;
mod direct;
mod faults;
mod figures;
mod run;
mod scenario;
mod slope;
mod violations;

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use kernel::Result;

fn command() -> Command {
    Command::new("pistachio-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs a deployment on loopback under load and faults, and prints what was measured")
        .subcommand_required(true)
        .arg(kernel::flag("log", "Log level, such as info or debug").default_value("error"))
        .subcommand(run::command())
        .subcommand(slope::command())
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match execute(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pistachio-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(matches: &ArgMatches) -> Result<ExitCode> {
    let level = matches.get_one::<String>("log").map_or("error", String::as_str);
    let _log = kernel::start_log(level)?;
    let runtime = tokio::runtime::Runtime::new().map_err(kernel::Error::other)?;
    let code = match matches.subcommand() {
        Some(("run", matches)) => runtime.block_on(run::run(matches)),
        Some(("slope", matches)) => runtime.block_on(slope::run(matches)),
        _ => Err(kernel::Error::other("expected a command")),
    };
    runtime.shutdown_background();
    code
}
