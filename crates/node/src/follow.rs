//! Protocol with which a host follows another host's copy of the store instead of the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use feed::{Batch, Error, Position, Revision};
use hyper::header::HeaderMap;
use quarantine::Strike;
use serde::{Deserialize, Serialize};

/// Path of followers' requests.
pub const PATH: &str = "/feed";

/// Header of a follower's request with the follower's name. Hosts of earlier versions ignore it.
const NAME_HEADER: &str = "pistachio-host";

/// Header of a follower's request with the follower's entry.
const ENTRY_HEADER: &str = "pistachio-entry";

/// Path of reports of crashes by hosts that cannot write to the store.
pub const CRASHES_PATH: &str = "/crashes";

/// Time limit for a report to another host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Added to the wait time of a request to get its timeout, for network delay and slow processors.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(350);

/// Response to a follower: the changes, and how current the host's copy is.
#[derive(Debug, Serialize, Deserialize)]
pub struct Update {
    /// Time since the host's last contact with the store, directly or through other hosts, in
    /// milliseconds.
    pub age_ms: u64,
    /// Time left of the host's grace period, in which entries whose leases expired stay in the view
    /// so that their owners can register again, in milliseconds.
    #[serde(rename = "settling_ms")]
    pub grace_ms: u64,
    /// Whether the host keeps the follower's entry in the store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cover: Option<Cover>,
    /// Changes after the revision of the request.
    pub batch: Batch,
}

/// How long a follower's entry in the store is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cover {
    /// Time for which the lease is known to last, in milliseconds.
    pub remaining_ms: u64,
    /// Revision with which the entry was written.
    pub revision: Revision,
}

/// A follower's entry, which the host that it follows writes to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the follower.
    pub name: Box<str>,
    /// Value of the entry.
    pub value: Box<str>,
}

/// Request of a follower.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// Position of the follower's copy. Hosts of earlier versions do not state the era.
    pub after: Position,
    /// Time for which the host may wait for changes before it responds.
    pub wait: Duration,
}

/// Parses the query string of a follower's request; returns `None` if a field is missing or
/// invalid.
pub fn parse_request(query: Option<&str>) -> Option<Request> {
    let wait = Duration::from_millis(number(query, "wait_ms")?);
    let era = number(query, "era").unwrap_or(0);
    Some(Request { after: Position { era, revision: number(query, "after")? }, wait })
}

/// Returns the entry in a follower's request, or `None` if there is none.
pub fn entry(headers: &HeaderMap) -> Option<Entry> {
    let text = |name| headers.get(name)?.to_str().ok();
    Some(Entry { name: text(NAME_HEADER)?.into(), value: text(ENTRY_HEADER)?.into() })
}

/// Fetches changes from a host.
///
/// # Errors
///
/// Returns an error when the host does not respond in time, responds with a status other than
/// success, or responds in an unknown format.
pub async fn fetch(
    http: &reqwest::Client,
    address: SocketAddr,
    request: &Request,
    entry: Option<&Entry>,
) -> feed::Result<Update> {
    let Request { after, wait } = request;
    let wait_ms = wait.as_millis();
    let Position { era, revision } = after;
    let url = format!("http://{address}{PATH}?era={era}&after={revision}&wait_ms={wait_ms}");
    let mut call = http.get(url).timeout(*wait + TIMEOUT_MARGIN);
    if let Some(Entry { name, value }) = entry {
        call = call.header(NAME_HEADER, &**name).header(ENTRY_HEADER, &**value);
    }
    let response = call.send().await.map_err(Error::unavailable)?;
    if !response.status().is_success() {
        return Err(Error::refused(response.status().as_u16()));
    }
    let body = response.bytes().await.map_err(Error::unavailable)?;
    serde_json::from_slice(&body).map_err(Error::malformed)
}

/// Reports a crash to a host, which writes it to the store.
///
/// # Errors
///
/// Returns an error when the host does not respond in time, or with a status other than success.
pub async fn report(
    http: &reqwest::Client,
    address: SocketAddr,
    strike: &Strike,
) -> feed::Result<()> {
    let Strike { request, attempt, crashes } = strike;
    let query = format!("request={request}&attempt={attempt}&crashes={crashes}");
    let call = http.post(format!("http://{address}{CRASHES_PATH}?{query}"));
    let response = call.timeout(REPORT_TIMEOUT).send().await.map_err(Error::unavailable)?;
    if !response.status().is_success() {
        return Err(Error::refused(response.status().as_u16()));
    }
    Ok(())
}

/// Parses the query string of a report; returns `None` if a field is missing or invalid.
pub fn parse_report(query: Option<&str>) -> Option<Strike> {
    Some(Strike {
        request: number(query, "request")?,
        attempt: number(query, "attempt")?,
        crashes: number(query, "crashes")?.try_into().ok()?,
    })
}

/// Returns the number with the given name in a query string.
fn number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
