//! `pistachio-soak`: runs the soak test for one or more seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Command;
use soak::{Plan, Scenario};

fn command() -> Command {
    Command::new("pistachio-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs host processes under faults drawn from a seed and checks the guarantees")
        .arg(kernel::number_flag("seed", 0, u64::MAX, "First seed").default_value("1"))
        .arg(kernel::number_flag("seeds", 1, 1_000, "Number of seeds").default_value("1"))
        .arg(
            kernel::number_flag("seconds", 1, 3_600, "Seconds during which faults begin")
                .default_value("15"),
        )
        .arg(kernel::number_flag("hosts", 1, 100, "Number of hosts").default_value("4"))
        .arg(
            kernel::number_flag("clients", 1, 100, "Number of clients per host").default_value("3"),
        )
        .arg(
            clap::Arg::new("calm")
                .long("calm")
                .action(clap::ArgAction::SetTrue)
                .help("Injects no faults, for measurements"),
        )
        .arg(
            clap::Arg::new("scenario")
                .long("scenario")
                .action(clap::ArgAction::Append)
                .value_parser(Scenario::ALL.map(|(name, _)| name))
                .help("Plays only this scenario after the random faults; may be repeated"),
        )
        .arg(
            clap::Arg::new("binary")
                .long("binary")
                .value_name("path")
                .help("Host program to run instead of the one beside this program"),
        )
        .arg(
            clap::Arg::new("upgrade-from")
                .long("upgrade-from")
                .env("PISTACHIO_UPGRADE_FROM")
                .value_name("path")
                .help("Host program of an earlier version; hosts are replaced one by one"),
        )
        .arg(
            kernel::flag("folder", "Folder for the settings and logs of the hosts")
                .default_value("target/soak"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let folder = matches.get_one::<String>("folder").map_or_else(PathBuf::new, PathBuf::from);
    let beside = std::env::current_exe().map(|path| path.with_file_name("pistachio-node"));
    let binary = matches.get_one::<String>("binary").map(PathBuf::from).map_or(beside, Ok);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let (Ok(binary), Ok(runtime)) = (binary, runtime) else {
        eprintln!("pistachio-soak: cannot find the path of this program or start the runtime");
        return ExitCode::FAILURE;
    };
    let selected = matches.get_many::<String>("scenario").unwrap_or_default();
    let scenarios: Vec<_> = selected.filter_map(|name| Scenario::named(name)).collect();
    let mut failed = 0;
    for seed in number("seed")..number("seed") + number("seeds") {
        let plan = Plan {
            seed,
            duration: Duration::from_secs(number("seconds")),
            hosts: number("hosts") as usize,
            clients_per_host: number("clients") as usize,
            no_faults: matches.get_flag("calm"),
            scenarios: scenarios.clone(),
            binary: binary.clone(),
            upgrade_from: matches.get_one::<String>("upgrade-from").map(PathBuf::from),
            folder: folder.join(seed.to_string()),
        };
        match runtime.block_on(soak::run(plan)) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                failed += u64::from(!report.violations.is_empty());
            }
            Err(error) => {
                eprintln!("pistachio-soak: seed {seed} failed to run: {error}");
                failed += 1;
            }
        }
    }
    println!("{failed} of {} seeds failed", number("seeds"));
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
