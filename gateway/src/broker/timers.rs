//! The broker's timers, ordered by expiry: one for each attempt in flight and one for each open request.

use crate::message::AttemptId;
use reedwalk_scheduler::RequestId;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// The purpose of a timer. Timers of attempts precede those of requests that expire at the same instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Expires at the attempt's deadline.
    Attempt(AttemptId),
    /// Expires when the request must have been answered.
    Request(RequestId),
}

/// All armed timers.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub(super) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Disarms a timer armed for this instant. Does nothing if there is none.
    pub(super) fn disarm(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Returns when the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next expired timer.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        if self.next_expiry()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}

#[cfg(test)]
mod tests;
