//! Results as stored with an idempotency key in the shared store, encoded with `postcard`. The order of the fields is
//! part of the stored format.

use crate::message::Rows;
use bytes::Bytes;
use reedwalk_shared_store::codec::MAX_VALUE_BYTES;
use serde::{Deserialize, Serialize};

/// Maximum size of a stored result in bytes; the rest of the value is reserved for its header.
const MAX_PACKED_BYTES: usize = MAX_VALUE_BYTES - 64;

#[derive(Serialize, Deserialize)]
struct PackedRows {
    columns: usize,
    names: Vec<String>,
    cells: Vec<Option<Vec<u8>>>,
    changed: Option<i64>,
}

/// Encodes a result for the shared store; `None` if it is too large.
pub(super) fn pack(rows: &Rows) -> Option<Vec<u8>> {
    let size: usize = rows.cells.iter().flatten().map(Bytes::len).sum();
    if size > MAX_PACKED_BYTES {
        return None;
    }
    let packed = PackedRows {
        columns: rows.columns,
        names: rows.names.clone(),
        cells: rows.cells.iter().map(|cell| cell.as_ref().map(|bytes| bytes.to_vec())).collect(),
        changed: rows.changed,
    };
    let bytes = postcard::to_allocvec(&packed).ok()?;
    (bytes.len() <= MAX_PACKED_BYTES).then_some(bytes)
}

/// Decodes a stored result; `None` if the bytes are not a valid encoding.
pub(super) fn unpack(bytes: &[u8]) -> Option<Rows> {
    let packed: PackedRows = postcard::from_bytes(bytes).ok()?;
    let cells = packed.cells.into_iter().map(|cell| cell.map(Bytes::from)).collect();
    Some(Rows {
        columns: packed.columns,
        names: packed.names,
        cells,
        changed: packed.changed,
        ..Rows::default()
    })
}

#[cfg(test)]
mod tests;
