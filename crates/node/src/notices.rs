//! What a relay reports about upstreams in the headers of its response.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use relay::{LEAVING_HEADER, LIMITS_HEADER, PAUSES_HEADER, Value};

/// What a relay reports about the upstreams of a request, by the indices of its parts.
#[derive(Debug, Default)]
pub struct Notices {
    /// Rate limits of upstreams, in requests per second for all hosts together.
    pub limits: relay::Notices<f64>,
    /// Upstreams that are leaving, with the start of their process in Unix milliseconds.
    pub leaving: relay::Notices<u64>,
    /// Times for which upstreams want no more requests, in seconds.
    pub pauses: relay::Notices<f64>,
}

impl Notices {
    /// Reads the headers of a relay's response. Malformed ones are logged and ignored; `host` names
    /// the relay in the log.
    pub fn read(host: &str, headers: &HeaderMap) -> Self {
        Self {
            limits: read(host, headers, LIMITS_HEADER),
            leaving: read(host, headers, LEAVING_HEADER),
            pauses: read(host, headers, PAUSES_HEADER),
        }
    }

    /// Writes the headers; a header without values is left out.
    pub fn write(&self, headers: &mut HeaderMap) {
        write(headers, LIMITS_HEADER, &self.limits);
        write(headers, LEAVING_HEADER, &self.leaving);
        write(headers, PAUSES_HEADER, &self.pauses);
    }
}

fn read<T: Value>(host: &str, headers: &HeaderMap, name: &'static str) -> relay::Notices<T> {
    let Some(value) = headers.get(name) else { return relay::Notices::default() };
    let notices = value.to_str().ok().and_then(|text| text.parse().ok());
    if notices.is_none() {
        log::warn!(host, name; "relay sent a malformed header");
    }
    notices.unwrap_or_default()
}

fn write<T: Value>(headers: &mut HeaderMap, name: &'static str, notices: &relay::Notices<T>) {
    if !notices.values.is_empty() {
        let value = HeaderValue::try_from(notices.to_string());
        let value = value.expect("numbers are valid in a header");
        headers.insert(HeaderName::from_static(name), value);
    }
}
