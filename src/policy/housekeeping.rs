//! Housekeeping schedule: when rounds of periodic work are due, when a control period ends, whether this
//! process was stalled, and when to subscribe to the endpoint list again.

use super::CONTROL_PERIOD;
use crate::interface::{Discovery, Settings};
use crate::time::{TimeSpan, Timestamp};

/// Interval between two rounds in ticks: well within the time allowed for a final answer.
const TICKS_PER_ROUND: i64 = 4;
/// Shortest tick that the interval is based on.
const MIN_TICK: TimeSpan = TimeSpan::from_millis(1);
/// Delay of a round above which the process itself is considered to have been stalled.
const MAX_ROUND_DELAY: TimeSpan = TimeSpan::from_millis(250);
/// Delay before subscribing to the endpoint list again.
const RESUBSCRIBE_DELAY: TimeSpan = TimeSpan::from_millis(1000);

/// A round of periodic work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HousekeepingRound {
    /// Time until the next round.
    pub(crate) interval: TimeSpan,
    /// Whether a control period has ended.
    pub(crate) ends_period: bool,
}

/// Schedule of the periodic work.
pub(crate) struct HousekeepingSchedule {
    interval: TimeSpan,
    /// When the next round is due; `None` before the first.
    next_round: Option<Timestamp>,
    /// When the last control period ended; `None` before the first round.
    last_period_end: Option<Timestamp>,
    was_stalled: bool,
    uses_subscription: bool,
    /// When to subscribe to the endpoint list; `None` if no subscription is pending.
    subscribe_at: Option<Timestamp>,
}

impl HousekeepingSchedule {
    /// The first round is due immediately, and so is the subscription if endpoints are discovered by one.
    pub(crate) fn new(settings: &Settings) -> Self {
        let uses_subscription = settings.discovery == Discovery::Subscribed;
        Self {
            interval: TimeSpan::from(settings.tick).max(MIN_TICK) * TICKS_PER_ROUND,
            next_round: None,
            last_period_end: None,
            was_stalled: false,
            uses_subscription,
            subscribe_at: uses_subscription.then_some(Timestamp::ZERO),
        }
    }

    /// Starts a step. A stalled process receives all delayed events at once: their latencies are its own, so
    /// they are not used as samples.
    pub(crate) fn begin_step(&mut self, now: Timestamp) {
        self.was_stalled = self.next_round.is_some_and(|due| now - due > MAX_ROUND_DELAY);
    }

    /// Whether this process was stalled before the current step.
    pub(crate) fn was_stalled(&self) -> bool {
        self.was_stalled
    }

    /// Returns the round that is due, if any, and schedules the next one.
    pub(crate) fn take_round(&mut self, now: Timestamp) -> Option<HousekeepingRound> {
        if self.next_round.is_some_and(|due| now < due) {
            return None;
        }
        self.next_round = Some(now + self.interval);
        let ends_period = self.last_period_end.is_none_or(|end| now - end >= CONTROL_PERIOD);
        if ends_period {
            self.last_period_end = Some(now);
        }
        Some(HousekeepingRound { interval: self.interval, ends_period })
    }

    /// Whether to subscribe to the endpoint list now.
    pub(crate) fn take_subscription(&mut self, now: Timestamp) -> bool {
        self.subscribe_at.take_if(|at| *at <= now).is_some()
    }

    /// Schedules a new subscription after a call for the endpoint list has failed.
    pub(crate) fn on_endpoint_list_failed(&mut self, now: Timestamp) {
        self.subscribe_at = self.uses_subscription.then_some(now + RESUBSCRIBE_DELAY);
    }
}

#[cfg(test)]
mod tests;
