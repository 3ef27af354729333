//! Times of events in a sliding window.

use crate::time::Timestamp;
use std::collections::VecDeque;

/// Times of events, in chronological order.
#[derive(Default)]
pub(crate) struct EventWindow(VecDeque<Timestamp>);

impl EventWindow {
    pub(crate) fn push(&mut self, now: Timestamp) {
        self.0.push_back(now);
    }

    /// Number of events at or after `since`.
    pub(crate) fn count_from(&self, since: Timestamp) -> usize {
        self.0.len() - self.0.partition_point(|at| *at < since)
    }

    /// Number of events strictly after `since`.
    pub(crate) fn count_after(&self, since: Timestamp) -> usize {
        self.0.len() - self.0.partition_point(|at| *at <= since)
    }

    /// Removes the events before `since`; all events if it is `None`.
    pub(crate) fn expire(&mut self, since: Option<Timestamp>) {
        match since {
            Some(since) => self.0.retain(|at| *at >= since),
            None => self.0.clear(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
