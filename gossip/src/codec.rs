//! Datagram format: at most 256 bytes, versioned, with a signature, or a checksum if there are no keys.

use crate::{EngineKey, Millis, PeerId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Maximum size of a datagram; it fits into one packet on any network.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte of every datagram; datagrams with another one are rejected.
const VERSION: u8 = 0x72;
const VERSION_BYTES: usize = 1;
/// Size of a signature: half of an HMAC-SHA256, as RFC 2104 allows.
const SIGNATURE_BYTES: usize = 16;
/// Size of a CRC-32.
const CHECKSUM_BYTES: usize = 4;
/// Minimum key size: the output size of the hash, as RFC 2104 recommends.
const MIN_KEY_BYTES: usize = 32;
const MS_PER_CENTISECOND: Millis = 10;
/// Resolution of heartbeat times, so that an age fits into a byte.
const HEARTBEAT_STEP_US: u64 = 100_000;

/// Kind of a [`Fact`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKind {
    /// The engine responds with errors, or closes or refuses connections.
    Failing,
    /// The engine accepts work and sends no response.
    Unresponsive,
    /// One attempt at the engine has just failed; the request may be the cause.
    AttemptFailed,
    /// The engine has restarted, at [`Fact::started`].
    Restarted,
    /// The engine is slow: the value is the query latency in sixteenths of that of an idle engine.
    Slow,
    /// Threads that the sender uses at the engine, in sixteenths.
    ThreadUse,
    /// A kind that this version does not know, which is ignored.
    Unknown(u8),
}

impl FactKind {
    /// Weight of a report of this kind towards an ejection (see [`crate::MIN_EJECTION_WEIGHT`]).
    pub(crate) fn weight(self) -> f64 {
        match self {
            Self::Failing | Self::Unresponsive => 1.0,
            Self::AttemptFailed => 0.5,
            Self::Restarted | Self::Slow | Self::ThreadUse | Self::Unknown(_) => 0.0,
        }
    }
}

impl From<u8> for FactKind {
    fn from(number: u8) -> Self {
        match number {
            0 => Self::Failing,
            1 => Self::Unresponsive,
            2 => Self::AttemptFailed,
            3 => Self::Restarted,
            4 => Self::Slow,
            5 => Self::ThreadUse,
            unknown => Self::Unknown(unknown),
        }
    }
}

impl From<FactKind> for u8 {
    fn from(kind: FactKind) -> Self {
        match kind {
            FactKind::Failing => 0,
            FactKind::Unresponsive => 1,
            FactKind::AttemptFailed => 2,
            FactKind::Restarted => 3,
            FactKind::Slow => 4,
            FactKind::ThreadUse => 5,
            FactKind::Unknown(number) => number,
        }
    }
}

/// A finding of the sender itself about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The engine.
    pub engine: EngineKey,
    /// Start time of the engine in Unix seconds, which identifies its incarnation; 0 for long ago.
    pub started: u32,
    /// The encoded [`FactKind`].
    pub kind: u8,
    /// Time to live from the datagram's send time, in hundredths of a second.
    pub ttl_centis: u16,
    /// Value, for kinds that have one; otherwise 0.
    pub value: u8,
}

impl Fact {
    /// Time to live, in milliseconds.
    pub(crate) fn ttl(&self) -> Millis {
        Millis::from(self.ttl_centis) * MS_PER_CENTISECOND
    }

    /// Converts milliseconds to [`Fact::ttl_centis`], saturating at the largest encodable value.
    pub(crate) fn to_ttl_centis(ttl: Millis) -> u16 {
        (ttl / MS_PER_CENTISECOND).min(u64::from(u16::MAX)) as u16
    }
}

/// The latest time, by its own clock, at which a gateway is known to have been alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Distance of the gateway's id from the previous one in the list, or from [`Datagram::from`]; ids wrap around.
    pub skip: u8,
    /// Age at [`Datagram::sent`], in tenths of a second.
    pub age: u8,
}

/// A datagram from one gateway to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: PeerId,
    /// Start time of the sender in milliseconds, which identifies its incarnation.
    pub incarnation: Millis,
    /// Send time in microseconds; strictly increasing within an incarnation.
    pub sent: u64,
    /// Findings of the sender itself.
    pub facts: Vec<Fact>,
    /// Heartbeats of the gateways that the sender considers alive.
    pub heartbeats: Vec<Heartbeat>,
}

impl Datagram {
    /// Decodes the heartbeats into gateways and times in tenths of a second, in a fleet of `gateway_count`.
    pub(crate) fn heartbeat_times(&self, gateway_count: usize) -> impl Iterator<Item = (PeerId, u64)> {
        let sent = self.sent / HEARTBEAT_STEP_US;
        let decode = move |peer: &mut usize, heartbeat: &Heartbeat| {
            *peer = (*peer + usize::from(heartbeat.skip)) % gateway_count.max(1);
            Some((*peer as PeerId, sent.saturating_sub(u64::from(heartbeat.age))))
        };
        self.heartbeats.iter().scan(usize::from(self.from), decode)
    }

    /// Encodes a heartbeat time, in tenths of a second; `None` if the gateway's distance or the age does not fit.
    pub(crate) fn heartbeat(&self, skip: usize, at: u64) -> Option<Heartbeat> {
        let age = (self.sent / HEARTBEAT_STEP_US).saturating_sub(at);
        Some(Heartbeat { skip: skip.try_into().ok()?, age: age.try_into().ok()? })
    }

    /// Converts milliseconds to heartbeat time, in tenths of a second.
    pub(crate) fn heartbeat_time(at: Millis) -> u64 {
        at * 1000 / HEARTBEAT_STEP_US
    }
}

/// Error: a signing key is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTooShort {
    /// Length of the key in bytes.
    pub bytes: usize,
}

impl fmt::Display for KeyTooShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a signing key needs at least {MIN_KEY_BYTES} bytes, this one has {}", self.bytes)
    }
}

impl std::error::Error for KeyTooShort {}

/// A signing key, shared by all gateways of a fleet.
#[derive(Clone)]
pub struct SigningKey(Hmac<Sha256>);

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SigningKey")
    }
}

impl SigningKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    /// Returns an error if there are fewer bytes than the minimum key size.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyTooShort> {
        let error = KeyTooShort { bytes: bytes.len() };
        if bytes.len() < MIN_KEY_BYTES {
            return Err(error);
        }
        Hmac::new_from_slice(bytes).map(Self).map_err(|_| error)
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        self.0.clone().chain_update(bytes)
    }
}

/// Signing keys. The first key signs and any of them verifies, so that keys can be rotated one gateway at a time. If
/// empty, datagrams only have a checksum.
#[derive(Clone, Debug, Default)]
pub struct SigningKeys(pub Vec<SigningKey>);

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// It was not sent from the address of a gateway, or the sender it names has another address.
    UnknownSender,
    /// Its sender exceeded the rate limit.
    RateLimited,
    /// None of the keys verifies its signature.
    BadSignature,
    /// It can't be decoded, or has an unknown version.
    Malformed,
    /// It is too old, not later than the last accepted one, or from an earlier incarnation of its sender.
    Stale,
    /// Its send time is in the future, by the local clock.
    Future,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownSender => "not sent by a known gateway",
            Self::RateLimited => "its sender exceeded the rate limit",
            Self::BadSignature => "signature matches none of the keys",
            Self::Malformed => "malformed, or of an unknown version",
            Self::Stale => "too old, repeated, or from an earlier incarnation of its sender",
            Self::Future => "send time is in the future by the local clock",
        })
    }
}

impl std::error::Error for DatagramError {}

impl SigningKeys {
    fn trailer_bytes(&self) -> usize {
        if self.0.is_empty() { CHECKSUM_BYTES } else { SIGNATURE_BYTES }
    }

    /// Maximum size of the encoded content of a datagram, without version and signature or checksum.
    pub fn max_content_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES - VERSION_BYTES - self.trailer_bytes()
    }

    /// Encodes a datagram and signs it, or adds a checksum if there are no keys.
    pub fn encode(&self, datagram: &Datagram) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        // Serializing plain data to the heap does not fail.
        bytes.extend(postcard::to_allocvec(datagram).unwrap_or_default());
        match self.0.first() {
            Some(key) => {
                let tag = key.mac(&bytes).finalize().into_bytes();
                bytes.extend_from_slice(&tag[..SIGNATURE_BYTES]);
            }
            None => bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes()),
        }
        bytes
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the signature or checksum is wrong, or the datagram can't be decoded.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Malformed);
        }
        let content_bytes = bytes.len().checked_sub(self.trailer_bytes()).ok_or(DatagramError::Malformed)?;
        let (content, trailer) = bytes.split_at(content_bytes);
        self.verify(content, trailer)?;
        let Some((&VERSION, content)) = content.split_first() else { return Err(DatagramError::Malformed) };
        match postcard::take_from_bytes(content) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(DatagramError::Malformed),
        }
    }

    /// Verifies the signature, or the checksum if there are no keys.
    fn verify(&self, content: &[u8], trailer: &[u8]) -> Result<(), DatagramError> {
        if self.0.is_empty() {
            let checksum = crc32fast::hash(content).to_le_bytes();
            return if checksum == trailer { Ok(()) } else { Err(DatagramError::Malformed) };
        }
        // The signature is compared in constant time.
        let is_signed_by = |key: &SigningKey| key.mac(content).verify_truncated_left(trailer).is_ok();
        if self.0.iter().any(is_signed_by) { Ok(()) } else { Err(DatagramError::BadSignature) }
    }
}

#[cfg(test)]
mod tests;
