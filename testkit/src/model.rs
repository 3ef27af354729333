//! A small model of an engine's cores: queries share them, a cold one has less, one that is sent too much while it
//! is cold falls over. Pure: time comes in as seconds since the engine's start. The lab's model will be finer.

use std::collections::{BTreeMap, VecDeque};

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Shape {
    pub cores: f64,
    /// How many times slower than usual it works.
    pub slow: f64,
    /// Share of its capacity at its start, and seconds until it is warm; none, and it is warm from the first.
    pub cold: Option<(f64, f64)>,
    /// When it starts, in seconds of the model's time: a cold one counts from then.
    pub starts_at: f64,
    /// Work over present capacity in a window of so many seconds at which it falls over while cold, and for how
    /// long.
    pub tip: (f64, f64, f64),
    /// Queries at a time; beyond them it is full.
    pub sessions: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { cores: 4.0, slow: 1.0, cold: None, starts_at: 0.0, tip: (2.5, 1.0, 1.0), sessions: 200 }
    }
}

/// What becomes of a query that comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Runs,
    Full,
    /// The engine has just fallen over, and all that ran with it.
    Fell,
}

#[derive(Debug)]
pub struct Model {
    shape: Shape,
    now: f64,
    running: BTreeMap<u64, (f64, f64)>,
    sent: VecDeque<(f64, f64)>,
    down_until: f64,
}

/// Steps in which the growing capacity of a cold engine is followed, in seconds.
const STEP: f64 = 0.02;

impl Model {
    pub fn new(shape: Shape) -> Self {
        Self { shape, now: 0.0, running: BTreeMap::new(), sent: VecDeque::new(), down_until: 0.0 }
    }

    fn warm(&self, at: f64) -> f64 {
        match self.shape.cold {
            Some((from, ramp)) if at - self.shape.starts_at < ramp => {
                from + (1.0 - from) * (at - self.shape.starts_at).max(0.0) / ramp
            }
            _ => 1.0,
        }
    }

    /// Work that one thread does a second.
    fn pace(&self) -> f64 {
        let threads: f64 = self.running.values().map(|r| r.1).sum();
        (self.shape.cores / threads.max(1e-9)).min(1.0) * self.warm(self.now) / self.shape.slow
    }

    /// Lets time pass; gives what has finished, in order.
    pub fn advance(&mut self, to: f64) -> Vec<u64> {
        let mut done = Vec::new();
        while self.now < to {
            let pace = self.pace();
            let first =
                self.running.values().map(|(left, threads)| left / (threads * pace)).fold(f64::MAX, f64::min);
            let cold = self.warm(self.now) < 1.0;
            let step = (to - self.now).min(first).min(if cold { STEP } else { f64::MAX });
            self.now += step;
            for (left, threads) in self.running.values_mut() {
                *left -= *threads * pace * step;
            }
            let ends: Vec<_> = self.running.iter().filter(|r| r.1.0 <= 1e-7).map(|r| *r.0).collect();
            ends.iter().for_each(|id| _ = self.running.remove(id));
            done.extend(ends);
        }
        done
    }

    /// Seconds until something ends, if nothing else comes.
    pub fn next(&self) -> Option<f64> {
        let pace = self.pace();
        let first =
            self.running.values().map(|(left, threads)| left / (threads * pace)).min_by(f64::total_cmp);
        let cold = self.warm(self.now) < 1.0;
        first.map(|f| if cold { f.min(STEP) } else { f }.max(1e-6))
    }

    /// A query comes in, its work in seconds on one core. Time has been advanced to now.
    pub fn take(&mut self, id: u64, work: f64, threads: f64) -> Taken {
        let (multiple, window, down) = self.shape.tip;
        if self.now < self.down_until || self.running.len() >= self.shape.sessions {
            return Taken::Full;
        }
        let warm = self.warm(self.now);
        if warm < 1.0 {
            self.sent.push_back((self.now, work));
            self.sent.retain(|s| s.0 > self.now - window);
            if self.sent.iter().map(|s| s.1).sum::<f64>() > multiple * warm * self.shape.cores * window {
                self.down_until = self.now + down;
                self.running.clear();
                self.sent.clear();
                return Taken::Fell;
            }
        }
        self.running.insert(id, (work.max(1e-6), threads));
        Taken::Runs
    }

    /// From now on it works so many times slower than usual.
    pub fn slow(&mut self, times: f64) {
        self.shape.slow = times;
    }

    pub fn give_up(&mut self, id: u64) {
        self.running.remove(&id);
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Share of its cores that is in use.
    pub fn busy(&self) -> f64 {
        (self.running.values().map(|r| r.1).sum::<f64>() / self.shape.cores).min(1.0)
    }
}

#[cfg(test)]
mod tests;
