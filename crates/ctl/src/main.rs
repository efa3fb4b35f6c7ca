//! `pistachioctl`: the operators' command line.

mod apply;
mod explain;
mod status;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use kernel::{Error, Result};
use route::{Config, Document};
use store::{CONFIG_KEY, Client};

fn platform() -> Arg {
    kernel::address_flag("platform", "Address of the platform").required(true)
}

fn by() -> Arg {
    kernel::flag("by", "Name of the person or team that asks for the change")
        .value_name("NAME")
        .required(true)
}

fn command() -> Command {
    let file = Arg::new("file").required(true).value_name("FILE").help("Rule file");
    let domain = Arg::new("name").required(true).value_name("DOMAIN").help("Failure domain");
    let base = kernel::number_flag("base", 0, u64::MAX, "Revision that the file was made from");
    let brokers = kernel::address_flag("broker", "Address of any broker").required(true);
    Command::new("pistachioctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks, applies, shows and explains the rules of the brokers and egresses")
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict with another edit, \
             4 outcome unknown.",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("check").about("Reports every error in a rule file").arg(file.clone()),
        )
        .subcommand(
            Command::new("apply")
                .about("Puts a rule file in force, unless it has errors or another edit was first")
                .arg(file)
                .arg(platform())
                .arg(by())
                .arg(base),
        )
        .subcommand(
            Command::new("show").about("Prints the rule file that is in force").arg(platform()),
        )
        .subcommand(
            Command::new("explain")
                .about("Explains which rules decide where requests of a service or a route go")
                .arg(Arg::new("name").required(true).value_name("NAME").help("Service or route"))
                .arg(kernel::flag("cell", "Cell whose roster is read").default_value("main"))
                .arg(platform()),
        )
        .subcommand(
            Command::new("domain")
                .about("Takes a failure domain out, or puts it back in")
                .arg(Arg::new("what").required(true).value_parser(["out", "in"]).help("out or in"))
                .arg(domain)
                .arg(platform())
                .arg(by()),
        )
        .subcommand(
            Command::new("status")
                .about("Prints which configuration is in force on each node, and since when")
                .arg(brokers),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pistachioctl: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pistachioctl: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let (name, matches) = matches.subcommand().unwrap_or(("", matches));
    match name {
        "check" => check(matches),
        "apply" => apply::file(matches).await,
        "domain" => apply::domain(matches).await,
        "show" => show(matches).await,
        "explain" => explain::run(matches).await,
        "status" => status::run(matches).await,
        other => Err(Error::other(format!("command \"{other}\" does not exist"))),
    }
}

/// Returns the value of an argument, or an empty string if the argument is missing.
pub(crate) fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Returns a client of the platform at the address in the arguments.
pub(crate) fn client(matches: &ArgMatches) -> Result<Client> {
    let address = matches.get_one::<SocketAddr>("platform").map(ToString::to_string);
    Client::new(&address.unwrap_or_default()).map_err(Error::other)
}

/// Reads the configuration in force from the platform.
pub(crate) async fn read_config(client: &Client) -> Result<Config> {
    let value = client.get(CONFIG_KEY).await.map_err(Error::other)?;
    if value.revision == 0 {
        return Ok(Config::default());
    }
    let document: Document = serde_json::from_str(&value.value).map_err(Error::other)?;
    Ok(Config { revision: value.revision, document })
}

/// Reads a rule file.
///
/// # Errors
///
/// Fails if the file cannot be read, or with all errors in the file.
pub(crate) fn read_file(path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| Error::other(format!("file \"{path}\": {error}")))?;
    rules::parse(path, &text).map_err(|error| {
        let count = error.diagnostics().len();
        Error::other(format!("file \"{path}\" has {count} errors:\n{error}"))
    })?;
    Ok(text)
}

fn check(matches: &ArgMatches) -> Result<ExitCode> {
    let path = text(matches, "file");
    let rules = rules::parse(&path, &read_file(&path)?).map_err(Error::other)?;
    let (services, domains) = (rules.services.len(), rules.domains.len());
    println!("{path}: {services} services, {domains} domains, {} routes", rules.routes.len());
    Ok(ExitCode::SUCCESS)
}

async fn show(matches: &ArgMatches) -> Result<ExitCode> {
    let config = read_config(&client(matches)?).await?;
    if config.revision == 0 {
        println!("## no configuration has been applied yet");
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "## revision {}, edit {}, by {}",
        config.revision, config.document.id, config.document.by
    );
    print!("{}", config.document.text);
    Ok(ExitCode::SUCCESS)
}
