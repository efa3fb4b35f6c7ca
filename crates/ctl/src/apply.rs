//! Edits: the shell around [`route::Apply`].

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use kernel::{Error, Result};
use route::{Apply, Change, Document, Outcome, Step, WriteResult};
use store::{CONFIG_KEY, Client, Swap};

use crate::{client, read_config, read_file, text};

/// Time after which an edit whose answer was lost is given up as unknown.
const PATIENCE: Duration = Duration::from_secs(15);

/// Pause after a failed call.
const RETRY_TIME: Duration = Duration::from_millis(200);

/// Exit code when another edit was first.
const LOST: u8 = 3;

/// Exit code when nobody can tell yet whether the edit was accepted.
const UNKNOWN: u8 = 4;

/// Applies a whole file.
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
    // Until the first write may have left, an edit that fails has surely changed nothing.
    let mut written = false;
    loop {
        step = match step {
            Step::Read => match read_config(&client).await {
                Ok(config) => {
                    let document = (config.revision > 0).then_some(config.document);
                    apply.on_read(config.revision, document.as_ref())
                }
                Err(error) if !written => {
                    return Err(Error::other(format!("nothing was changed: {error}")));
                }
                Err(_) if start.elapsed() < PATIENCE => {
                    tokio::time::sleep(RETRY_TIME).await;
                    Step::Read
                }
                Err(_) => Step::Done(Outcome::Unknown),
            },
            Step::Swap(expect, document) => {
                let ended = swap(&client, expect, &document).await?;
                written |= ended == WriteResult::Unknown;
                apply.on_swap(ended)
            }
            Step::Done(verdict) => return Ok(tell(&id, &change, verdict)),
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

fn tell(id: &str, change: &Change, verdict: Outcome) -> ExitCode {
    match verdict {
        Outcome::Accepted(revision) => {
            println!("accepted as revision {revision}, edit {id}");
            ExitCode::SUCCESS
        }
        Outcome::Unchanged(revision) => {
            println!("revision {revision} says the same already; nothing was changed");
            ExitCode::SUCCESS
        }
        Outcome::Invalid(message) => {
            eprintln!("pistachioctl: nothing was changed: {message}");
            ExitCode::FAILURE
        }
        Outcome::Conflict(revision, winner) => {
            let (by, winner_id) = (&winner.by, &winner.id);
            eprintln!(
                "pistachioctl: nothing was changed: {by} was first, with revision {revision}"
            );
            eprintln!("(edit {winner_id}). Lines that stand now and lines of your file:");
            if let Change::Text { text, .. } = change {
                differences(&winner.text, text);
            }
            ExitCode::from(LOST)
        }
        Outcome::Unknown => {
            eprintln!("pistachioctl: the answer was lost; edit {id} may be in force. Look with");
            eprintln!("pistachioctl show once the platform is back.");
            ExitCode::from(UNKNOWN)
        }
    }
}

fn differences(stands: &str, wanted: &str) {
    for line in stands.lines().filter(|line| !wanted.lines().any(|other| other == *line)) {
        eprintln!("- {line}");
    }
    for line in wanted.lines().filter(|line| !stands.lines().any(|other| other == *line)) {
        eprintln!("+ {line}");
    }
}
