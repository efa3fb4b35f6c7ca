//! Stand-ins and scenarios of the review cases that are scripts.

mod backend;
mod cold_again;
mod deployment;
mod host;
mod http;
mod json;
mod silent_restart;
mod still_host;
mod store;
mod watch_cut;

use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;

/// The file `record.txt` of a case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics");
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    pub fn start(&self) -> Instant {
        self.start
    }
}

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = &arguments[..] else {
        eprintln!("usage: {} SCENARIO RECORD", arguments[0]);
        return ExitCode::from(2);
    };
    let Ok(file) = File::create(path) else { return ExitCode::from(2) };
    let record = Record { file: Mutex::new(file), start: Instant::now() };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("pistachio-review-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let verdict = match scenario.as_str() {
        "watch-cut" => watch_cut::run(&record, &folder, trouble),
        "cold-again" => cold_again::run(&record, &folder, trouble),
        "silent-restart" => silent_restart::run(&record, &folder, trouble),
        "still-host" => still_host::run(&record, &folder, trouble),
        _ => Verdict::CouldNotRun,
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
