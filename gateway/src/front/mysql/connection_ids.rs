//! Connection ids, which the greeting announces and `KILL QUERY` refers to.

use std::hash::{BuildHasher, Hasher, RandomState};

/// Increment between two ids. It is odd, so that the sequence visits every id before it repeats one, and large, so that
/// consecutive ids are far apart.
const STEP: u32 = 0x9E37_79B9;

/// A sequence of connection ids with a random start. Two processes may serve the same address, so that a `KILL QUERY` can
/// reach the wrong one. As each process starts at a random id, it is unlikely to have a query with that id.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionIds(u32);

impl ConnectionIds {
    /// Creates a sequence with a random start.
    pub fn new() -> Self {
        Self(RandomState::new().build_hasher().finish() as u32)
    }

    /// Returns the next id, which is never 0 and repeats only after all others.
    pub fn next_id(&mut self) -> u32 {
        self.0 = self.0.wrapping_add(STEP);
        if self.0 == 0 { self.next_id() } else { self.0 }
    }
}
