//! Load shedding: which requests have waited too long, which attempts are overdue, and what may be rejected.
//!
//! The design leaves refusals to this program: the paper assumes that there is no overload, so that nothing
//! need be dropped (section 6.2).

use super::class_estimates::ClassEstimates;
use super::load_evidence::missed_reports_after;
use super::retry_policy::is_lost;
use crate::interface::{DeduplicationScope, Idempotency, Settings};
use crate::state::RequestRecord;
use crate::time::{TimeSpan, Timestamp};

/// Share of the wait until its dispatch target after which a waiting request is rejected rather than served
/// late.
const MAX_WAIT_SHARE: f64 = 0.7;
/// A client's own retry has waited before, in its first request: its wait is divided by this.
const CLIENT_RETRY_DIVISOR: f64 = 2.0;
/// A request waits for at least one over this of its objective. Half of the objective scored 0.77 (0.80).
const MIN_WAIT_DIVISOR: i64 = 4;

/// What becomes of a request in a round of housekeeping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReviewVerdict {
    /// Nothing.
    Keep,
    /// It gets its final answer.
    Answer,
    /// Its deadline is near: its attempt goes on at the lowest priority.
    Demote,
    /// Its attempt is lost: it is cancelled for another.
    Retry,
}

/// A review of the open requests, in each round of housekeeping.
pub(crate) struct RequestReview<'a> {
    settings: &'a Settings,
    estimates: &'a ClassEstimates,
    /// The largest value density of all classes.
    max_value_density: f64,
    /// Time until the next round.
    round: TimeSpan,
    /// Time without a progress report after which an attempt is lost; `None` if that can't be known.
    missed_reports_after: Option<TimeSpan>,
    now: Timestamp,
}

impl<'a> RequestReview<'a> {
    /// A review at an instant, some rounds apart. A process that was stalled itself cannot know what is lost.
    pub(crate) fn new(
        settings: &'a Settings,
        estimates: &'a ClassEstimates,
        round: TimeSpan,
        was_stalled: bool,
        now: Timestamp,
    ) -> Self {
        let missed_reports_after = missed_reports_after(settings).filter(|_| !was_stalled);
        let max_value_density = estimates.max_value_density();
        Self { settings, estimates, max_value_density, round, missed_reports_after, now }
    }

    /// What becomes of a request: a waiting one is answered two rounds before its deadline or once it has
    /// waited too long; an attempt is demoted two rounds before the deadline, and answered a tick after it.
    pub(crate) fn verdict(&self, request: &RequestRecord) -> ReviewVerdict {
        let is_near_deadline = request.deadline <= self.now + self.round * 2;
        let is_overdue = request.deadline + self.settings.tick.into() < self.now;
        match &request.in_flight {
            None if is_near_deadline || self.has_waited_too_long(request) => ReviewVerdict::Answer,
            Some(_) if is_overdue => ReviewVerdict::Answer,
            Some(_) if is_near_deadline => ReviewVerdict::Demote,
            Some(attempt) if is_lost(attempt, self.missed_reports_after, self.now) => ReviewVerdict::Retry,
            _ => ReviewVerdict::Keep,
        }
    }

    /// A waiting request that has used up most of its wait: it would be late, and those behind it as well.
    ///
    /// With the wait `w` from arrival to dispatch target (at least a quarter of the objective or of the
    /// client's patience), it has waited too long after `0.7 w / (r c)`: `r` is 2 for a client's own retry,
    /// which has waited before, else 1; `c` is its estimated work over the usual estimate, at least 1, as
    /// what costs more takes more from those in the queue.
    ///
    /// Acts only where a late answer of its class has a lower value density than some class's answer in time,
    /// and where it may be rejected. Guards against overload of any cause. Costs answers where a burst would
    /// have passed within the wait. The least wait is there because a class whose mean is near its objective
    /// has targets in the past, and a moment without capacity is no overload.
    fn has_waited_too_long(&self, request: &RequestRecord) -> bool {
        let class = request.arrival.class;
        let settings = &self.settings.classes[class.0];
        let retry_divisor = if request.arrival.is_retry { CLIENT_RETRY_DIVISOR } else { 1.0 };
        let relative_work = match (self.estimates.usual_estimate_us(class), request.arrival.work) {
            (Some(usual_us), Some(work)) => TimeSpan::from(work).as_micros_f64() / usual_us.max(1.0),
            _ => 1.0,
        };
        let patience = request.deadline - request.arrived;
        let min_wait = TimeSpan::from(settings.latency_objective).min(patience) / MIN_WAIT_DIVISOR;
        let wait = (request.dispatch_target - request.arrived).max(min_wait);
        let max_wait_us = wait.as_micros_f64() * MAX_WAIT_SHARE / (retry_divisor * relative_work.max(1.0));
        let late_value_density = self.estimates.value_density(class) * settings.late_weight;
        late_value_density < self.max_value_density
            && may_reject(request, settings.idempotency)
            && (self.now - request.arrived).as_micros_f64() > max_wait_us
    }
}

/// Whether a request may be rejected. A rejection promises that a retry is harmless: only where no effect can
/// come of the request, or every engine would drop the retry.
pub(crate) fn may_reject(request: &RequestRecord, idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
        _ => request.possible_run.is_none() && request.in_flight.is_none(),
    }
}

#[cfg(test)]
mod tests;
