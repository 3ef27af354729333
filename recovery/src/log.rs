//! What must not be lost between two records: keyed requests, each written before it is sent. Entries stand one behind
//! the other, each with its length and checksum; reading ends at the first that is not whole, since nothing behind it
//! was promised to anybody.

use crate::memory::KeyMemory;
use crate::record::Owner;

/// Bytes of an entry's content at most.
const ENTRY_MOST: usize = 64;
/// Length, checksum.
const HEAD: usize = 5;
/// Bytes of a log at most; before that a record is written and the log begins anew.
pub const LOG_MOST: usize = 1024 * 1024;
/// From here on it is time for a record.
pub const LOG_FULL: usize = LOG_MOST / 2;

/// Bound to its owner and to the record whose log it is in: one that is left of another's or an earlier log is none.
fn begin(owner: Owner, generation: u64) -> u32 {
    let words = [owner.host, owner.front, owner.settings, generation];
    words.iter().fold(0, |sum, word| crc32c::crc32c_append(sum, &word.to_le_bytes()))
}

/// The bytes of an entry.
pub fn entry(owner: Owner, generation: u64, key: &KeyMemory) -> Vec<u8> {
    let content = postcard::to_allocvec(key).unwrap_or_default();
    let mut bytes = vec![content.len() as u8];
    let sum = crc32c::crc32c_append(begin(owner, generation), &content);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes
}

/// The entries of a log, and how many of its bytes they are; what comes behind those is torn.
pub fn read(owner: Owner, generation: u64, bytes: &[u8]) -> (Vec<KeyMemory>, usize) {
    let (mut found, mut at) = (Vec::new(), 0);
    let bytes = &bytes[..bytes.len().min(LOG_MOST)];
    while let Some((head, rest)) = bytes[at..].split_at_checked(HEAD) {
        let length = usize::from(head[0]);
        let sum = u32::from_le_bytes([head[1], head[2], head[3], head[4]]);
        let Some(content) = rest.get(..length).filter(|_| length <= ENTRY_MOST) else { break };
        if crc32c::crc32c_append(begin(owner, generation), content) != sum {
            break;
        }
        let Ok((key, [])) = postcard::take_from_bytes(content) else { break };
        found.push(key);
        at += HEAD + length;
    }
    (found, at)
}

#[cfg(test)]
mod tests;
