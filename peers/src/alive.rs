//! Who lives. Every front end tells the time of its latest sign of life; others pass on the latest that they have heard
//! of, and the later one holds. So nobody can be talked dead; who is talked alive only makes the others count him as
//! they would without any of this.

use crate::{Millis, PeerId};

/// The part of the pool that front ends reckon with grows by at most this share a second as others die.
const GROWS: f64 = 0.1;
/// Fewer than this share of the told number are never reckoned with, whatever was heard.
pub const LEAST_SHARE: f64 = 0.2;
/// A sign of life may be ahead of our own clock by this.
pub(crate) const AHEAD: Millis = 2_000;

#[derive(Clone, Copy, Debug)]
struct Life {
    /// Latest sign of life in tenths of a second of its own clock; 0 for none.
    beat: u64,
    /// When that reached us.
    since: Millis,
}

/// What is known of who lives.
#[derive(Clone, Debug)]
pub struct Alive {
    me: PeerId,
    /// Without a later sign of life for so long, a front end is taken for dead.
    dead_after: Millis,
    lives: Vec<Life>,
    /// The number that is reckoned with.
    counted: f64,
    at: Millis,
}

impl Alive {
    /// Nothing was heard yet: all are taken for alive until they have had their time.
    pub fn new(me: PeerId, count: usize, dead_after: Millis, now: Millis) -> Self {
        Self {
            me,
            dead_after,
            lives: vec![Life { beat: 0, since: now }; count],
            counted: count as f64,
            at: now,
        }
    }

    /// A sign of life of this time, in tenths of a second; is it news?
    pub(crate) fn beat(&mut self, peer: PeerId, beat: u64, now: Millis) -> bool {
        // No clock of ours is so far behind: it would stand in the way of the true ones.
        if beat > (now + AHEAD) / 100 || peer == self.me {
            return false;
        }
        match self.lives.get_mut(usize::from(peer)) {
            Some(life) if beat > life.beat => {
                *life = Life { beat, since: now };
                true
            }
            _ => false,
        }
    }

    /// This process stood still for so long: the others were not silent, we were deaf.
    pub fn slept(&mut self, for_long: Millis) {
        self.lives.iter_mut().for_each(|l| l.since += for_long);
    }

    /// Does it live, as far as is known?
    pub fn lives(&self, peer: PeerId, now: Millis) -> bool {
        let life = self.lives.get(usize::from(peer));
        peer == self.me || life.is_some_and(|l| now.saturating_sub(l.since) < self.dead_after)
    }

    /// The latest sign of life; none where nothing was ever heard.
    pub(crate) fn latest(&self, peer: PeerId) -> Option<u64> {
        self.lives.get(usize::from(peer)).filter(|l| l.beat > 0).map(|l| l.beat)
    }

    /// How many live, this one included.
    pub fn living(&self, now: Millis) -> usize {
        (0..self.lives.len()).filter(|p| self.lives(*p as PeerId, now)).count()
    }

    /// The number of front ends to reckon with: up at once as some come back, down slowly as some die.
    pub fn counted(&mut self, now: Millis) -> f64 {
        let told = self.lives.len() as f64;
        let living = (self.living(now) as f64).max(told * LEAST_SHARE);
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.counted = living.max(self.counted * (1.0 - GROWS).powf(passed));
        self.counted
    }
}

#[cfg(test)]
mod tests;
