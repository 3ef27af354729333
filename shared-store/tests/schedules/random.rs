//! Deterministic random numbers from a seed.

use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};

/// Seeded random number generator.
pub struct SeededRandom(TestRng);

impl SeededRandom {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        Self(TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
    }

    /// Returns a number from 0 to `limit - 1`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit
    }

    /// Returns true with a probability of `percent` percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
