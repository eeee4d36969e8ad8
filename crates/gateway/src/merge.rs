//! Merging of the records of several parts.

use bytes::Bytes;

/// Length of a record; a shorter remainder of a body is ignored.
const RECORD_BYTES: usize = 16;

/// Returns the greatest `records_count` records of all bodies, compared byte by byte, in descending
/// order.
pub fn greatest_records<'a>(bodies: impl Iterator<Item = &'a [u8]>, records_count: u32) -> Bytes {
    let records_count = usize::try_from(records_count).unwrap_or(usize::MAX);
    let mut records: Vec<&[u8]> = bodies
        .flat_map(|body| body.chunks_exact(RECORD_BYTES))
        .collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(records_count);
    Bytes::from(records.concat())
}
