//! Stand-ins and cases of the second review. Each case is described in its folder; `run.sh` there
//! starts it from the project's root.

mod cases;
mod http;
mod json;
mod store;
mod world;

use std::process::ExitCode;

use world::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else {
        eprintln!("usage: CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::new(record) else { return ExitCode::from(2) };
    match cases::play(case, record) {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
