//! Queue of asynchronous writes to the shared store, which no request waits for. The queue is bounded: when it is full,
//! the oldest item is dropped, since later writes supersede it.

use std::collections::VecDeque;

/// Bounded FIFO queue of writes.
#[derive(Clone, Debug)]
pub struct WriteBehindQueue<T> {
    items: VecDeque<T>,
    capacity: usize,
    dropped: u64,
}

impl<T> WriteBehindQueue<T> {
    /// Creates an empty queue of this capacity, which is at least 1.
    pub fn new(capacity: usize) -> Self {
        Self { items: VecDeque::new(), capacity: capacity.max(1), dropped: 0 }
    }

    /// Appends an item. Drops the oldest item if the queue is full.
    pub fn push(&mut self, item: T) {
        if self.items.len() >= self.capacity {
            self.items.pop_front();
            self.dropped += 1;
        }
        self.items.push_back(item);
    }

    /// Removes and returns up to `max` items, oldest first.
    pub fn take(&mut self, max: usize) -> Vec<T> {
        let count = self.items.len().min(max);
        self.items.drain(..count).collect()
    }

    /// Returns the number of items dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

#[cfg(test)]
mod tests;
