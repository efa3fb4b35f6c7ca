//! Logs: lines for decisions and changes of state; counters tell the rest.

use std::io::{Error as IoError, Result as IoResult, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error as FieldError, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

use crate::error::{Code, Result};

/// Lines that may wait for standard output; about a second of the busiest logging.
const MOST_WAITING: usize = 512;

/// Starts logging plain lines to standard error at `level`, such as `info` or `info,egress=debug`.
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

/// Starts logging JSON lines to standard output, without ever waiting for it.
///
/// A thread of its own writes the lines. When they come faster than standard output takes them,
/// they are dropped, and the next line that is written carries their number in `dropped_lines`.
///
/// # Errors
///
/// Fails as [`start_log`] does, and when no thread can be started.
pub fn start_json_log(level: &str) -> Result<LoggerHandle> {
    let fail = |error| Code::Log(level.into(), error);
    let (lines, queue) = sync_channel(MOST_WAITING);
    let thread = std::thread::Builder::new().name("log".into());
    thread.spawn(move || drain(&queue)).map_err(|error| Code::Thread("log".into(), error))?;
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
fn drain(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    for line in queue {
        // Without standard output there is nowhere left to tell of the error.
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
