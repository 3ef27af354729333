//! When the store is asked, and when it is left alone. After some failures in a row it is left alone for a while that
//! grows; then one question is let through, and its end decides. The while is drawn anew each time, so that front
//! ends do not come back together.

use std::time::{Duration, Instant};

/// Questions without an answer in time, in a row, after which the store is left alone.
const SLOW_IN_A_ROW: u32 = 3;
/// The first while, and the longest.
const REST: Duration = Duration::from_millis(200);
const REST_MOST: Duration = Duration::from_secs(5);

/// How the store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers in time.
    Well,
    /// It does not answer in time.
    Slow,
    /// It can't be reached, or answers with errors.
    Gone,
}

/// Why a question got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None came in time.
    Slow,
    /// The connection broke, or the answer was an error or no answer at all.
    Gone,
}

/// Whether a store is asked.
#[derive(Clone, Debug)]
pub struct Breaker {
    health: Health,
    in_a_row: u32,
    rest: Duration,
    until: Option<Instant>,
    /// A question was let through and has not ended by then.
    trial: Option<Instant>,
    draw: u64,
}

impl Breaker {
    /// A store that is taken to be well; `seed` is this front end's own.
    pub fn new(seed: u64) -> Self {
        Self { health: Health::Well, in_a_row: 0, rest: REST, until: None, trial: None, draw: seed | 1 }
    }

    /// How the store is.
    pub fn health(&self) -> Health {
        self.health
    }

    /// May it be asked now? Where it is left alone, the first question after that is the only one until it has ended
    /// or `by` has passed.
    pub fn may_ask(&mut self, now: Instant, by: Instant) -> bool {
        match self.until {
            None => true,
            Some(until) if now < until || self.trial.is_some_and(|t| now < t) => false,
            Some(_) => {
                self.trial = Some(by);
                true
            }
        }
    }

    /// It answered. Its health, if that has changed.
    pub fn answered(&mut self) -> Option<Health> {
        (self.in_a_row, self.rest, self.until, self.trial) = (0, REST, None, None);
        self.turn(Health::Well)
    }

    /// It did not. Its health, if that has changed.
    pub fn failed(&mut self, fault: Fault, now: Instant) -> Option<Health> {
        let resting = self.until.is_some();
        if resting && self.trial.is_none() {
            // A question of before the rest: nothing new.
            return None;
        }
        self.in_a_row += 1;
        if !resting && fault == Fault::Slow && self.in_a_row < SLOW_IN_A_ROW {
            return None;
        }
        self.until = Some(now + self.rest.mul_f64(0.5 + self.chance()));
        (self.rest, self.trial) = ((self.rest * 2).min(REST_MOST), None);
        self.turn(if fault == Fault::Slow { Health::Slow } else { Health::Gone })
    }

    fn turn(&mut self, health: Health) -> Option<Health> {
        (std::mem::replace(&mut self.health, health) != health).then_some(health)
    }

    /// From 0 to 1 (xorshift).
    fn chance(&mut self) -> f64 {
        self.draw ^= self.draw << 13;
        self.draw ^= self.draw >> 7;
        self.draw ^= self.draw << 17;
        (self.draw >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
