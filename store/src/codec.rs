//! Values as they stand in the store: a schema version, a checksum, and what `postcard` makes of the value. What is
//! cut, garbled or of another version is no value; it is counted and never used.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// The version that this program writes, and the only one that it reads.
pub const SCHEMA: u8 = 1;
/// Bytes of a value at most: a result of 48,000 bytes of text and what stands around its cells.
pub const VALUE_MOST: usize = 64 * 1024;
const HEAD: usize = 5;

/// Why bytes are no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadValue {
    /// Larger than any value, or shorter.
    Size,
    /// Of a version that this program does not know.
    Schema(u8),
    /// The checksum does not fit, or what it covers is something else.
    Garbled,
}

impl fmt::Display for BadValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size => write!(f, "of no value's size"),
            Self::Schema(version) => write!(f, "of unknown schema version {version}"),
            Self::Garbled => write!(f, "garbled"),
        }
    }
}

impl std::error::Error for BadValue {}

/// The bytes of a value; none where they would be too many.
pub fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(value).ok()?;
    if body.len() > VALUE_MOST - HEAD {
        return None;
    }
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.push(SCHEMA);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// The value of these bytes.
///
/// # Errors
/// Says why they are none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BadValue> {
    let (Some((&version, rest)), true) = (bytes.split_first(), bytes.len() <= VALUE_MOST) else {
        return Err(BadValue::Size);
    };
    if version != SCHEMA {
        return Err(BadValue::Schema(version));
    }
    let (sum, body) = rest.split_first_chunk::<4>().ok_or(BadValue::Size)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return Err(BadValue::Garbled);
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(BadValue::Garbled),
    }
}

#[cfg(test)]
mod tests;
