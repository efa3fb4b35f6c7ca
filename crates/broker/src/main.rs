//! `pistachio-broker` answers requests of callers.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Command, value_parser};

fn command() -> Command {
    Command::new("pistachio-broker")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Answers searches of callers from the upstreams that the egresses own")
        .after_help(
            "Every flag can also be set by the environment variable PISTACHIO_NAME, such as \
             PISTACHIO_LISTEN for --listen. On SIGTERM, the process leaves the directory for \
             callers, answers the requests in flight, and then stops.",
        )
        .arg(kernel::name_flag("host", "Unique name of this host").required(true))
        .arg(kernel::name_flag("domain", "Failure domain of this host").required(true))
        .arg(kernel::address_flag("listen", "Address for HTTP requests of callers").required(true))
        .arg(
            kernel::flag("egresses", "Egresses to follow at the start; they report the others")
                .value_name("IP:PORT,...")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
        .arg(kernel::number_flag("threads", 1, 64, "Number of traffic threads").default_value("1"))
        .arg(kernel::flag("log", "Log level, such as info or debug").default_value("info"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pistachio-broker: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &clap::ArgMatches) -> kernel::Result<()> {
    let text = |name: &str| matches.get_one::<Box<str>>(name).cloned().unwrap_or_default();
    let level = matches.get_one::<String>("log").map_or("info", String::as_str);
    let _log = kernel::start_json_log(level)?;
    let Some(listen) = matches.get_one::<SocketAddr>("listen").copied() else {
        return Err(kernel::Error::other("--listen is required"));
    };
    let egresses = matches.get_many::<SocketAddr>("egresses").unwrap_or_default().copied();
    let threads = matches.get_one::<u64>("threads").copied().unwrap_or(1);
    let settings = broker::Builder::new(&text("host"), &text("domain"), listen)
        .egresses(egresses.collect())
        .threads(usize::try_from(threads).unwrap_or(1))
        .build();

    let mut process = kernel::Process::new("pistachio-broker");
    let runtime = tokio::runtime::Runtime::new().map_err(kernel::Error::other)?;
    let handle = runtime.block_on(broker::start(settings, process.shutdown_signal()))?;
    process.registry().register("broker", handle.metrics.clone());
    handle.threads.into_iter().for_each(|thread| process.add_thread(thread));
    let running = process.run();
    runtime.block_on(running.wait_for_signal());
    running.drain().join();
    // The remaining connections are closed with the runtime.
    runtime.shutdown_timeout(std::time::Duration::from_secs(1));
    Ok(())
}
