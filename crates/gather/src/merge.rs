//! The greatest records of several parts.

use bytes::{Bytes, BytesMut};

/// Size of one record.
pub const RECORD_BYTES: usize = 16;

/// Returns the `most` greatest records of `parts`, greatest first, compared byte by byte.
///
/// Equal records all count. What is left at the end of a part and shorter than a record is ignored.
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a [u8]>, most: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.into_iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if most == 0 {
        return Bytes::new();
    }
    let falling = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if records.len() > most {
        records.select_nth_unstable_by(most - 1, falling);
        records.truncate(most);
    }
    records.sort_unstable_by(falling);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
