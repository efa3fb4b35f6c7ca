//! The commands that edit the configuration: do the I/O for [`route::Apply`].

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use kernel::{Error, Result};
use route::{Apply, Change, Document, Outcome, Step, WriteResult};
use store::{CONFIG_KEY, Client, Swap};

use crate::{client, read_config, read_file, text};

/// Time after which an edit whose write got no answer is reported as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after a failed read.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Exit code for a conflict with an edit that was accepted first.
const EXIT_CONFLICT: u8 = 3;

/// Exit code when it is unknown whether the edit was accepted.
const EXIT_UNKNOWN: u8 = 4;

/// Replaces the configuration by a rule file.
pub(crate) async fn file(matches: &ArgMatches) -> Result<ExitCode> {
    let new = read_file(&text(matches, "file"))?;
    let base = matches.get_one::<u64>("base").copied();
    run(matches, Change::Text { text: new.into(), base }).await
}

/// Takes a failure domain out or puts it back in.
pub(crate) async fn domain(matches: &ArgMatches) -> Result<ExitCode> {
    let out = text(matches, "what") == "out";
    run(matches, Change::Domain { name: text(matches, "name").into(), out }).await
}

async fn run(matches: &ArgMatches, change: Change) -> Result<ExitCode> {
    let client = client(matches)?;
    let id = format!("{:016x}", rand::random::<u64>());
    let mut apply = Apply::new(&id, &text(matches, "by"), change.clone());
    let start = Instant::now();
    let mut step = Step::Read;
    // Whether a write got no answer. Until then, a failed edit has certainly changed nothing.
    let mut write_unknown = false;
    loop {
        step = match step {
            Step::Read => match read_config(&client).await {
                Ok(config) => {
                    let document = (config.revision > 0).then_some(config.document);
                    apply.on_read(config.revision, document.as_ref())
                }
                Err(error) if !write_unknown => {
                    return Err(Error::other(format!("nothing was changed: {error}")));
                }
                Err(_) if start.elapsed() < RESOLVE_TIMEOUT => {
                    tokio::time::sleep(RETRY_BACKOFF).await;
                    Step::Read
                }
                Err(_) => Step::Done(Outcome::Unknown),
            },
            Step::Swap(expect, document) => {
                let result = swap(&client, expect, &document).await?;
                write_unknown |= result == WriteResult::Unknown;
                apply.on_swap(result)
            }
            Step::Done(outcome) => return Ok(print_outcome(&id, &change, outcome)),
        };
    }
}

async fn swap(client: &Client, expect: u64, document: &Document) -> Result<WriteResult> {
    let value = serde_json::to_string(document).map_err(Error::other)?;
    let swap = Swap { expect, value: value.into(), lease_ms: None };
    match client.swap(CONFIG_KEY, &swap).await {
        Ok(Some(revision)) => Ok(WriteResult::Written(revision)),
        Ok(None) => Ok(WriteResult::Conflict),
        Err(error) if error.is_unknown() => Ok(WriteResult::Unknown),
        Err(error) => Err(Error::other(format!("nothing was changed: {error}"))),
    }
}

/// Prints the outcome of an edit and returns the exit code.
fn print_outcome(id: &str, change: &Change, outcome: Outcome) -> ExitCode {
    match outcome {
        Outcome::Accepted(revision) => {
            println!("accepted as revision {revision}, edit {id}");
            ExitCode::SUCCESS
        }
        Outcome::Unchanged(revision) => {
            println!("revision {revision} already has this content; nothing was changed");
            ExitCode::SUCCESS
        }
        Outcome::Invalid(message) => {
            eprintln!("pistachioctl: nothing was changed: {message}");
            ExitCode::FAILURE
        }
        Outcome::Conflict(revision, winner) => {
            let (by, winner_id) = (&winner.by, &winner.id);
            eprintln!(
                "pistachioctl: nothing was changed: conflict with an edit by {by}, revision \
                 {revision}"
            );
            eprintln!("(edit {winner_id}). Lines only in that revision (-) or in your file (+):");
            if let Change::Text { text, .. } = change {
                print_differences(&winner.text, text);
            }
            ExitCode::from(EXIT_CONFLICT)
        }
        Outcome::Unknown => {
            eprintln!("pistachioctl: no answer from the platform; edit {id} may be in force. Run");
            eprintln!("pistachioctl show when the platform is available again.");
            ExitCode::from(EXIT_UNKNOWN)
        }
    }
}

/// Prints the lines that only one of two rule files contains.
fn print_differences(current: &str, wanted: &str) {
    for line in current.lines().filter(|line| !wanted.lines().any(|other| other == *line)) {
        eprintln!("- {line}");
    }
    for line in wanted.lines().filter(|line| !current.lines().any(|other| other == *line)) {
        eprintln!("+ {line}");
    }
}
