//! The broker's timers: one for each attempt in flight and each open request, in the order in which they expire.

use crate::message::AttemptId;
use reedwalk_scheduler::RequestId;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// What a timer is for. Of timers that expire at the same instant, those of attempts come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The attempt's deadline.
    Attempt(AttemptId),
    /// The instant by which the request must have its response.
    Request(RequestId),
}

/// All armed timers.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    /// Arms a timer.
    pub(super) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Disarms a timer that was armed for this instant, if it still is.
    pub(super) fn disarm(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// When the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes the next timer that has expired.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        if self.next_expiry()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}

#[cfg(test)]
mod tests;
