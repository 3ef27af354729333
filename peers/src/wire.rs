//! Datagrams between front ends: at most 256 bytes, versioned, with a checksum or, where there are keys, a signature.

use crate::{EngineKey, Millis, PeerId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Bytes of a datagram at most, as the protocol page allows.
pub const LENGTH_MOST: usize = 256;
/// First byte of every datagram; a later form of them has another.
const VERSION: u8 = 0x72;
/// Bytes of a signature: half of an HMAC-SHA256, as RFC 2104 allows.
const SIGNATURE: usize = 16;
const CHECKSUM: usize = 4;
/// Bytes of a key at least.
const KEY_LEAST: usize = 32;
/// Beats are told in steps of so many microseconds.
const STEP: u64 = 100_000;

/// What a datagram says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// It answers with errors, breaks connections or takes none.
    Fails,
    /// It takes work and says nothing.
    Silent,
    /// One attempt there has just failed; what a client asked may be at fault.
    Erred,
    /// It has started anew, at the second that the fact bears.
    Cold,
    /// Queries take long there: as many sixteenths of what they take at ease.
    Slow,
    /// So many sixteenths of a thread the sender uses there.
    Uses,
    /// A kind that this program does not know of; it is passed over.
    Other(u8),
}

impl Kind {
    /// What it is worth against an engine, beside the same from other origins.
    pub(crate) fn weight(self) -> f64 {
        match self {
            Self::Fails | Self::Silent => 1.0,
            Self::Erred => 0.5,
            Self::Cold | Self::Slow | Self::Uses | Self::Other(_) => 0.0,
        }
    }
}

impl From<u8> for Kind {
    fn from(number: u8) -> Self {
        match number {
            0 => Self::Fails,
            1 => Self::Silent,
            2 => Self::Erred,
            3 => Self::Cold,
            4 => Self::Slow,
            5 => Self::Uses,
            other => Self::Other(other),
        }
    }
}

impl From<Kind> for u8 {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Fails => 0,
            Kind::Silent => 1,
            Kind::Erred => 2,
            Kind::Cold => 3,
            Kind::Slow => 4,
            Kind::Uses => 5,
            Kind::Other(number) => number,
        }
    }
}

/// One thing that the sender knows of an engine by itself; never what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Which engine, by its id.
    pub engine: EngineKey,
    /// Which life of it: the second of its start; 0 for long ago.
    pub started: u32,
    /// What; see [`Kind`].
    pub kind: u8,
    /// How long it holds from the send on, in hundredths of a second.
    pub left: u16,
    /// How much, where the kind says of what; else 0.
    pub much: u8,
}

/// A sign of life: a front end said something at this time of its own clock, or was heard to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// How many numbers further than the one before it, or than [`Datagram::from`], with 0 after the last.
    pub skip: u8,
    /// Tenths of a second before the datagram's own time.
    pub before: u8,
}

/// What one front end tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Whose it is.
    pub from: PeerId,
    /// When that process started, in milliseconds: which life of the front end this is.
    pub born: Millis,
    /// When it was sent, in microseconds; each one of a life is later than the one before.
    pub sent: u64,
    /// What the sender knows by itself.
    pub facts: Vec<Fact>,
    /// Who lives, as far as the sender has heard.
    pub beats: Vec<Beat>,
}

impl Datagram {
    /// Whose beats these are, and the times that they stand for in tenths of a second, in a tier of so many.
    pub(crate) fn beats(&self, count: usize) -> impl Iterator<Item = (PeerId, u64)> {
        let sent = self.sent / STEP;
        let place = move |at: &mut usize, beat: &Beat| {
            *at = (*at + usize::from(beat.skip)) % count.max(1);
            Some((*at as PeerId, sent.saturating_sub(u64::from(beat.before))))
        };
        self.beats.iter().scan(usize::from(self.from), place)
    }

    /// A beat at this time, in tenths of a second; none where that is too long ago to be told.
    pub(crate) fn beat(&self, skip: usize, at: u64) -> Option<Beat> {
        let before = (self.sent / STEP).saturating_sub(at);
        Some(Beat { skip: skip.try_into().ok()?, before: before.try_into().ok()? })
    }

    /// Tenths of a second, from milliseconds.
    pub(crate) fn steps(at: Millis) -> u64 {
        at * 1000 / STEP
    }
}

/// A key is too short to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortKey {
    /// Bytes that it has.
    pub bytes: usize,
}

impl fmt::Display for ShortKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key has {KEY_LEAST} bytes or more, this one {}", self.bytes)
    }
}

impl std::error::Error for ShortKey {}

/// A key that all front ends of a tier share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// A key of these bytes.
    ///
    /// # Errors
    /// Where there are too few.
    pub fn new(bytes: &[u8]) -> Result<Self, ShortKey> {
        let short = ShortKey { bytes: bytes.len() };
        if bytes.len() < KEY_LEAST {
            return Err(short);
        }
        Hmac::new_from_slice(bytes).map(Self).map_err(|_| short)
    }

    fn over(&self, bytes: &[u8]) -> Hmac<Sha256> {
        self.0.clone().chain_update(bytes)
    }
}

/// The first key signs; any of them is believed, so that they can be changed one front end after the other. With
/// none, datagrams bear a checksum only.
#[derive(Clone, Debug, Default)]
pub struct Keys(pub Vec<Key>);

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadDatagram {
    /// It comes from no peer's address, or says that it is another's.
    Stranger,
    /// Its sender has sent more than any may.
    Flood,
    /// No key of ours has signed it.
    Forged,
    /// It can't be read, or is of a form that is not known here.
    Garbled,
    /// It is too old, or no later than one that was taken, or of an earlier life of its sender.
    Stale,
    /// It is of a time that has not come yet.
    Future,
}

impl Keys {
    fn trailer(&self) -> usize {
        if self.0.is_empty() { CHECKSUM } else { SIGNATURE }
    }

    /// Bytes that a datagram's content may have.
    pub fn room(&self) -> usize {
        LENGTH_MOST - 1 - self.trailer()
    }

    /// The bytes to send.
    pub fn seal(&self, datagram: &Datagram) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        // Plain data on the heap: there is nothing that could fail.
        bytes.extend(postcard::to_allocvec(datagram).unwrap_or_default());
        match self.0.first() {
            Some(key) => {
                let tag = key.over(&bytes).finalize().into_bytes();
                bytes.extend_from_slice(&tag[..SIGNATURE]);
            }
            None => bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes()),
        }
        bytes
    }

    /// What came in.
    ///
    /// # Errors
    /// Where it is not one of ours, or can't be read.
    pub fn open(&self, bytes: &[u8]) -> Result<Datagram, BadDatagram> {
        if bytes.len() > LENGTH_MOST {
            return Err(BadDatagram::Garbled);
        }
        let at = bytes.len().checked_sub(self.trailer()).ok_or(BadDatagram::Garbled)?;
        let (content, trailer) = bytes.split_at(at);
        if self.0.is_empty() {
            if crc32fast::hash(content).to_le_bytes() != trailer {
                return Err(BadDatagram::Garbled);
            }
        } else {
            // Compared in constant time.
            let signed = |key: &Key| key.over(content).verify_truncated_left(trailer).is_ok();
            if !self.0.iter().any(signed) {
                return Err(BadDatagram::Forged);
            }
        }
        let Some((&VERSION, content)) = content.split_first() else { return Err(BadDatagram::Garbled) };
        match postcard::take_from_bytes(content) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(BadDatagram::Garbled),
        }
    }
}

#[cfg(test)]
mod tests;
