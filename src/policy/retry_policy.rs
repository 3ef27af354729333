//! Retry policy: decides whether a request may have another attempt, enforces the retry budget, and decides
//! whether a running attempt is cancelled for a retry.
//!
//! Two rules are given: the retry budget, and that a request must not run twice unless its class allows it.
//! The rest is left to the implementation.

use super::class_estimates::ClassEstimates;
use super::gateway_counts::GatewayCounts;
use crate::interface::{
    DeduplicationScope, EngineEntry, ExclusionReason, Idempotency, RetryBudget as RetryBudgetSettings,
    Settings,
};
use crate::state::{EventWindow, InFlightAttempt, PossibleRun, RequestRecord};
use crate::time::{TimeSpan, Timestamp};

/// Projected remaining time, as a multiple of the class's usual time, above which a bad query plan is
/// assumed.
const BAD_PLAN_MULTIPLE: f64 = 4.0;
/// Projected remaining time, as a multiple of the time to the deadline, above which an attempt cannot finish
/// in time. It exceeds 1 because progress reports are imprecise.
const MISSED_DEADLINE_MULTIPLE: f64 = 1.5;
/// Time to the deadline, as a multiple of the usual execution time, above which a retry is worthwhile.
const MIN_RETRY_TIME_MULTIPLE: f64 = 1.5;
/// Number of attempts from which on one that cannot meet its deadline is not cancelled for a retry.
const MAX_CANCELLED_ATTEMPTS: u32 = 3;
/// Share of the retries after bad plans that must have run faster for further retries of that kind.
const MIN_RETRY_BENEFIT: f64 = 0.5;
/// Lower bound on the reported share of completed work, so that projections stay finite.
const MIN_DONE_SHARE: f64 = 1e-3;

/// Why a request may not have another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryRefusal {
    /// An attempt may have run, and the class is not idempotent.
    NotIdempotent,
    /// An attempt may have run, and engines may no longer remember its idempotency key.
    IdempotencyWindowOver,
    /// The request has reached the maximum number of attempts.
    AttemptsExhausted,
    /// The retry budget is exhausted.
    BudgetExhausted,
}

/// Decision about a running attempt after a progress report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ProgressVerdict {
    /// The attempt continues.
    Continue,
    /// The attempt is cancelled for a retry, if the retry rules allow one.
    CancelForRetry {
        /// Projected execution time of the attempt, in microseconds.
        projected_us: f64,
    },
    /// The attempt will miss its deadline by far, and a retry would not help.
    EndRequest,
}

/// Retry budget: in any window, retries are limited to a share of the requests plus a free allowance.
struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    requests: EventWindow,
    retries: EventWindow,
}

impl RetryBudget {
    /// Whether one more retry is within `free + ratio × requests in the window`. Always true without a
    /// configured budget.
    fn admits(&self, gateways: &GatewayCounts, now: Timestamp) -> bool {
        let Some(budget) = &self.settings else { return true };
        let since = now - TimeSpan::from(budget.window);
        let retries = self.retries.count_from(since) as f64;
        let requests = self.requests.count_after(since) as f64;
        let free = gateways.free_retries(budget.free_retries);
        retries + 1.0 <= free + budget.ratio * requests
    }

    fn expire(&mut self, now: Timestamp) {
        let since = self.settings.as_ref().map(|budget| now - TimeSpan::from(budget.window));
        self.requests.expire(since);
        self.retries.expire(since);
    }
}

/// Decides when a request may have another attempt.
pub(crate) struct RetryPolicy {
    max_attempts: u32,
    can_cancel: bool,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy from the settings, with an empty history.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            max_attempts: settings.limits.max_attempts,
            can_cancel: settings.limits.cancel,
            budget: RetryBudget {
                settings: settings.rules.retry_budget.clone(),
                requests: EventWindow::default(),
                retries: EventWindow::default(),
            },
        }
    }

    /// Records the arrival of a request.
    pub(crate) fn record_request(&mut self, now: Timestamp) {
        if self.budget.settings.is_some() {
            self.budget.requests.push(now);
        }
    }

    /// Records that a retry is sent.
    pub(crate) fn record_retry(&mut self, now: Timestamp) {
        self.budget.retries.push(now);
    }

    /// Drops events older than the budget window.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.budget.expire(now);
    }

    /// Number of events kept for the budget.
    pub(crate) fn tracked(&self) -> usize {
        self.budget.requests.len() + self.budget.retries.len()
    }

    /// Whether the budget allows one more retry.
    pub(crate) fn has_budget(&self, gateways: &GatewayCounts, now: Timestamp) -> bool {
        self.budget.admits(gateways, now)
    }

    /// Checks whether another attempt may be sent, assuming that the attempt in flight has run.
    ///
    /// # Errors
    /// Returns the reason why a retry is refused.
    pub(crate) fn check_retry(
        &self,
        request: &RequestRecord,
        idempotency: Idempotency,
        gateways: &GatewayCounts,
        now: Timestamp,
    ) -> Result<(), RetryRefusal> {
        let in_flight_since = request.in_flight.as_ref().map(|attempt| attempt.sent);
        let possible_run_at = request.possible_run.map(|run| run.sent).or(in_flight_since);
        check_rerun(idempotency, possible_run_at, now)?;
        if request.attempts >= self.max_attempts {
            return Err(RetryRefusal::AttemptsExhausted);
        }
        if self.budget.admits(gateways, now) { Ok(()) } else { Err(RetryRefusal::BudgetExhausted) }
    }

    /// Whether a request's attempt may be cancelled for a retry.
    pub(crate) fn may_cancel_for_retry(
        &self,
        request: &RequestRecord,
        idempotency: Idempotency,
        gateways: &GatewayCounts,
        now: Timestamp,
    ) -> bool {
        let is_running = request.in_flight.as_ref().is_some_and(|attempt| !attempt.cancelled);
        is_running
            && self.can_cancel
            && request.deadline > now
            && self.check_retry(request, idempotency, gateways, now).is_ok()
    }

    /// Evaluates a running attempt by the completed share of its query. With the elapsed time `e` and the
    /// completed share `d`, the projected total is `e / d`, of which `e / d (1 - d)` remains.
    ///
    /// - Bad plan: more than 4 usual execution times remain. A retry gets a new plan. A query that is
    ///   expensive in itself looks the same at first, so this reason cancels a request only once, and not in
    ///   a class where such retries have not helped.
    /// - Cannot finish: more than 1.5 times the time to the deadline remains, and the attempt is a retry. It
    ///   is cancelled again while the request has fewer than 3 attempts; otherwise the request is ended.
    ///
    /// Neither applies before the class's usual time is known. No attempt is cancelled for a retry with less
    /// than 1.5 usual execution times to the deadline.
    pub(crate) fn evaluate_progress(
        &self,
        request: &RequestRecord,
        attempt: &InFlightAttempt,
        done_share: f64,
        estimates: &ClassEstimates,
        now: Timestamp,
    ) -> ProgressVerdict {
        let class = request.arrival.class;
        let usual_us = estimates.execution_time(&request.arrival).as_micros_f64();
        let done_share = done_share.clamp(MIN_DONE_SHARE, 1.0);
        let projected_us = (now - attempt.sent).as_micros_f64() / done_share;
        let remaining_us = projected_us * (1.0 - done_share);
        let time_left_us = (request.deadline - now).as_micros_f64();
        let retry_helps = estimates.retry_benefit(class).is_none_or(|share| share > MIN_RETRY_BENEFIT);
        let is_bad_plan =
            retry_helps && request.bad_plan_time_us.is_none() && remaining_us > BAD_PLAN_MULTIPLE * usual_us;
        let cannot_finish = remaining_us > MISSED_DEADLINE_MULTIPLE * time_left_us && request.attempts > 1;
        let may_retry = is_bad_plan || cannot_finish && request.attempts < MAX_CANCELLED_ATTEMPTS;
        if attempt.cancelled || !estimates.is_execution_time_known(class) {
            ProgressVerdict::Continue
        } else if time_left_us > MIN_RETRY_TIME_MULTIPLE * usual_us && may_retry {
            ProgressVerdict::CancelForRetry { projected_us }
        } else if cannot_finish && self.can_cancel {
            ProgressVerdict::EndRequest
        } else {
            ProgressVerdict::Continue
        }
    }
}

/// Checks whether a request may run again on any engine, given when an attempt that may have run was sent.
fn check_rerun(
    idempotency: Idempotency,
    possible_run_at: Option<Timestamp>,
    now: Timestamp,
) -> Result<(), RetryRefusal> {
    match (idempotency, possible_run_at) {
        (Idempotency::Idempotent, _) | (_, None) => Ok(()),
        (Idempotency::NonIdempotent, Some(_)) => Err(RetryRefusal::NotIdempotent),
        (Idempotency::Keyed { window, .. }, Some(sent)) if now - sent < window.into() => Ok(()),
        (Idempotency::Keyed { .. }, Some(_)) => Err(RetryRefusal::IdempotencyWindowOver),
    }
}

/// Engines that a request may be sent to, given that an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryPlacement {
    /// Any engine.
    AnyEngine,
    /// Engines of one deduplication group, which discard the request if it has already run.
    SameGroup {
        /// What the deduplication groups are based on.
        scope: DeduplicationScope,
        /// The group; `None` if it is unknown, which excludes every engine.
        group: Option<u64>,
    },
    /// No engine.
    NoEngine(RetryRefusal),
}

impl RetryPlacement {
    /// Determines the placement from the class's idempotency and an earlier attempt that may have run.
    pub(super) fn new(idempotency: Idempotency, run: Option<PossibleRun>, now: Timestamp) -> Self {
        let Some(run) = run else { return Self::AnyEngine };
        match (check_rerun(idempotency, Some(run.sent), now), idempotency) {
            (Err(refusal), _) => Self::NoEngine(refusal),
            (Ok(()), Idempotency::Keyed { scope, .. }) if scope != DeduplicationScope::All => {
                Self::SameGroup { scope, group: run.group }
            }
            (Ok(()), _) => Self::AnyEngine,
        }
    }

    /// Why the request may not be sent to an engine; `None` if it may.
    pub(super) fn exclusion(&self, engine: &EngineEntry) -> Option<ExclusionReason> {
        match self {
            Self::AnyEngine => None,
            Self::SameGroup { scope, group } => {
                let is_same = group.is_some() && *group == scope.group(engine);
                (!is_same).then_some(ExclusionReason::OtherDeduplicationGroup)
            }
            Self::NoEngine(RetryRefusal::IdempotencyWindowOver) => {
                Some(ExclusionReason::IdempotencyWindowOver)
            }
            Self::NoEngine(_) => Some(ExclusionReason::RetryNotIdempotent),
        }
    }
}

/// Whether an attempt has missed its progress reports. Engines report on every running query, so the result
/// of an attempt without reports is lost, wherever the fault is.
pub(crate) fn is_lost(
    attempt: &InFlightAttempt,
    progress_report_timeout: Option<TimeSpan>,
    now: Timestamp,
) -> bool {
    progress_report_timeout.is_some_and(|limit| now - attempt.last_response > limit)
}

#[cfg(test)]
mod tests;
