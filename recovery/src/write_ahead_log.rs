//! The write-ahead log between two snapshots, which records keyed requests before they are sent. Each entry has a
//! length and a checksum. Replay stops at the first torn or corrupted entry, because nothing after it was
//! acknowledged.

use crate::snapshot::KeyRecord;
use crate::snapshot_codec::SnapshotOwner;

/// Maximum size of an entry's content, in bytes; a [`KeyRecord`] takes at most 32.
const MAX_ENTRY_BYTES: usize = 64;
/// Size of an entry header in bytes: 1 for the length and 4 for the checksum.
const ENTRY_HEADER_BYTES: usize = 5;
/// Maximum size of a log, in bytes. A full log accepts no more entries until a snapshot starts a new one.
pub const MAX_LOG_BYTES: usize = 1024 * 1024;
/// Log size at which a snapshot is due, in bytes. The other half is left for entries that arrive before it is written.
pub const SNAPSHOT_DUE_LOG_BYTES: usize = MAX_LOG_BYTES / 2;

/// The result of reading a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replay {
    /// The entries before the first torn or corrupted one.
    pub entries: Vec<KeyRecord>,
    /// Size of these entries in bytes; anything after them is ignored.
    pub valid_bytes: usize,
}

/// Initial value of the entry checksums. It binds a log to its owner and generation, so that entries left over from
/// the log of another owner or generation are rejected.
fn checksum_seed(owner: SnapshotOwner, generation: u64) -> u32 {
    let fields = [owner.host, owner.gateway, owner.settings, generation];
    fields.iter().fold(0, |crc, field| crc32c::crc32c_append(crc, &field.to_le_bytes()))
}

/// Encodes an entry for the log of this owner and generation.
pub fn encode_entry(owner: SnapshotOwner, generation: u64, key: &KeyRecord) -> Vec<u8> {
    let content = postcard::to_allocvec(key).unwrap_or_default();
    let mut bytes = vec![content.len() as u8];
    let checksum = crc32c::crc32c_append(checksum_seed(owner, generation), &content);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes
}

/// Reads the entries of a log up to the first one that is torn, corrupted, or of another owner or generation.
pub fn replay(owner: SnapshotOwner, generation: u64, bytes: &[u8]) -> Replay {
    let mut entries = Vec::new();
    let mut valid_bytes = 0;
    let bytes = &bytes[..bytes.len().min(MAX_LOG_BYTES)];
    while let Some((header, rest)) = bytes[valid_bytes..].split_at_checked(ENTRY_HEADER_BYTES) {
        let length = usize::from(header[0]);
        let checksum = u32::from_le_bytes([header[1], header[2], header[3], header[4]]);
        let Some(content) = rest.get(..length).filter(|_| length <= MAX_ENTRY_BYTES) else { break };
        if crc32c::crc32c_append(checksum_seed(owner, generation), content) != checksum {
            break;
        }
        let Ok((entry, [])) = postcard::take_from_bytes(content) else { break };
        entries.push(entry);
        valid_bytes += ENTRY_HEADER_BYTES + length;
    }
    Replay { entries, valid_bytes }
}

#[cfg(test)]
mod tests;
