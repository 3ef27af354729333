//! What is written off the path of requests waits here. It is bounded: where the store takes nothing, the oldest is
//! dropped, since later facts are worth more.

use std::collections::VecDeque;

/// A bounded line to the store.
#[derive(Clone, Debug)]
pub struct Outbox<T> {
    line: VecDeque<T>,
    most: usize,
    dropped: u64,
}

impl<T> Outbox<T> {
    /// A line of so many at most.
    pub fn new(most: usize) -> Self {
        Self { line: VecDeque::new(), most: most.max(1), dropped: 0 }
    }

    /// Puts one at its end.
    pub fn push(&mut self, one: T) {
        if self.line.len() >= self.most {
            self.line.pop_front();
            self.dropped += 1;
        }
        self.line.push_back(one);
    }

    /// Takes so many from its front.
    pub fn take(&mut self, most: usize) -> Vec<T> {
        let count = self.line.len().min(most);
        self.line.drain(..count).collect()
    }

    /// How many were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

#[cfg(test)]
mod tests;
