//! Memory for answers of upstreams that are not complete yet.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// Maximum size of one answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of all incomplete answers in bytes, apart from [`FREE_BYTES`] of each. It leaves
/// most of the memory of the smallest hosts, which have 160 MB, to other uses.
const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Size up to which an answer does not count towards the total in bytes, so that upstreams whose
/// answers do not end cannot prevent ordinary answers.
const FREE_BYTES: usize = 64 * 1024;

/// Account of the memory that the incomplete answers of all upstreams use.
#[derive(Default)]
pub struct Buffers {
    used: Cell<usize>,
}

impl Buffers {
    /// Creates an empty buffer for one answer.
    pub fn buffer(self: &Rc<Self>) -> Buffer {
        Buffer { buffers: Rc::clone(self), frames: Vec::new(), length: 0, counted: 0 }
    }
}

/// The received part of one answer; dropping it frees its memory.
pub struct Buffer {
    buffers: Rc<Buffers>,
    frames: Vec<Bytes>,
    length: usize,
    counted: usize,
}

impl Buffer {
    /// Appends received bytes. Returns false, and keeps nothing of them, if the answer or all
    /// answers together would become too large.
    pub fn push(&mut self, data: Bytes) -> bool {
        let length = self.length + data.len();
        let counted = length.saturating_sub(FREE_BYTES);
        let used = self.buffers.used.get() - self.counted + counted;
        if length > MAX_ANSWER_BYTES || used > MAX_TOTAL_BYTES && counted > 0 {
            return false;
        }
        self.buffers.used.set(used);
        (self.length, self.counted) = (length, counted);
        self.frames.push(data);
        true
    }

    /// Returns the complete answer. Most answers arrive in a single frame, which is not copied.
    pub fn into_bytes(mut self) -> Bytes {
        if self.frames.len() == 1 {
            return self.frames.remove(0);
        }
        let mut bytes = BytesMut::with_capacity(self.length);
        self.frames.iter().for_each(|frame| bytes.extend_from_slice(frame));
        bytes.freeze()
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.buffers.used.set(self.buffers.used.get() - self.counted);
    }
}
