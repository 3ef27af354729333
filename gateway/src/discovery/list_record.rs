//! The endpoint list in the form in which the processes of one gateway exchange it, and the version by which the newer of
//! two lists is found.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether `a` is later than `b` in serial number arithmetic (RFC 1982).
fn is_later(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// How recent an endpoint list is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Serial of the last complete update; `None` until the first one.
    pub serial: Option<u32>,
    /// Serial of the latest answer that lacked an address. It took effect, so older lists are ignored after it too.
    pub incomplete_serial: Option<u32>,
}

impl ListVersion {
    /// The serial of the latest update, complete or not.
    fn latest(self) -> Option<u32> {
        match (self.serial, self.incomplete_serial) {
            (Some(serial), Some(incomplete)) if is_later(incomplete, serial) => Some(incomplete),
            (serial, incomplete) => serial.or(incomplete),
        }
    }

    /// Whether a complete list with this serial is newer. One that completes an incomplete list is.
    pub fn is_older_than(self, serial: u32) -> bool {
        let is_after_complete = self.serial.is_none_or(|complete| is_later(serial, complete));
        let is_after_incomplete =
            self.incomplete_serial.is_none_or(|incomplete| !is_later(incomplete, serial));
        is_after_complete && is_after_incomplete
    }

    /// Whether the list of another process is newer, or as new and complete where this one is not.
    pub fn is_older_than_list(self, other: Self) -> bool {
        match (self.latest(), other.latest()) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(own), Some(others)) if own == others => {
                self.serial != Some(own) && other.serial == Some(own)
            }
            (Some(own), Some(others)) => is_later(others, own),
        }
    }
}

/// An endpoint list, independent of the ids that a process assigns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRecord {
    /// How recent the list is.
    pub version: ListVersion,
    /// All listed engines.
    pub engines: Vec<EngineRecord>,
}

/// A listed engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// The engine's name in the endpoint list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, if the settings know it.
    pub zone: Option<String>,
    /// Its kind, if the settings know it.
    pub kind: Option<String>,
    /// Its cell, if it is known.
    pub cell: Option<u64>,
    /// Whether it gets no new requests.
    pub is_draining: bool,
    /// When it started, in microseconds of Unix time, if it is known.
    pub started_us: Option<u64>,
}
