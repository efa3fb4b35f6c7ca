//! `pistachio-egress` owns upstreams and sends requests to them on behalf of brokers.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};

fn command() -> Command {
    Command::new("pistachio-egress")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Owns upstreams: limits, warm-up, connections, and the permission to send to them")
        .after_help(
            "Every flag can also be set by the environment variable PISTACHIO_NAME, such as \
             PISTACHIO_LISTEN for --listen. On SIGTERM, the process hands its upstreams over and \
             then stops.",
        )
        .arg(kernel::name_flag("host", "Unique name of this host").required(true))
        .arg(kernel::name_flag("domain", "Failure domain of this host").required(true))
        .arg(
            kernel::address_flag("listen", "Address for brokers and other egresses, TCP and UDP")
                .required(true),
        )
        .arg(kernel::address_flag("platform", "Address of the platform").required(true))
        .arg(kernel::name_flag("cell", "Cell of this host").default_value("main"))
        .arg(kernel::address_flag("admin", "Address for GET /healthz and /metrics"))
        .arg(
            kernel::flag("peers", "Egresses to follow when all other sources fail")
                .value_name("IP:PORT,...")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(log_flag())
}

fn log_flag() -> Arg {
    kernel::flag("log", "Log level, such as info or debug").default_value("info")
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pistachio-egress: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &clap::ArgMatches) -> kernel::Result<()> {
    let text = |name: &str| matches.get_one::<Box<str>>(name).cloned().unwrap_or_default();
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    let level = matches.get_one::<String>("log").map_or("info", String::as_str);
    let _log = kernel::start_json_log(level)?;
    let (Some(listen), Some(platform)) = (address("listen"), address("platform")) else {
        return Err(kernel::Error::other("--listen and --platform are required"));
    };
    let peers = matches.get_many::<SocketAddr>("peers").unwrap_or_default().copied();
    let platform = platform.to_string();
    let builder = egress::Builder::new(&text("host"), &text("domain"), listen, &platform);
    let settings = builder.peers(peers.collect()).cell(&text("cell")).build();

    let mut process = kernel::Process::new("pistachio-egress");
    let handle = egress::start(settings, process.shutdown_signal())?;
    let runtime = tokio::runtime::Runtime::new().map_err(kernel::Error::other)?;
    if let Some(admin) = address("admin") {
        runtime.block_on(handle.serve_admin(admin))?;
    }
    process.registry().register("egress", handle.metrics.clone());
    handle.threads.into_iter().for_each(|thread| process.add_thread(thread));
    let running = process.run();
    runtime.block_on(running.wait_for_signal());
    running.drain().join();
    Ok(())
}
