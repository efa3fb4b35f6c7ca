//! Protocol with which a host follows another host's copy of the store instead of the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use feed::{Batch, Error, Position};
use quarantine::Strike;
use serde::{Deserialize, Serialize};

/// Path of followers' requests.
pub const PATH: &str = "/feed";

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
    /// Changes after the revision of the request.
    pub batch: Batch,
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
) -> feed::Result<Update> {
    let Request { after, wait } = request;
    let wait_ms = wait.as_millis();
    let Position { era, revision } = after;
    let url = format!("http://{address}{PATH}?era={era}&after={revision}&wait_ms={wait_ms}");
    let call = http.get(url).timeout(*wait + TIMEOUT_MARGIN);
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
