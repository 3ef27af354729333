//! Detection of lost writes in the shared store. Each gateway writes its own counter, the heartbeat, and reads it back
//! with every claim and heartbeat call. If the counter is missing or lower than a value that the store has confirmed,
//! the store has lost writes: it was restored from an old copy, or replaced by another instance.

use std::time::{Duration, Instant};

/// Number of windows during which the store is not trusted after writes were lost, or after the start of the gateway,
/// which can't know of earlier losses. Stages that a lost write left outdated have expired by then; the extra
/// quarter allows for clock drift.
const DISTRUST_WINDOWS: f64 = 1.25;

/// Interval between heartbeat writes: three in [`MAX_HEARTBEAT_GAP`], so that one lost call causes no distrust.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time without a confirmed heartbeat after which the store is still trusted. Lost writes are certain to be
/// detected only if the store went back by more than this.
pub const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(300);

/// The heartbeat counter of one gateway, and whether the store can be trusted.
#[derive(Clone, Debug)]
pub struct FreshnessCheck {
    /// Highest counter that the store has confirmed.
    confirmed_counter: u64,
    /// Time at which the last confirmed write was sent.
    confirmed_at: Instant,
    /// Counter that was written last, confirmed or not.
    last_counter: u64,
    /// How long the store is not trusted after writes were lost, or may have been.
    distrust_duration: Duration,
    distrusted_until: Instant,
}

impl FreshnessCheck {
    /// Creates the check of a gateway that starts at `now`. Stages that say that nothing was sent expire after
    /// `window`.
    pub fn new(window: Duration, now: Instant) -> Self {
        let distrust_duration = window.mul_f64(DISTRUST_WINDOWS);
        Self {
            confirmed_counter: 0,
            confirmed_at: now,
            last_counter: 0,
            distrust_duration,
            distrusted_until: now + distrust_duration,
        }
    }

    /// Increments the counter and returns the value to write.
    pub fn next_counter(&mut self) -> u64 {
        self.last_counter += 1;
        self.last_counter
    }

    /// Records that the store has confirmed the write of this counter. The call was made at `called_at`.
    pub fn on_confirmed(&mut self, counter: u64, called_at: Instant) {
        self.confirmed_counter = self.confirmed_counter.max(counter);
        self.confirmed_at = self.confirmed_at.max(called_at);
    }

    /// Checks the counter that was read from the store. Returns whether writes were lost since the last read, or may
    /// have been lost.
    pub fn on_read(&mut self, counter: Option<u64>, now: Instant) -> bool {
        let has_lost_writes = counter.unwrap_or(0) < self.confirmed_counter;
        if has_lost_writes {
            // Later reads are compared with the current state of the store.
            self.confirmed_counter = 0;
        }
        let gap = now.saturating_duration_since(self.confirmed_at);
        let may_have_lost_writes = has_lost_writes || gap > MAX_HEARTBEAT_GAP;
        if may_have_lost_writes {
            self.distrusted_until = now + self.distrust_duration;
        }
        may_have_lost_writes
    }

    /// Returns whether a stored stage that says a request never ran may be trusted.
    pub fn is_trusted(&self, now: Instant) -> bool {
        now >= self.distrusted_until
    }
}

#[cfg(test)]
mod tests;
