//! How much a front end may send: a bucket of bytes that fills at a stated rate, whatever the size of the fleet.

use crate::Millis;

/// A bucket of units that fills with time.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    per_second: f64,
    most: f64,
    left: f64,
    at: Millis,
}

impl Pace {
    /// So many units a second, and at most this many at once; full at the start.
    pub fn new(per_second: f64, most: f64, now: Millis) -> Self {
        Self { per_second, most, left: most, at: now }
    }

    /// Takes so many, if they are there.
    pub fn take(&mut self, units: f64, now: Millis) -> bool {
        self.take_leaving(units, 0.0, now)
    }

    /// Takes so many, if they are there and so many stay for others.
    pub fn take_leaving(&mut self, units: f64, leaves: f64, now: Millis) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.left = (self.left + passed * self.per_second).min(self.most);
        self.at = self.at.max(now);
        let there = self.left >= units + leaves;
        if there {
            self.left -= units;
        }
        there
    }
}

#[cfg(test)]
mod tests;
