//! Queue of the tasks scheduled in a simulation.

use std::collections::BTreeMap;

/// Tasks ordered by due time in microseconds; those with the same due time keep their order of insertion.
pub struct TaskQueue<T> {
    tasks: BTreeMap<(u64, u64), T>,
    next_sequence: u64,
}

impl<T> TaskQueue<T> {
    pub fn new() -> Self {
        Self { tasks: BTreeMap::new(), next_sequence: 0 }
    }

    pub fn add(&mut self, at: u64, task: T) {
        self.tasks.insert((at, self.next_sequence), task);
        self.next_sequence += 1;
    }

    /// Removes the earliest task that is due; returns it with its due time.
    pub fn pop_due(&mut self, now: u64) -> Option<(u64, T)> {
        let entry = self.tasks.first_entry().filter(|entry| entry.key().0 <= now)?;
        let at = entry.key().0;
        Some((at, entry.remove()))
    }
}
