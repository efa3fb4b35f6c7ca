//! Client of the hosting platform: its key-value store with compare-and-swap and watches, and its
//! list of hosts.
//!
//! Egresses and the command-line tools use this crate; `pistachio-node` reads another key-value
//! store, through the crate `platform`. The hosting platform speaks JSON over HTTP;
//! `docs/operations/platform.md` lists the calls. When the response to a write is lost, the error
//! is [`Error::is_unknown`], and only a read of the key tells whether the write took effect.

mod error;

use std::time::Duration;

use route::Hosts;
use serde::{Deserialize, Serialize};

use crate::error::Code;
pub use crate::error::{Error, Result};

/// Key that holds the configuration.
pub const CONFIG_KEY: &str = "pistachio-config";

/// Returns the key that holds the roster of a cell.
pub fn roster_key(cell: &str) -> String {
    format!("pistachio-roster-{cell}")
}

/// Timeout of a call. A healthy platform answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the platform holds a watch open while the key does not change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// A value with its revision in the key-value store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Revision, which grows with each write of the key; 0 if there is no value.
    pub revision: u64,
    /// The value; empty if there is none.
    pub value: Box<str>,
}

/// A compare-and-swap write, conditional on the revision that the writer has read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swap {
    /// Revision that the key must still have; 0 if it must have no value.
    pub expect: u64,
    /// New value.
    pub value: Box<str>,
    /// Time in milliseconds after which the value expires; `None` for a value that is no lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
}

/// HTTP client of one platform.
#[derive(Clone, Debug)]
pub struct Client {
    base: Box<str>,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client of the platform at `address`, given as `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be built.
    pub fn new(address: &str) -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(Code::Setup)?;
        Ok(Self { base: format!("http://{address}").into(), http })
    }

    /// Returns the current value of a key.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, refuses the call or sends a malformed answer.
    pub async fn get(&self, key: &str) -> Result<Versioned> {
        self.read(format!("{}/v1/kv/{key}", self.base), CALL_TIMEOUT).await
    }

    /// Returns the value of a key once its revision is newer than `seen`, or the unchanged value
    /// after 20 s.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, refuses the call or sends a malformed answer.
    pub async fn watch(&self, key: &str, seen: u64) -> Result<Versioned> {
        let millis = WATCH_TIMEOUT.as_millis();
        let url = format!("{}/v1/kv/{key}?after={seen}&wait_ms={millis}", self.base);
        self.read(url, WATCH_TIMEOUT + CALL_TIMEOUT).await
    }

    /// Writes a key if it still has the expected revision. Returns the new revision, or `None` if
    /// another writer has changed the key.
    ///
    /// # Errors
    ///
    /// Fails when the write did not take effect, and with [`Error::is_unknown`] when the answer was
    /// lost or unexpected and the write may have taken effect.
    pub async fn swap(&self, key: &str, swap: &Swap) -> Result<Option<u64>> {
        let call = self.http.put(format!("{}/v1/kv/{key}", self.base)).json(swap);
        let response = call.timeout(CALL_TIMEOUT).send().await.map_err(|error| {
            if error.is_connect() { Code::Unavailable(error) } else { Code::Unknown(error) }
        })?;
        match response.status().as_u16() {
            200 => {
                let written: Versioned = response.json().await.map_err(Code::Unknown)?;
                Ok(Some(written.revision))
            }
            409 => Ok(None),
            503 => Err(Code::Refused(503).into()),
            status => Err(Code::Status(status).into()),
        }
    }

    /// Returns the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, refuses the call or sends a malformed answer.
    pub async fn hosts(&self) -> Result<Hosts> {
        self.read(format!("{}/v1/hosts", self.base), CALL_TIMEOUT).await
    }

    async fn read<T: for<'a> Deserialize<'a>>(&self, url: String, timeout: Duration) -> Result<T> {
        let response =
            self.http.get(url).timeout(timeout).send().await.map_err(Code::Unavailable)?;
        match response.status().as_u16() {
            200 => Ok(response.json().await.map_err(Code::Unavailable)?),
            status => Err(Code::Refused(status).into()),
        }
    }
}
