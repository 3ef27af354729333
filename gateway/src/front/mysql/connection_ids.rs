//! Connection ids, as the greeting tells them and KILL QUERY names them.

use std::hash::{BuildHasher, Hasher, RandomState};

/// Added for each connection: odd, so that all ids come up before one comes again, and large, so that they are spread.
const STEP: u32 = 0x9E37_79B9;

/// A sequence of connection ids. Two processes may serve at one address, and a KILL QUERY meant for one reach the other:
/// each starts at an id that the system draws at random, so that the kill finds no query there.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionIds(u32);

impl ConnectionIds {
    /// A sequence from a random start.
    pub fn new() -> Self {
        Self(RandomState::new().build_hasher().finish() as u32)
    }

    /// The next id; never 0, and the same again only after all others.
    pub fn next_id(&mut self) -> u32 {
        self.0 = self.0.wrapping_add(STEP);
        if self.0 == 0 { self.next_id() } else { self.0 }
    }
}
