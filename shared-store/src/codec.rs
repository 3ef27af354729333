//! Encoding of values in the shared store: a schema version, a CRC-32 checksum and the value as `postcard`. Truncated
//! or corrupted values and values of another schema version fail to decode; callers count them and never use them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Schema version that is written, and the only one that can be read.
pub const SCHEMA_VERSION: u8 = 1;
/// Maximum size of an encoded value in bytes: room for a result of 48,000 bytes of text and the lengths of its cells.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Size of the header in bytes: 1 for the schema version, 4 for the checksum.
const HEADER_BYTES: usize = 5;

/// Why a value could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The value is too large, or shorter than the header.
    InvalidSize,
    /// The schema version is not supported.
    UnknownVersion(u8),
    /// The checksum does not match, or the content does not decode to the expected type.
    Corrupted,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidSize => write!(f, "value is too large or too short"),
            Self::UnknownVersion(version) => write!(f, "unknown schema version {version}"),
            Self::Corrupted => write!(f, "value is corrupted or of another type"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a value. Returns `None` if the encoded value would exceed [`MAX_VALUE_BYTES`].
pub fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(value).ok()?;
    if body.len() > MAX_VALUE_BYTES - HEADER_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(SCHEMA_VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// Decodes a value.
///
/// # Errors
/// Returns a [`DecodeError`] if the size, schema version, checksum or content is not valid.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(DecodeError::InvalidSize);
    }
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::InvalidSize)?;
    if version != SCHEMA_VERSION {
        return Err(DecodeError::UnknownVersion(version));
    }
    let (checksum, body) = rest.split_first_chunk::<4>().ok_or(DecodeError::InvalidSize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(DecodeError::Corrupted);
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(DecodeError::Corrupted),
    }
}

#[cfg(test)]
mod tests;
