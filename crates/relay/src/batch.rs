//! What a relay returns.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};

use crate::error::{Code, Result};

/// How the sending for one part ended at the relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The upstream answered; its records are among those of the batch.
    Answered {
        /// The upstream's signature of its answer.
        stamp: Box<str>,
        /// Running and waiting requests that the upstream reported.
        load: Option<(u32, u32)>,
        /// Time from sending to the last byte.
        time: Duration,
    },
    /// The upstream said that it has not run the request.
    Refused {
        /// Whether another upstream has the address.
        replaced: bool,
    },
    /// The relay has sent nothing.
    Unsent,
    /// The sending ended without a usable answer; the request may have run.
    Failed,
}

/// Some parts, whose records belong together: they count only with every answer of the batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Ends of sendings, by the part's place in the order.
    pub ends: Vec<(u16, End)>,
    /// The greatest records of all answers in `ends`, greatest first.
    pub records: Vec<u8>,
}

impl Batch {
    /// Encodes the batch; batches may follow one another without a separator.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a batch in memory is always encodable")
    }
}

/// Cuts a stream of bytes into batches.
#[derive(Debug, Default)]
pub struct Decoder {
    held: BytesMut,
}

impl Decoder {
    /// Takes the bytes that came next.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns the next batch once it is whole.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no batch.
    pub fn take(&mut self) -> Result<Option<Batch>> {
        if self.held.is_empty() {
            return Ok(None);
        }
        match postcard::take_from_bytes(&self.held) {
            Ok((batch, rest)) => {
                let used = self.held.len() - rest.len();
                self.held.advance(used);
                Ok(Some(batch))
            }
            Err(postcard::Error::DeserializeUnexpectedEnd) => Ok(None),
            Err(error) => Err(Code::Batch(error).into()),
        }
    }
}
