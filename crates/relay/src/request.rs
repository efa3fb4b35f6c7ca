//! What a relay is asked to do.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::error::{Code, Error};

/// Header that carries an order beside the caller's own headers.
pub const REQUEST_HEADER: &str = "pistachio-parts";

/// An order: one sending to each of some upstreams.
///
/// Its text is `FLUSH-MS;MOST;ID,ID,...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Time after which the relay returns what it has, rather than wait for all parts.
    pub flush: Duration,
    /// Most records in a batch.
    pub max_records: usize,
    /// Upstreams to ask; a part is named by its place in this list.
    pub upstreams: Vec<Box<str>>,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{};{}", self.flush.as_millis(), self.max_records, self.upstreams.join(","))
    }
}

impl FromStr for Request {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut fields = text.splitn(3, ';');
        let mut field = |name| fields.next().ok_or(Code::Request(name));
        let flush = field("flush")?.parse().map_err(|_| Code::Request("flush"))?;
        let max_records = field("most")?.parse().map_err(|_| Code::Request("most"))?;
        let ids = field("upstreams")?;
        if ids.split(',').any(str::is_empty) {
            return Err(Code::Request("upstreams").into());
        }
        let upstreams = ids.split(',').map(Into::into).collect();
        Ok(Self { flush: Duration::from_millis(flush), max_records, upstreams })
    }
}
