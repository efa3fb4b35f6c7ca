//! `pistachio-node`: the process that runs once on each host of the hosting platform.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use platform::{SETTINGS_VARIABLE, Settings};
use tokio::signal::unix::{SignalKind, signal};

fn command() -> Command {
    Command::new("pistachio-node")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Answers callers' queries over many shards; runs as one process per host")
        .after_help(
            "SIGTERM stops the process once its requests are answered. SIGHUP reads the settings \
             file again and logs whether it is valid; changes apply from the next start.",
        )
        .arg(
            clap::Arg::new("settings")
                .long("settings")
                .env(SETTINGS_VARIABLE)
                .value_name("PATH")
                .required(true)
                .help("Settings file of this process"),
        )
        .arg(
            kernel::number_flag("metrics-port", 1, 65_535, "Port for GET /metrics")
                .default_value("9464"),
        )
        .arg(kernel::address_flag("advertise-peer", "Address at which other hosts follow this one"))
        .arg(kernel::address_flag("advertise-relay", "Address for relay requests of other hosts"))
        .arg(kernel::flag("log", "Log level, such as info or debug").default_value("info"))
}

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pistachio-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> kernel::Result<()> {
    let level = matches.get_one::<String>("log").map_or("info", String::as_str);
    let _log = kernel::start_json_log(level)?;
    let path = matches.get_one::<String>("settings").map_or("", String::as_str);
    let settings = Settings::load(path).map_err(kernel::Error::other)?;
    let address = |name| matches.get_one::<std::net::SocketAddr>(name).copied();
    let options = node::Options {
        metrics_port: matches.get_one::<u64>("metrics-port").copied().unwrap_or_default() as u16,
        advertised_peer: address("advertise-peer"),
        advertised_relay: address("advertise-relay"),
    };
    let mut process = kernel::Process::new("pistachio-node");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(kernel::Error::other)?;
    node::start(settings, &options, &mut process)?;
    let running = process.run();
    runtime.block_on(async {
        tokio::select! {
            () = running.wait_for_signal() => {}
            () = check_settings_on_sighup(path) => {}
        }
    });
    running.drain().join();
    Ok(())
}

/// Checks the settings file at each SIGHUP and logs whether it is valid.
async fn check_settings_on_sighup(path: &str) {
    let mut hangup = signal(SignalKind::hangup()).expect("the runtime handles signals");
    while hangup.recv().await.is_some() {
        match Settings::load(path) {
            Ok(settings) => log::info!(host = settings.host; "settings file is valid"),
            Err(error) => log::warn!(error:%; "settings file is invalid; ignoring it"),
        }
    }
}
