//! Requests to a relay.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::error::{Code, Error};

/// Name of the header that carries a relay request, next to the caller's own headers.
pub const REQUEST_HEADER: &str = "pistachio-parts";

/// A relay request: one attempt at each of several upstreams.
///
/// The header value is `FLUSH-MS;MAX-RECORDS;ID,ID,...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Flush timeout: maximum time for which the relay buffers answers before it sends a batch,
    /// from when it has received the request. Later answers are sent at once.
    pub flush: Duration,
    /// Maximum number of records in a batch.
    pub max_records: usize,
    /// Ids of the upstreams; a part is identified by its index in this list.
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
        let max_records =
            field("max_records")?.parse().map_err(|_| Code::Request("max_records"))?;
        let ids = field("upstreams")?;
        if ids.split(',').any(str::is_empty) {
            return Err(Code::Request("upstreams").into());
        }
        let upstreams = ids.split(',').map(Into::into).collect();
        Ok(Self { flush: Duration::from_millis(flush), max_records, upstreams })
    }
}
