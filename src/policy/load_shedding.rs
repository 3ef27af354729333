//! Load shedding: which requests have waited too long, which attempts are overdue, and which requests may be
//! rejected.
//!
//! The design leaves rejections to this program: the paper assumes that there is no overload, so that nothing
//! needs to be dropped (section 6.2).

use super::class_estimates::ClassEstimates;
use super::load_evidence::progress_report_timeout;
use super::retry_policy::is_lost;
use crate::interface::{DeduplicationScope, Idempotency, Settings};
use crate::state::RequestRecord;
use crate::time::{TimeSpan, Timestamp};

/// Share of the time until its dispatch target after which a waiting request is rejected instead of being
/// served late.
const MAX_WAIT_SHARE: f64 = 0.7;
/// Divisor of the permitted wait of a client's own retry, which has already waited as an earlier request.
const CLIENT_RETRY_DIVISOR: f64 = 2.0;
/// The time until the dispatch target is taken as at least the objective divided by this.
const MIN_WAIT_DIVISOR: i64 = 4;

/// What to do with a request in a round of housekeeping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReviewDecision {
    /// Nothing.
    Keep,
    /// Give it its final answer.
    Answer,
    /// The deadline is near: continue its attempt at the lowest priority.
    Demote,
    /// The attempt is lost: cancel it for another.
    Retry,
}

/// Review of the open requests, in each round of housekeeping.
pub(crate) struct RequestReview<'a> {
    settings: &'a Settings,
    estimates: &'a ClassEstimates,
    /// Highest value density of all classes.
    max_value_density: f64,
    /// Time until the next round.
    round_interval: TimeSpan,
    /// Time without a progress report after which an attempt is lost; `None` if that cannot be determined.
    progress_report_timeout: Option<TimeSpan>,
    now: Timestamp,
}

impl<'a> RequestReview<'a> {
    /// Review at a given time. A process that was stalled itself cannot determine which attempts are lost.
    pub(crate) fn new(
        settings: &'a Settings,
        estimates: &'a ClassEstimates,
        round_interval: TimeSpan,
        was_stalled: bool,
        now: Timestamp,
    ) -> Self {
        let progress_report_timeout = progress_report_timeout(settings).filter(|_| !was_stalled);
        let max_value_density = estimates.max_value_density();
        Self { settings, estimates, max_value_density, round_interval, progress_report_timeout, now }
    }

    /// Decides what to do with a request. A waiting one is answered two rounds before its deadline, or once
    /// it has waited too long. An attempt in flight is demoted two rounds before the deadline, and answered a
    /// tick after it.
    pub(crate) fn decide(&self, request: &RequestRecord) -> ReviewDecision {
        let is_near_deadline = request.deadline <= self.now + self.round_interval * 2;
        let is_overdue = request.deadline + self.settings.tick.into() < self.now;
        match &request.in_flight {
            None if is_near_deadline || self.has_waited_too_long(request) => ReviewDecision::Answer,
            Some(_) if is_overdue => ReviewDecision::Answer,
            Some(_) if is_near_deadline => ReviewDecision::Demote,
            Some(attempt) if is_lost(attempt, self.progress_report_timeout, self.now) => {
                ReviewDecision::Retry
            }
            _ => ReviewDecision::Keep,
        }
    }

    /// Whether a waiting request has used up most of its wait, so that it and those behind it would be late.
    ///
    /// With the wait `w` from arrival to dispatch target (at least a quarter of the objective or of the
    /// client's timeout, whichever is shorter), it has waited too long after `0.7 w / (r c)`. Here `r` is 2
    /// for a client's own retry, which has already waited, else 1; `c` is its estimated work over the mean
    /// estimate of its class, at least 1, because an expensive request takes more from those in the queue.
    ///
    /// Applies only if the request may be rejected and late answers of its class have a lower value density
    /// than timely answers of some class. Protects against overload of any cause, at the cost of rejecting
    /// requests in bursts that would have passed within the wait. The minimum wait exists because the targets
    /// of a class whose mean is near its objective are already past on arrival, and a moment without capacity
    /// is not overload.
    fn has_waited_too_long(&self, request: &RequestRecord) -> bool {
        let class = request.arrival.class;
        let settings = &self.settings.classes[class.0];
        let retry_divisor = if request.arrival.is_retry { CLIENT_RETRY_DIVISOR } else { 1.0 };
        let relative_work = match (self.estimates.mean_estimated_work_us(class), request.arrival.work) {
            (Some(mean_us), Some(work)) => TimeSpan::from(work).as_micros_f64() / mean_us.max(1.0),
            _ => 1.0,
        };
        let client_timeout = request.deadline - request.arrived;
        let min_wait = TimeSpan::from(settings.latency_objective).min(client_timeout) / MIN_WAIT_DIVISOR;
        let wait = (request.dispatch_target - request.arrived).max(min_wait);
        let max_wait_us = wait.as_micros_f64() * MAX_WAIT_SHARE / (retry_divisor * relative_work.max(1.0));
        let late_value_density = self.estimates.value_density(class) * settings.late_weight;
        late_value_density < self.max_value_density
            && may_reject(request, settings.idempotency)
            && (self.now - request.arrived).as_micros_f64() > max_wait_us
    }
}

/// Whether a request may be rejected. A rejection promises that a retry is safe: that holds only if no
/// attempt of the request can have run, or if a repeated run is harmless or every engine would drop it.
pub(crate) fn may_reject(request: &RequestRecord, idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
        _ => request.possible_run.is_none() && request.in_flight.is_none(),
    }
}

#[cfg(test)]
mod tests;
