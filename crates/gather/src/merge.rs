//! Merge of the records of several parts.

use bytes::{Bytes, BytesMut};

/// Length of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of `parts`, greatest first, compared byte by byte.
///
/// Duplicates are kept. An incomplete record at the end of a part is ignored.
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a [u8]>, limit: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.into_iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if limit == 0 {
        return Bytes::new();
    }
    let descending = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if records.len() > limit {
        records.select_nth_unstable_by(limit - 1, descending);
        records.truncate(limit);
    }
    records.sort_unstable_by(descending);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
