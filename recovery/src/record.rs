//! A memory as bytes: a head that says whose it is, sections each with its length and checksum, an end that counts them.
//! What is cut, flipped, of another host, of another deployment or of a version that is not known is no record; nothing
//! of it is used, and nothing is guessed. A section of a kind that is not known is passed over, so that later versions
//! can keep more.

use crate::Millis;
use crate::memory::{ClassMemory, EngineMemory, KeyMemory, Memory};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

const MAGIC: &[u8; 8] = b"reedwalk";
/// The form of the record.
pub const VERSION: u16 = 1;
/// Bytes of a record at most.
pub const RECORD_MOST: usize = 8 * 1024 * 1024;
/// Magic, version.
const HEAD: usize = 10;
/// Kind, length, checksum.
const SECTION: usize = 9;
/// A record may be of a time ahead of our clock by this; beyond it one of the two clocks is wrong.
pub const AHEAD: Millis = 60_000;

/// Whose a record is: it is of no use elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Mark of the host.
    pub host: u64,
    /// Name of the front end, as a number.
    pub front: u64,
    /// Digest of the settings: classes, kinds, rules.
    pub settings: u64,
}

/// Why bytes are no record of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsound {
    /// Larger than any record.
    TooLarge,
    /// It does not begin as one.
    NoRecord,
    /// Of a version that this program does not know.
    Version(u16),
    /// It ends before its end.
    Cut,
    /// A checksum does not fit.
    Garbled,
    /// Kept on another host; the folder was copied.
    OtherHost,
    /// Kept by another front end.
    OtherFront,
    /// Kept under other settings.
    OtherSettings,
    /// Of a time that has not come yet.
    Future,
}

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "larger than any record"),
            Self::NoRecord => write!(f, "no record"),
            Self::Version(version) => write!(f, "of version {version}, which is not known here"),
            Self::Cut => write!(f, "cut"),
            Self::Garbled => write!(f, "garbled: a checksum does not fit"),
            Self::OtherHost => write!(f, "of another host"),
            Self::OtherFront => write!(f, "of another front end"),
            Self::OtherSettings => write!(f, "kept under other settings"),
            Self::Future => write!(f, "of a time that has not come yet"),
        }
    }
}

impl std::error::Error for Unsound {}

const ABOUT: u8 = 1;
const ENGINES: u8 = 2;
const CLASSES: u8 = 3;
const KEYS: u8 = 4;
const END: u8 = 0xff;

#[derive(Serialize, Deserialize)]
struct About {
    owner: Owner,
    generation: u64,
    written: Millis,
    serial: Option<u32>,
    living: u32,
}

fn section<T: Serialize>(bytes: &mut Vec<u8>, kind: u8, content: &T) {
    // Plain data on the heap: there is nothing that could fail.
    let content = postcard::to_allocvec(content).unwrap_or_default();
    let begin = bytes.len();
    bytes.push(kind);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes[begin..]), &content);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes.extend_from_slice(&content);
}

/// The record of a memory.
pub fn write(owner: Owner, generation: u64, memory: &Memory) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    let (written, serial, living) = (memory.written, memory.serial, memory.living);
    section(&mut bytes, ABOUT, &About { owner, generation, written, serial, living });
    section(&mut bytes, ENGINES, &memory.engines);
    section(&mut bytes, CLASSES, &memory.classes);
    section(&mut bytes, KEYS, &memory.keys);
    section(&mut bytes, END, &4u32);
    bytes
}

/// A sound record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Whose it is.
    pub owner: Owner,
    /// Which one of its owner's.
    pub generation: u64,
    /// What it holds.
    pub memory: Memory,
}

fn content<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Unsound> {
    match postcard::take_from_bytes(bytes) {
        Ok((content, [])) => Ok(content),
        _ => Err(Unsound::Garbled),
    }
}

/// What stands in a record, whoever it belongs to.
///
/// # Errors
/// Says why it is none.
pub fn read(bytes: &[u8]) -> Result<Record, Unsound> {
    if bytes.len() > RECORD_MOST {
        return Err(Unsound::TooLarge);
    }
    let Some((head, mut rest)) = bytes.split_at_checked(HEAD) else { return Err(Unsound::NoRecord) };
    if !head.starts_with(MAGIC) {
        return Err(Unsound::NoRecord);
    }
    let version = u16::from_le_bytes([head[8], head[9]]);
    if version != VERSION {
        return Err(Unsound::Version(version));
    }
    let (mut about, mut memory, mut count) = (None::<About>, Memory::default(), 0u32);
    loop {
        let (head, after) = rest.split_at_checked(SECTION).ok_or(Unsound::Cut)?;
        let length = u32::from_le_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let sum = u32::from_le_bytes([head[5], head[6], head[7], head[8]]);
        let (bytes, after) = after.split_at_checked(length).ok_or(Unsound::Cut)?;
        if crc32c::crc32c_append(crc32c::crc32c(&head[..5]), bytes) != sum {
            return Err(Unsound::Garbled);
        }
        match head[0] {
            ABOUT => about = Some(content(bytes)?),
            ENGINES => memory.engines = content::<Vec<EngineMemory>>(bytes)?,
            CLASSES => memory.classes = content::<Vec<ClassMemory>>(bytes)?,
            KEYS => memory.keys = content::<Vec<KeyMemory>>(bytes)?,
            END if content::<u32>(bytes)? == count && after.is_empty() => break,
            END => return Err(Unsound::Cut),
            _ => {}
        }
        count += 1;
        rest = after;
    }
    let about = about.ok_or(Unsound::Cut)?;
    (memory.written, memory.serial, memory.living) = (about.written, about.serial, about.living);
    Ok(Record { owner: about.owner, generation: about.generation, memory: memory.checked() })
}

/// Is a sound record ours, and of a time that has been?
///
/// # Errors
/// Says why not.
pub fn ours(record: Record, owner: Owner, now: Millis) -> Result<Record, Unsound> {
    let Owner { host, front, settings } = record.owner;
    let whose = [
        (host == owner.host, Unsound::OtherHost),
        (front == owner.front, Unsound::OtherFront),
        (settings == owner.settings, Unsound::OtherSettings),
        (record.memory.written <= now + AHEAD, Unsound::Future),
    ];
    whose.into_iter().find(|w| !w.0).map_or(Ok(record), |w| Err(w.1))
}
