//! Text format of the stored record of operators' overrides. The first line holds the version, the last the number of
//! overrides and a CRC-32 checksum. A record that is truncated, corrupted or of another version is rejected as a whole.

use crate::overrides::{Override, Overrides, TimedOverride};
use std::fmt::{self, Write};

/// Start of the first line, before the version.
const HEADER: &str = "reedwalk words";
/// Format version; records of other versions are rejected.
const VERSION: u32 = 1;
/// First word of a line for an engine that is taken out.
const OUT: &str = "out";
/// First word of a line for an engine that was returned.
const RETURNED: &str = "back";
/// Start of the last line, before the count and the checksum.
const TRAILER: &str = "end ";
/// Maximum size of a record, which fits all overrides that may be stored, with ids as long as a console call can carry.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Why bytes were rejected as a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideRecordError {
    /// Larger than [`MAX_RECORD_BYTES`].
    TooLarge,
    /// The header or the trailer is missing: the record was truncated, or the bytes are of another format.
    Incomplete,
    /// The format version is not supported.
    UnknownVersion,
    /// The checksum or the number of overrides does not match, or a line cannot be parsed.
    Corrupted,
}

impl fmt::Display for OverrideRecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "larger than the maximum size of a record",
            Self::Incomplete => "incomplete: the header or the last line is missing",
            Self::UnknownVersion => "unsupported format version",
            Self::Corrupted => "corrupted: the checksum or the count does not match, or a line is malformed",
        })
    }
}

impl std::error::Error for OverrideRecordError {}

/// Encodes overrides as a record.
pub fn encode_record(overrides: &Overrides) -> Vec<u8> {
    let mut text = format!("{HEADER} {VERSION}\n");
    let mut count = 0;
    for (engine, timed) in overrides.iter() {
        let value = match timed.value {
            Override::Out => OUT,
            Override::Returned => RETURNED,
        };
        let _ = writeln!(text, "{value} {} {engine}", timed.at);
        count += 1;
    }
    let checksum = crc32fast::hash(text.as_bytes());
    let _ = writeln!(text, "{TRAILER}{count} {checksum:08x}");
    text.into_bytes()
}

/// Decodes the overrides of a record.
///
/// # Errors
/// Returns the reason if the bytes are not a valid record; no part of them is used then.
pub fn decode_record(bytes: &[u8]) -> Result<Overrides, OverrideRecordError> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(OverrideRecordError::TooLarge);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| OverrideRecordError::Corrupted)?;
    check_version(text)?;
    let body = text.strip_suffix('\n').ok_or(OverrideRecordError::Incomplete)?;
    let (lines, last_line) = body.rsplit_once('\n').ok_or(OverrideRecordError::Incomplete)?;
    let trailer = last_line.strip_prefix(TRAILER).and_then(|trailer| trailer.split_once(' '));
    let (count, checksum) = trailer.ok_or(OverrideRecordError::Incomplete)?;
    let checksum = u32::from_str_radix(checksum, 16).map_err(|_| OverrideRecordError::Corrupted)?;
    // The checksum covers all lines before the last, including their line feeds.
    let checked_bytes = &text.as_bytes()[..=lines.len()];
    if crc32fast::hash(checked_bytes) != checksum {
        return Err(OverrideRecordError::Corrupted);
    }
    let mut overrides = Overrides::default();
    let mut count_read = 0;
    for line in lines.lines().skip(1) {
        let (engine, timed) = parse_line(line).ok_or(OverrideRecordError::Corrupted)?;
        overrides.insert(engine, timed);
        count_read += 1;
    }
    if count.parse() == Ok(count_read) { Ok(overrides) } else { Err(OverrideRecordError::Corrupted) }
}

/// Checks the header and the version in the first line.
fn check_version(text: &str) -> Result<(), OverrideRecordError> {
    let rest = text.strip_prefix(HEADER).ok_or(OverrideRecordError::Incomplete)?;
    let version = rest.split('\n').next().unwrap_or_default();
    if version.trim() == VERSION.to_string() { Ok(()) } else { Err(OverrideRecordError::UnknownVersion) }
}

/// Parses a line into the engine's id and its override.
fn parse_line(line: &str) -> Option<(String, TimedOverride)> {
    let mut fields = line.splitn(3, ' ');
    let (value, at, engine) = (fields.next()?, fields.next()?, fields.next()?);
    let value = match value {
        OUT => Override::Out,
        RETURNED => Override::Returned,
        _ => return None,
    };
    let at = at.parse().ok()?;
    Some((engine.to_owned(), TimedOverride { at, value }))
}

#[cfg(test)]
mod tests;
