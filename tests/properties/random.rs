//! A small deterministic random number generator (xorshift), so that every run has the same schedules.

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// An integer from 0 to `limit`, exclusive.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    /// True with a probability of 1 in `draws`.
    pub fn one_in(&mut self, draws: u64) -> bool {
        self.below(draws) == 0
    }
}
