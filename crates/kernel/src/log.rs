//! Logging. Log lines report decisions and changes of state; all else is counted in metrics.

use std::io::{Error as IoError, Result as IoResult, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error as FieldError, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

use crate::error::{Code, Result};

/// Maximum number of lines that wait for standard output: about one second of logging at the
/// highest rate.
const MAX_QUEUED_LINES: usize = 512;

/// Starts logging plain lines to standard error at `level`, such as `info` or `info,egress=debug`.
///
/// Tracing spans are logged at level `debug`. Logging ends when the handle is dropped.
///
/// # Errors
///
/// Fails if the level is invalid or a logger is already installed.
pub fn start_log(level: &str) -> Result<LoggerHandle> {
    let fail = |error| Code::Log(level.into(), error);
    let logger = Logger::try_with_str(level).map_err(fail)?;
    Ok(logger.format(line).start().map_err(fail)?)
}

/// Starts logging JSON lines to standard output, without ever blocking the caller.
///
/// A separate thread writes the lines. While its queue is full, new lines are dropped; the next
/// line that is queued carries the number of dropped lines in the field `dropped_lines`.
///
/// # Errors
///
/// Fails in the cases of [`start_log`], and if the thread cannot be started.
pub fn start_json_log(level: &str) -> Result<LoggerHandle> {
    let fail = |error| Code::Log(level.into(), error);
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let thread = std::thread::Builder::new().name("log".into());
    thread.spawn(move || write_lines(&queue)).map_err(|error| Code::Thread("log".into(), error))?;
    let writer = Box::new(JsonWriter { lines, dropped: AtomicU64::new(0) });
    let logger = Logger::try_with_str(level).map_err(fail)?;
    Ok(logger.log_to_writer(writer).start().map_err(fail)?)
}

/// Writes one line: time, level, module and message.
fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> IoResult<()> {
    let (level, module) = (record.level(), record.module_path().unwrap_or("-"));
    write!(out, "{} {level} {module}: {}", now.now_utc_owned().format("%FT%T%.3fZ"), record.args())
}

/// Writes queued lines until the process ends.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    for line in queue {
        // If standard output fails, there is nowhere to report the error.
        let _ = out.write_all(&line).and_then(|()| out.flush());
    }
}

struct JsonWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl LogWriter for JsonWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> IoResult<()> {
        let mut fields = Fields(Map::new());
        let time = now.now_utc_owned().format("%FT%T%.3fZ").to_string();
        fields.0.insert("time".into(), time.into());
        fields.0.insert("level".into(), record.level().as_str().into());
        fields.0.insert("module".into(), record.module_path().unwrap_or("-").into());
        fields.0.insert("event".into(), record.args().to_string().into());
        record.key_values().visit(&mut fields).map_err(IoError::other)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.0.insert("dropped_lines".into(), dropped.into());
        }
        let mut line = Json::Object(fields.0).to_string().into_bytes();
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> IoResult<()> {
        Ok(())
    }
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), FieldError> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().into(), json);
        Ok(())
    }
}
