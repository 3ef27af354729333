//! Binary encoding of a snapshot: a header with the format version, sections that each have a length and a checksum,
//! and an end section with their number. The first section names the owner. A snapshot that is truncated, corrupted,
//! from another host or deployment, or of an unknown version is rejected as a whole. Sections of an unknown kind are
//! skipped, so that later versions can add new ones.

use crate::Millis;
use crate::snapshot::{ClassRecord, EngineRecord, KeyRecord, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Magic number at the start of a snapshot.
const MAGIC: &[u8; 8] = b"reedwalk";
/// Format version; snapshots of any other version are rejected.
pub const VERSION: u16 = 1;
/// Maximum size of a snapshot, in bytes: above what the limits of its parts add up to, and small enough to be read at
/// once.
pub const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;
/// Size of the header in bytes: 8 for the magic number and 2 for the version.
const HEADER_BYTES: usize = 10;
/// Size of a section header in bytes: 1 for the kind, 4 for the length and 4 for the checksum.
const SECTION_HEADER_BYTES: usize = 9;
/// How far a snapshot's timestamp may be ahead of the local clock; beyond this, one of the two clocks is wrong.
pub const MAX_CLOCK_SKEW: Millis = 60_000;

/// The owner of a snapshot. No other gateway may use it, even if it was given a copy of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotOwner {
    /// Hash that identifies the host.
    pub host: u64,
    /// Hash of the gateway's name.
    pub gateway: u64,
    /// Digest of the settings that the snapshot depends on.
    pub settings: u64,
}

/// Why a snapshot was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Larger than [`MAX_SNAPSHOT_BYTES`].
    TooLarge,
    /// The header or the magic number is missing.
    NotASnapshot,
    /// Of an unknown format version.
    UnknownVersion(u16),
    /// Sections or parts of them are missing.
    Truncated,
    /// A checksum, a field or the generation does not match.
    Corrupted,
    /// Written on another host, so the directory was copied.
    OtherHost,
    /// Written by another gateway.
    OtherGateway,
    /// Written with different settings.
    OtherSettings,
    /// The timestamp is ahead of the local clock by more than [`MAX_CLOCK_SKEW`].
    Future,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "exceeds the maximum size of a snapshot"),
            Self::NotASnapshot => write!(f, "not a snapshot"),
            Self::UnknownVersion(version) => write!(f, "of version {version}, which is not known here"),
            Self::Truncated => write!(f, "truncated"),
            Self::Corrupted => write!(f, "corrupted: a checksum or a field does not match"),
            Self::OtherHost => write!(f, "written on another host"),
            Self::OtherGateway => write!(f, "written by another gateway"),
            Self::OtherSettings => write!(f, "written with different settings"),
            Self::Future => write!(f, "timestamp is ahead of this host's clock"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// Kind of the section with [`SnapshotMetadata`].
const METADATA_SECTION: u8 = 1;
/// Kind of the section with the engine records.
const ENGINES_SECTION: u8 = 2;
/// Kind of the section with the class records.
const CLASSES_SECTION: u8 = 3;
/// Kind of the section with the key records.
const KEYS_SECTION: u8 = 4;
/// Kind of the last section, which holds the number of sections before it.
const END_SECTION: u8 = 0xff;
/// Number of sections before the end section.
const SECTION_COUNT: u32 = 4;

/// Owner, generation and time of a snapshot. Encoded by position.
#[derive(Serialize, Deserialize)]
struct SnapshotMetadata {
    owner: SnapshotOwner,
    generation: u64,
    written: Millis,
    serial: Option<u32>,
    live_gateways: u32,
}

/// Appends a section.
fn append_section<T: Serialize>(bytes: &mut Vec<u8>, kind: u8, content: &T) {
    // Serializing plain data into a Vec does not fail.
    let content = postcard::to_allocvec(content).unwrap_or_default();
    let begin = bytes.len();
    bytes.push(kind);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes[begin..]), &content);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&content);
}

/// Encodes a snapshot.
pub fn encode(owner: SnapshotOwner, generation: u64, snapshot: &Snapshot) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    let Snapshot { written, serial, live_gateways, .. } = *snapshot;
    append_section(
        &mut bytes,
        METADATA_SECTION,
        &SnapshotMetadata { owner, generation, written, serial, live_gateways },
    );
    append_section(&mut bytes, ENGINES_SECTION, &snapshot.engines);
    append_section(&mut bytes, CLASSES_SECTION, &snapshot.classes);
    append_section(&mut bytes, KEYS_SECTION, &snapshot.keys);
    append_section(&mut bytes, END_SECTION, &SECTION_COUNT);
    bytes
}

/// A decoded snapshot with its owner and generation.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredSnapshot {
    /// Owner of the snapshot.
    pub owner: SnapshotOwner,
    /// Generation number, which rises with each snapshot of the owner.
    pub generation: u64,
    /// Content of the snapshot.
    pub snapshot: Snapshot,
}

/// A section whose checksum has been verified.
struct Section<'a> {
    kind: u8,
    content: &'a [u8],
}

impl<'a> Section<'a> {
    /// Reads the first section of `bytes`; also returns the bytes after it.
    fn read(bytes: &'a [u8]) -> Result<(Self, &'a [u8]), SnapshotError> {
        let (header, rest) = bytes.split_at_checked(SECTION_HEADER_BYTES).ok_or(SnapshotError::Truncated)?;
        let length = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
        let checksum = u32::from_le_bytes([header[5], header[6], header[7], header[8]]);
        let (content, rest) = rest.split_at_checked(length).ok_or(SnapshotError::Truncated)?;
        // The checksum covers the kind and the length as well.
        if crc32c::crc32c_append(crc32c::crc32c(&header[..5]), content) != checksum {
            return Err(SnapshotError::Corrupted);
        }
        Ok((Self { kind: header[0], content }, rest))
    }

    fn decode<T: DeserializeOwned>(&self) -> Result<T, SnapshotError> {
        match postcard::take_from_bytes(self.content) {
            Ok((content, [])) => Ok(content),
            _ => Err(SnapshotError::Corrupted),
        }
    }
}

/// Checks the header and returns the bytes after it, which hold the sections.
fn check_header(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge);
    }
    let (header, sections) = bytes.split_at_checked(HEADER_BYTES).ok_or(SnapshotError::NotASnapshot)?;
    if !header.starts_with(MAGIC) {
        return Err(SnapshotError::NotASnapshot);
    }
    match u16::from_le_bytes([header[8], header[9]]) {
        VERSION => Ok(sections),
        version => Err(SnapshotError::UnknownVersion(version)),
    }
}

/// Decodes a snapshot, whoever its owner is.
///
/// # Errors
/// If any part of the bytes is invalid; no part of them is used then.
pub fn decode(bytes: &[u8]) -> Result<StoredSnapshot, SnapshotError> {
    let mut rest = check_header(bytes)?;
    let mut metadata = None::<SnapshotMetadata>;
    let mut snapshot = Snapshot::default();
    let mut sections_read = 0u32;
    loop {
        let (section, remainder) = Section::read(rest)?;
        match section.kind {
            METADATA_SECTION => metadata = Some(section.decode()?),
            ENGINES_SECTION => snapshot.engines = section.decode::<Vec<EngineRecord>>()?,
            CLASSES_SECTION => snapshot.classes = section.decode::<Vec<ClassRecord>>()?,
            KEYS_SECTION => snapshot.keys = section.decode::<Vec<KeyRecord>>()?,
            END_SECTION if section.decode::<u32>()? == sections_read && remainder.is_empty() => break,
            END_SECTION => return Err(SnapshotError::Truncated),
            // Added by a later version.
            _ => {}
        }
        sections_read += 1;
        rest = remainder;
    }
    let metadata = metadata.ok_or(SnapshotError::Truncated)?;
    snapshot.written = metadata.written;
    snapshot.serial = metadata.serial;
    snapshot.live_gateways = metadata.live_gateways;
    let snapshot = snapshot.sanitized();
    Ok(StoredSnapshot { owner: metadata.owner, generation: metadata.generation, snapshot })
}

/// Checks that a snapshot belongs to `owner` and that its timestamp is not in the future.
///
/// # Errors
/// If one of these checks fails.
pub fn check_owner(
    stored: StoredSnapshot,
    owner: SnapshotOwner,
    now: Millis,
) -> Result<StoredSnapshot, SnapshotError> {
    let SnapshotOwner { host, gateway, settings } = stored.owner;
    let checks = [
        (host == owner.host, SnapshotError::OtherHost),
        (gateway == owner.gateway, SnapshotError::OtherGateway),
        (settings == owner.settings, SnapshotError::OtherSettings),
        (stored.snapshot.written <= now + MAX_CLOCK_SKEW, SnapshotError::Future),
    ];
    checks.into_iter().find(|(is_met, _)| !is_met).map_or(Ok(stored), |(_, error)| Err(error))
}
