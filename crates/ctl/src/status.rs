//! The command that prints which configuration is in force on each node.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use kernel::{Error, Result};

/// Time within which the broker must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints the status of all nodes as known to one broker.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some(broker) = matches.get_one::<SocketAddr>("broker") else {
        return Err(Error::other("--broker is required"));
    };
    let client = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT).build();
    let client = client.map_err(Error::other)?;
    let answer = client.get(format!("http://{broker}/healthz")).send().await;
    let answer: serde_json::Value =
        answer.map_err(Error::other)?.json().await.map_err(Error::other)?;
    println!("epoch {}, {} upstreams take requests", answer["epoch"], answer["upstreams"]);
    for node in answer["nodes"].as_array().into_iter().flatten() {
        let field = |name: &str| node[name].as_str().unwrap_or("-").to_string();
        println!(
            "{:8} {:20} configuration {} since {}",
            field("role"),
            field("host"),
            node["config"],
            field("since")
        );
    }
    Ok(ExitCode::SUCCESS)
}
