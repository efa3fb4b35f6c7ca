//! Logs: lines for changes of state only; counters tell the rest.

use std::io::{Result as IoResult, Write};

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

use crate::error::{Code, Result};

/// Starts logging to standard error at `level`, such as `info` or `info,egress=debug`.
///
/// Spans of the trace appear at level `debug`. The log stops when the handle is dropped.
///
/// # Errors
///
/// Fails when the level cannot be read or a log has been started before.
pub fn start_log(level: &str) -> Result<LoggerHandle> {
    let fail = |error| Code::Log(level.into(), error);
    let logger = Logger::try_with_str(level).map_err(fail)?;
    Ok(logger.format(line).start().map_err(fail)?)
}

/// Writes one line: time, level, module and message.
fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> IoResult<()> {
    let (level, module) = (record.level(), record.module_path().unwrap_or("-"));
    write!(out, "{} {level} {module}: {}", now.now_utc_owned().format("%FT%T%.3fZ"), record.args())
}
