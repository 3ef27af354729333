//! A small deterministic random number generator (SplitMix64), the same in every build.

use std::time::Duration;

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ self.0 >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ mixed >> 31
    }

    /// An integer from 0 to `limit`, exclusive.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// A number from 0 to 1, exclusive.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    /// Microseconds, uniform from 0 to twice the mean.
    pub fn uniform_around(&mut self, mean: Duration) -> u64 {
        (mean.as_micros() as f64 * 2.0 * self.unit()) as u64
    }
}
