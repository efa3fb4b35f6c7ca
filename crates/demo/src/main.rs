//! `pistachio-demo` runs whole deployments on loopback in one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command};
use demo::{Cluster, Options};
use kernel::{Error, Result};
use route::Document;
use serde_json::{Value, json};
use standin::{Fleet, Platform, Recorder, Speed};
use store::CONFIG_KEY;

/// Number of hosts of each deployment.
const HOSTS: usize = 3;

fn command() -> Command {
    Command::new("pistachio-demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs both example deployments on loopback, with stand-ins for all dependencies")
        .after_help(
            "Without flags, searches each service once and prints each answer as a JSON line.",
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Run until SIGTERM; the first line contains the addresses"),
        )
        .arg(
            Arg::new("stand-ins")
                .long("stand-ins")
                .value_name("FILE")
                .conflicts_with("serve")
                .help("Run only the stand-ins of a rule file: a platform and the upstreams"),
        )
        .arg(
            kernel::number_flag(
                "replica",
                0,
                63,
                "With --stand-ins: only upstreams of this replica",
            )
            .requires("stand-ins"),
        )
        .arg(
            kernel::address_flag("join", "With --stand-ins: list the upstreams at this platform")
                .requires("stand-ins"),
        )
        .arg(
            kernel::address_flag("platform-listen", "Address of the platform stand-in")
                .default_value("127.0.0.1:0"),
        )
        .arg(kernel::flag("log", "Log level, such as info or debug").default_value("warn"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pistachio-demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pistachio-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &clap::ArgMatches) -> Result<ExitCode> {
    let level = matches.get_one::<String>("log").map_or("warn", String::as_str);
    let _log = kernel::start_log(level)?;
    let listen = matches.get_one::<SocketAddr>("platform-listen").copied();
    let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    if let Some(file) = matches.get_one::<String>("stand-ins") {
        let replica = matches.get_one::<u64>("replica").copied();
        let join = matches.get_one::<SocketAddr>("join").copied();
        return stand_ins(file, listen, replica, join).await;
    }
    let mut clusters = Vec::new();
    for (name, rules) in [("consortium", demo::consortium()), ("orzech-pol", demo::orzech_pol())] {
        let options = Options {
            rules: rules.into(),
            hosts: HOSTS,
            baseline: false,
            speed: Speed::default(),
            warm: true,
        };
        clusters.push((name, Cluster::start(options, Recorder::disabled()).await?));
    }
    if matches.get_flag("serve") {
        return serve(&clusters).await;
    }
    let mut all_complete = true;
    for (name, cluster) in &clusters {
        all_complete &= search_all(name, cluster).await?;
    }
    Ok(if all_complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Sends one search to each service and prints the answers.
///
/// Returns whether all answers were complete.
async fn search_all(name: &str, cluster: &Cluster) -> Result<bool> {
    let client = reqwest::Client::builder().no_proxy().build().map_err(Error::other)?;
    let mut all_complete = true;
    for (number, service) in cluster.rules.services.keys().enumerate() {
        let address = cluster.nodes[number % cluster.nodes.len()].broker.address;
        let url = format!("http://{address}/v1/search/{service}");
        let call = client.post(url).json(&json!({ "query": "collapsed bank" }));
        let response = call.send().await.map_err(Error::other)?;
        let mut answer: Value = response.json().await.map_err(Error::other)?;
        all_complete &= answer["outcome"] == "complete";
        answer["deployment"] = json!(name);
        answer["service"] = json!(service);
        println!("{answer}");
    }
    Ok(all_complete)
}

/// Prints the addresses of the deployments and waits for a signal.
async fn serve(clusters: &[(&str, Cluster)]) -> Result<ExitCode> {
    let brokers: Vec<String> = clusters
        .iter()
        .flat_map(|(_, c)| c.nodes.iter().map(|node| node.broker.address.to_string()))
        .collect();
    let platform: Vec<String> =
        clusters.iter().map(|(_, c)| c.platform.address().to_string()).collect();
    let deployments: Vec<Value> = clusters
        .iter()
        .map(|(name, c)| {
            let brokers: Vec<_> = c.nodes.iter().map(|n| n.broker.address.to_string()).collect();
            json!({
                "deployment": name,
                "brokers": brokers,
                "platform": c.platform.address().to_string(),
            })
        })
        .collect();
    let line = json!({ "brokers": brokers, "platform": platform, "deployments": deployments });
    println!("{line}");
    wait_for_signal().await;
    Ok(ExitCode::SUCCESS)
}

/// Runs the stand-ins of a rule file until a signal.
async fn stand_ins(
    file: &str,
    listen: SocketAddr,
    replica: Option<u64>,
    join: Option<SocketAddr>,
) -> Result<ExitCode> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| Error::other(format!("file \"{file}\": {error}")))?;
    let rules = rules::parse(file, &text).map_err(Error::other)?;
    let mut specs = Fleet::specs(&rules, Speed::default());
    specs.retain(|spec| replica.is_none_or(|number| spec.id.ends_with(&format!("-{number}"))));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let fleet =
        Fleet::start_specs(specs, any_port, &Recorder::disabled()).await.map_err(Error::other)?;
    fleet.mark_warm();
    let platform = if let Some(address) = join {
        let client = reqwest::Client::builder().no_proxy().build().map_err(Error::other)?;
        let call = client.put(format!("http://{address}/v1/hosts")).json(&fleet.hosts());
        let answer = call.send().await.and_then(reqwest::Response::error_for_status);
        answer.map_err(Error::other)?;
        address
    } else {
        let platform = Platform::start(listen, Duration::from_secs(1)).await;
        let platform = platform.map_err(|error| Error::bind(listen, error))?;
        let document = Document::default().next("start", "demo", &text);
        platform.put(CONFIG_KEY, &serde_json::to_string(&document).map_err(Error::other)?);
        platform.add_hosts(fleet.hosts());
        platform.address()
    };
    let line = json!({
        "platform": platform.to_string(),
        "upstreams": fleet.upstreams.len(),
    });
    println!("{line}");
    wait_for_signal().await;
    Ok(ExitCode::SUCCESS)
}

async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate =
        signal(SignalKind::terminate()).expect("signals are enabled in the runtime");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
