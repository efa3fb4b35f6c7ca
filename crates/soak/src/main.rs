//! `pistachio-soak`: runs the soak for one seed or several.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Command;
use soak::Plan;

fn command() -> Command {
    Command::new("pistachio-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs hosts as processes under faults drawn from a seed, and checks the promises")
        .arg(kernel::number("seed", 0, u64::MAX, "First seed").default_value("1"))
        .arg(kernel::number("seeds", 1, 1_000, "Number of seeds").default_value("1"))
        .arg(kernel::number("seconds", 1, 3_600, "Time of a run").default_value("15"))
        .arg(kernel::number("hosts", 1, 100, "Number of hosts").default_value("4"))
        .arg(kernel::number("clients", 1, 100, "Clients of each host").default_value("3"))
        .arg(
            clap::Arg::new("calm")
                .long("calm")
                .action(clap::ArgAction::SetTrue)
                .help("Plays no faults, for measurements"),
        )
        .arg(kernel::flag("folder", "Folder for settings and logs").default_value("target/soak"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let folder = matches.get_one::<String>("folder").map_or_else(PathBuf::new, PathBuf::from);
    let binary = std::env::current_exe().map(|path| path.with_file_name("pistachio-node"));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let (Ok(binary), Ok(runtime)) = (binary, runtime) else {
        eprintln!("pistachio-soak: the program's own path or threads are not available");
        return ExitCode::FAILURE;
    };
    let mut red = 0;
    for seed in number("seed")..number("seed") + number("seeds") {
        let plan = Plan {
            seed,
            time: Duration::from_secs(number("seconds")),
            hosts: number("hosts") as usize,
            clients: number("clients") as usize,
            calm: matches.get_flag("calm"),
            binary: binary.clone(),
            folder: folder.join(seed.to_string()),
        };
        match runtime.block_on(soak::run(plan)) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                red += u64::from(!report.broken.is_empty());
            }
            Err(error) => {
                eprintln!("pistachio-soak: seed {seed} cannot be run: {error}");
                red += 1;
            }
        }
    }
    println!("{red} of {} seeds broke a promise", number("seeds"));
    if red == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
