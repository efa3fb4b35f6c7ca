//! Client of the platform: its KV with compare-and-swap and watches, and its list of hosts.
//!
//! The platform is met through HTTP and JSON; `docs/operations/platform.md` has the calls. An
//! answer that is lost leaves a write [`Error::is_unknown`], and the caller must read back.

mod error;

use std::time::Duration;

use route::Hosts;
use serde::{Deserialize, Serialize};

use crate::error::Code;
pub use crate::error::{Error, Result};

/// Key of the configuration.
pub const CONFIG_KEY: &str = "pistachio-config";

/// Returns the key of the roster of a cell.
pub fn roster_key(cell: &str) -> String {
    format!("pistachio-roster-{cell}")
}

/// Time that one call may take; the platform answers in milliseconds when it is well.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time that a watch waits at the platform for a change.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// A value with the revision that the KV gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Grows with each write of the key; 0 stands for no value.
    pub revision: u64,
    /// The value, empty for none.
    pub value: Box<str>,
}

/// A write over the revision that the writer has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swap {
    /// Revision that must still stand; 0 for no value.
    pub expect: u64,
    /// New value.
    pub value: Box<str>,
    /// Milliseconds after which the value lapses, for a lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
}

/// A client of one platform.
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
    /// Fails when the HTTP client cannot be set up.
    pub fn new(address: &str) -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(Code::Setup)?;
        Ok(Self { base: format!("http://{address}").into(), http })
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails when the platform is away or answers with something else.
    pub async fn get(&self, key: &str) -> Result<Versioned> {
        self.read(format!("{}/v1/kv/{key}", self.base), CALL_TIMEOUT).await
    }

    /// Waits until a key has a revision newer than `seen`, or for the time of a watch.
    ///
    /// # Errors
    ///
    /// Fails when the platform is away or answers with something else.
    pub async fn watch(&self, key: &str, seen: u64) -> Result<Versioned> {
        let millis = WATCH_TIME.as_millis();
        let url = format!("{}/v1/kv/{key}?after={seen}&wait_ms={millis}", self.base);
        self.read(url, WATCH_TIME + CALL_TIMEOUT).await
    }

    /// Writes a key over the revision that must still stand; returns the new revision, or `None`
    /// where another writer was first.
    ///
    /// # Errors
    ///
    /// Fails when the write is known not to have happened, and with [`Error::is_unknown`] when
    /// the answer was lost and it may have.
    pub async fn swap(&self, key: &str, swap: &Swap) -> Result<Option<u64>> {
        let call = self.http.put(format!("{}/v1/kv/{key}", self.base)).json(swap);
        let response = call.timeout(CALL_TIMEOUT).send().await.map_err(|error| {
            if error.is_connect() { Code::Away(error) } else { Code::Unknown(error) }
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

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails when the platform is away or answers with something else.
    pub async fn hosts(&self) -> Result<Hosts> {
        self.read(format!("{}/v1/hosts", self.base), CALL_TIMEOUT).await
    }

    async fn read<T: for<'a> Deserialize<'a>>(&self, url: String, time: Duration) -> Result<T> {
        let response = self.http.get(url).timeout(time).send().await.map_err(Code::Away)?;
        match response.status().as_u16() {
            200 => Ok(response.json().await.map_err(Code::Away)?),
            status => Err(Code::Refused(status).into()),
        }
    }
}
