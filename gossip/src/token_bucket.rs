//! Token bucket rate limiter for bytes or datagrams.

use crate::Millis;

/// A token bucket that refills continuously.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    per_second: f64,
    /// Maximum number of tokens.
    capacity: f64,
    /// Tokens at the last update.
    tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `per_second` up to `capacity`.
    pub fn new(per_second: f64, capacity: f64, now: Millis) -> Self {
        Self { per_second, capacity, tokens: capacity, updated_at: now }
    }

    /// Takes `tokens` if available; returns whether it did.
    pub fn take(&mut self, tokens: f64, now: Millis) -> bool {
        self.take_with_reserve(tokens, 0.0, now)
    }

    /// Takes `tokens` if available and at least `reserve` tokens remain; returns whether it did.
    pub fn take_with_reserve(&mut self, tokens: f64, reserve: f64, now: Millis) -> bool {
        let elapsed_seconds = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_seconds * self.per_second).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
        let is_available = self.tokens >= tokens + reserve;
        if is_available {
            self.tokens -= tokens;
        }
        is_available
    }
}

#[cfg(test)]
mod tests;
