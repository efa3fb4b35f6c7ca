//! Following another host's mirror instead of the store.

use std::net::SocketAddr;
use std::time::Duration;

use feed::{Batch, Error, Revision};
use serde::{Deserialize, Serialize};

/// Path at which a host answers followers.
pub const PATH: &str = "/feed";

/// Added to the time that a follower waits, for the way and for slow processors.
const MARGIN: Duration = Duration::from_millis(350);

/// What a host tells a follower.
#[derive(Debug, Serialize, Deserialize)]
pub struct News {
    /// Time since the host last heard the store, itself or through others, in milliseconds.
    pub age_ms: u64,
    /// Time for which the host still keeps entries that lapse, in milliseconds.
    pub settling_ms: u64,
    /// Changes after the revision that the follower named.
    pub batch: Batch,
}

/// What a follower asks.
#[derive(Debug, PartialEq, Eq)]
pub struct Question {
    /// Revision that the follower has.
    pub after: Revision,
    /// Time to wait for changes.
    pub wait: Duration,
}

/// Reads a follower's question from the query of its request.
pub fn question(query: Option<&str>) -> Option<Question> {
    let number = |name: &str| {
        let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    let wait = Duration::from_millis(number("wait_ms")?);
    Some(Question { after: number("after")?, wait })
}

/// Asks a host for changes.
///
/// # Errors
///
/// Fails when the host does not answer in time or in an unknown format.
pub async fn ask(
    http: &reqwest::Client,
    address: SocketAddr,
    question: &Question,
) -> feed::Result<News> {
    let Question { after, wait } = question;
    let wait_ms = wait.as_millis();
    let url = format!("http://{address}{PATH}?after={after}&wait_ms={wait_ms}");
    let call = http.get(url).timeout(*wait + MARGIN);
    let response = call.send().await.map_err(Error::unavailable)?;
    if !response.status().is_success() {
        return Err(Error::refused(response.status().as_u16()));
    }
    let body = response.bytes().await.map_err(Error::unavailable)?;
    serde_json::from_slice(&body).map_err(Error::unreadable)
}
