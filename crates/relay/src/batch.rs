//! Batches of parts, the response body of a relay.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};

use crate::error::{Code, Result};

/// How the attempt for one part ended at the relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The upstream answered; its records are among those of the batch.
    Answered {
        /// The upstream's signature of its answer.
        stamp: Box<str>,
        /// Running and queued requests that the upstream reported.
        load: Option<(u32, u32)>,
        /// Time from sending the request to the last byte of the answer.
        time: Duration,
    },
    /// The upstream reported that it has not run the request.
    Refused {
        /// Whether another upstream has taken over the address.
        replaced: bool,
    },
    /// The relay sent nothing to the upstream. If the upstream itself is the reason, as when it has
    /// stated a rate limit, the [`Notices`](crate::Notices) of the response say so.
    Unsent,
    /// The attempt ended without a usable answer; the request may have run.
    Failed,
}

/// The ends of some parts with their merged records.
///
/// The records of the answers are merged and cannot be told apart, so a receiver that cannot use
/// one of the answers must discard the records of the whole batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Ends of attempts, each with the index of its part in [`Request::upstreams`].
    ///
    /// [`Request::upstreams`]: crate::Request::upstreams
    pub ends: Vec<(u16, End)>,
    /// The greatest records of all answers in `ends`, greatest first.
    pub records: Vec<u8>,
}

impl Batch {
    /// Encodes the batch. Encoded batches are self-delimiting and may follow one another.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a batch in memory is always encodable")
    }
}

/// Decodes a stream of bytes into batches.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next batch from the buffer, or returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes do not encode a batch.
    pub fn take(&mut self) -> Result<Option<Batch>> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        match postcard::take_from_bytes(&self.buffer) {
            Ok((batch, rest)) => {
                let used = self.buffer.len() - rest.len();
                self.buffer.advance(used);
                Ok(Some(batch))
            }
            Err(postcard::Error::DeserializeUnexpectedEnd) => Ok(None),
            Err(error) => Err(Code::Batch(error).into()),
        }
    }
}
