//! Retry policy: whether another attempt may be sent for a request, its budget, and whether a running attempt
//! is cancelled for one.
//!
//! The design leaves retries to this program. The platform's rules are the budget, and that nothing may run
//! twice where the class does not allow it.

use super::class_estimates::ClassEstimates;
use super::gateway_counts::GatewayCounts;
use crate::interface::{
    DeduplicationScope, EngineEntry, ExclusionReason, Idempotency, RetryBudget as RetryBudgetSettings,
    Settings,
};
use crate::state::{EventWindow, InFlightAttempt, PossibleRun, RequestRecord};
use crate::time::{TimeSpan, Timestamp};

/// An attempt projected to need this many times its class's mean is taken for a bad plan.
const BAD_PLAN_MULTIPLE: f64 = 4.0;
/// An attempt projected to need this many times what its client will wait can't meet its deadline; progress
/// reports are rough.
const CANNOT_FINISH_MULTIPLE: f64 = 1.5;
/// A retry is worth it with this many times the usual execution time left.
const RETRY_TIME_MULTIPLE: f64 = 1.5;
/// Attempts after which one that can't meet its deadline is not cancelled for another.
const MAX_CANCELLED_ATTEMPTS: u32 = 3;
/// Share of the retries after bad plans that must have done better for more of them.
const MIN_RETRY_BENEFIT: f64 = 0.5;
/// Smallest share of a query that a progress report is taken for, so that projections stay finite.
const MIN_DONE_SHARE: f64 = 1e-3;

/// Why no further attempt may be sent for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryRefusal {
    /// An attempt may have run, and the class must not run twice.
    NotIdempotent,
    /// An attempt may have run, and engines may have forgotten its idempotency key.
    IdempotencyWindowOver,
    /// The request has had all its attempts.
    AttemptsUsed,
    /// The budget of retries is used up.
    BudgetUsed,
}

/// What is done about a running attempt after a progress report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ProgressVerdict {
    /// It goes on.
    Continue,
    /// It is cancelled for another, if the rules allow one.
    CancelForRetry {
        /// Projected time of the attempt in microseconds.
        projected_us: f64,
    },
    /// It will end long after its client has gone, and no other attempt would do better.
    EndRequest,
}

/// The rule of retries: in any window they are at most a share of the requests, and some free ones.
struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    requests: EventWindow,
    retries: EventWindow,
}

impl RetryBudget {
    /// Whether one more retry is within `free + ratio × requests in the window`. Always where there is no
    /// budget.
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

/// When another attempt may be sent.
pub(crate) struct RetryPolicy {
    max_attempts: u32,
    can_cancel: bool,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// The policy by the settings; nothing was sent yet.
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

    /// A request has arrived.
    pub(crate) fn record_request(&mut self, now: Timestamp) {
        if self.budget.settings.is_some() {
            self.budget.requests.push(now);
        }
    }

    /// A retry is sent.
    pub(crate) fn record_retry(&mut self, now: Timestamp) {
        self.budget.retries.push(now);
    }

    /// Forgets what lies before the window of the budget.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.budget.expire(now);
    }

    /// Number of events remembered.
    pub(crate) fn tracked(&self) -> usize {
        self.budget.requests.len() + self.budget.retries.len()
    }

    /// Whether the budget allows one more retry.
    pub(crate) fn has_budget(&self, gateways: &GatewayCounts, now: Timestamp) -> bool {
        self.budget.admits(gateways, now)
    }

    /// Whether another attempt could be sent, if what is in flight now had run.
    ///
    /// # Errors
    /// Why not.
    pub(crate) fn check_retry(
        &self,
        request: &RequestRecord,
        idempotency: Idempotency,
        gateways: &GatewayCounts,
        now: Timestamp,
    ) -> Result<(), RetryRefusal> {
        let in_flight_since = request.in_flight.as_ref().map(|attempt| attempt.sent);
        let ran_since = request.possible_run.map(|run| run.sent).or(in_flight_since);
        check_repetition(idempotency, ran_since, now)?;
        if request.attempts >= self.max_attempts {
            return Err(RetryRefusal::AttemptsUsed);
        }
        if self.budget.admits(gateways, now) { Ok(()) } else { Err(RetryRefusal::BudgetUsed) }
    }

    /// Whether a request's attempt may be cancelled for another.
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

    /// Evaluates a running attempt by the share of its query that is done. With the elapsed time `e` and the
    /// share `d` it is projected to take `e / d`, so `e / d (1 - d)` remains.
    ///
    /// - A bad plan: more remains than 4 usual execution times. A retry draws a new plan. A query costly in
    ///   itself looks the same at first, so a request is cancelled for that once only, and not where it has
    ///   not helped.
    /// - It cannot finish: more remains than 1.5 times what its client will wait, and it is a retry already.
    ///   It is cancelled again, up to 3 attempts, or the request is ended.
    ///
    /// Neither is evaluated before the class's usual time is known, and no attempt is cancelled with less
    /// than 1.5 usual execution times left.
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
        let cannot_finish = remaining_us > CANNOT_FINISH_MULTIPLE * time_left_us && request.attempts > 1;
        let may_retry = is_bad_plan || cannot_finish && request.attempts < MAX_CANCELLED_ATTEMPTS;
        if attempt.cancelled || !estimates.is_execution_time_known(class) {
            ProgressVerdict::Continue
        } else if time_left_us > RETRY_TIME_MULTIPLE * usual_us && may_retry {
            ProgressVerdict::CancelForRetry { projected_us }
        } else if cannot_finish && self.can_cancel {
            ProgressVerdict::EndRequest
        } else {
            ProgressVerdict::Continue
        }
    }
}

/// Whether a request that may have run since an instant may run again, at some engine.
fn check_repetition(
    idempotency: Idempotency,
    ran_since: Option<Timestamp>,
    now: Timestamp,
) -> Result<(), RetryRefusal> {
    match (idempotency, ran_since) {
        (Idempotency::Idempotent, _) | (_, None) => Ok(()),
        (Idempotency::NonIdempotent, Some(_)) => Err(RetryRefusal::NotIdempotent),
        (Idempotency::Keyed { window, .. }, Some(sent)) if now - sent < window.into() => Ok(()),
        (Idempotency::Keyed { .. }, Some(_)) => Err(RetryRefusal::IdempotencyWindowOver),
    }
}

/// Where a request may be sent, as far as an attempt of it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RepetitionRule {
    /// To any engine.
    AnyEngine,
    /// To the engines of one deduplication group, which drop the request if it did run.
    OneGroup {
        /// What the groups go by.
        scope: DeduplicationScope,
        /// The group; `None` where it is not known, and no engine may get the request.
        group: Option<u64>,
    },
    /// To no engine.
    NoEngine(RetryRefusal),
}

impl RepetitionRule {
    /// The rule for a request of a class, of which this run is possible.
    pub(super) fn new(idempotency: Idempotency, run: Option<PossibleRun>, now: Timestamp) -> Self {
        let Some(run) = run else { return Self::AnyEngine };
        match (check_repetition(idempotency, Some(run.sent), now), idempotency) {
            (Err(refusal), _) => Self::NoEngine(refusal),
            (Ok(()), Idempotency::Keyed { scope, .. }) if scope != DeduplicationScope::All => {
                Self::OneGroup { scope, group: run.group }
            }
            (Ok(()), _) => Self::AnyEngine,
        }
    }

    /// Why an engine may not get the request; `None` if it may.
    pub(super) fn exclusion(&self, engine: &EngineEntry) -> Option<ExclusionReason> {
        match self {
            Self::AnyEngine => None,
            Self::OneGroup { scope, group } => {
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

/// Whether an attempt has missed its progress reports. Engines report on all that runs: the end of an attempt
/// that misses them is lost, wherever it is.
pub(crate) fn is_lost(
    attempt: &InFlightAttempt,
    missed_reports_after: Option<TimeSpan>,
    now: Timestamp,
) -> bool {
    missed_reports_after.is_some_and(|limit| now - attempt.last_response > limit)
}

#[cfg(test)]
mod tests;
