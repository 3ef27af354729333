//! The operators' words as they are kept for the next process: lines of text, the first with the version, the last
//! with a count and a checksum. What is cut, garbled or of another version is no record.

use crate::hand::{Hand, Said, Word};
use std::fmt::{self, Write};

const HEAD: &str = "reedwalk words";
const VERSION: u32 = 1;
/// A record holds so many bytes at most: the words that may be kept, with ids as long as a call has room for.
pub const RECORD_MOST: usize = 256 * 1024;

/// Why bytes are no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadRecord {
    /// Larger than any record.
    TooLarge,
    /// It does not begin as one, or is cut.
    NotWhole,
    /// Of a version that this program does not know.
    Version,
    /// The checksum does not fit.
    Garbled,
}

impl fmt::Display for BadRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "larger than any record",
            Self::NotWhole => "not a whole record",
            Self::Version => "of an unknown version",
            Self::Garbled => "garbled: its checksum does not fit",
        })
    }
}

impl std::error::Error for BadRecord {}

/// The record of these words.
pub fn write(hand: &Hand) -> Vec<u8> {
    let mut text = format!("{HEAD} {VERSION}\n");
    let mut count = 0;
    for (engine, said) in hand.words() {
        let word = if said.word == Word::Out { "out" } else { "back" };
        let _ = writeln!(text, "{word} {} {engine}", said.at);
        count += 1;
    }
    let sum = crc32fast::hash(text.as_bytes());
    let _ = writeln!(text, "end {count} {sum:08x}");
    text.into_bytes()
}

/// The words of a record.
///
/// # Errors
/// Says why it is none; nothing of it is used then.
pub fn read(bytes: &[u8]) -> Result<Hand, BadRecord> {
    if bytes.len() > RECORD_MOST {
        return Err(BadRecord::TooLarge);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| BadRecord::Garbled)?;
    let version = text.strip_prefix(HEAD).and_then(|t| t.split('\n').next()).ok_or(BadRecord::NotWhole)?;
    if version.trim() != VERSION.to_string() {
        return Err(BadRecord::Version);
    }
    let body = text.strip_suffix('\n').ok_or(BadRecord::NotWhole)?;
    let (lines, last) = body.rsplit_once('\n').ok_or(BadRecord::NotWhole)?;
    let end = last.strip_prefix("end ").and_then(|e| e.split_once(' ')).ok_or(BadRecord::NotWhole)?;
    let sum = u32::from_str_radix(end.1, 16).map_err(|_| BadRecord::Garbled)?;
    if crc32fast::hash(&text.as_bytes()[..=lines.len()]) != sum {
        return Err(BadRecord::Garbled);
    }
    let mut hand = Hand::default();
    let mut count = 0;
    for line in lines.lines().skip(1) {
        let mut words = line.splitn(3, ' ');
        let (Some(word), Some(at), Some(engine)) = (words.next(), words.next(), words.next()) else {
            return Err(BadRecord::Garbled);
        };
        let word = match word {
            "out" => Word::Out,
            "back" => Word::Back,
            _ => return Err(BadRecord::Garbled),
        };
        hand.put(engine.to_owned(), Said { at: at.parse().map_err(|_| BadRecord::Garbled)?, word });
        count += 1;
    }
    if end.0.parse() != Ok(count) { Err(BadRecord::Garbled) } else { Ok(hand) }
}

#[cfg(test)]
mod tests;
