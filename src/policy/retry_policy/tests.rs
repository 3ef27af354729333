//! Tests of whether a retry is allowed, and of the decisions on progress reports.

use super::*;
use crate::interface::{ClassId, EngineId, ZoneId};
use crate::policy::class_estimates::CompletedQuery;
use crate::policy::tests::{at_ms, request, settings};
use std::time::Duration;

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed { scope, window: Duration::from_millis(500) }
}

fn running(attempts: u32) -> RequestRecord {
    let mut running = request(1, 0);
    running.attempts = attempts;
    running.in_flight = Some(InFlightAttempt::new(EngineId(0), attempts - 1, at_ms(0)));
    running
}

fn check(idempotency: Idempotency, attempts: u32, millis: i64) -> Result<(), RetryRefusal> {
    let policy = RetryPolicy::new(&settings());
    policy.check_retry(&running(attempts), idempotency, &GatewayCounts::new(1), at_ms(millis))
}

#[test]
fn retry_is_refused_by_idempotency_and_number_of_attempts() {
    assert_eq!(check(Idempotency::Idempotent, 2, 0), Ok(()));
    assert_eq!(check(Idempotency::Idempotent, 3, 0), Err(RetryRefusal::AttemptsExhausted));
    assert_eq!(check(Idempotency::NonIdempotent, 1, 0), Err(RetryRefusal::NotIdempotent));
    assert_eq!(check(keyed(DeduplicationScope::All), 1, 499), Ok(()));
    assert_eq!(check(keyed(DeduplicationScope::All), 1, 500), Err(RetryRefusal::IdempotencyWindowOver));
}

#[test]
fn retry_at_another_group_is_not_deduplicated() {
    let run = Some(PossibleRun { group: Some(3), sent: at_ms(0) });
    let exclusion = |scope, run, zone: Option<usize>| {
        let engine = EngineEntry { zone: zone.map(ZoneId), ..EngineEntry::new(EngineId(0)) };
        RetryPlacement::new(keyed(scope), run, at_ms(0)).exclusion(&engine)
    };
    let other_group = Some(ExclusionReason::OtherDeduplicationGroup);
    assert_eq!(exclusion(DeduplicationScope::Zone, run, Some(3)), None);
    assert_eq!(exclusion(DeduplicationScope::Zone, run, Some(4)), other_group);
    assert_eq!(exclusion(DeduplicationScope::Zone, run, None), other_group);
    assert_eq!(exclusion(DeduplicationScope::All, run, None), None);
    assert_eq!(exclusion(DeduplicationScope::Zone, None, None), None, "no attempt may have run");
    let unknown_group = Some(PossibleRun { group: None, sent: at_ms(0) });
    assert_eq!(
        exclusion(DeduplicationScope::Zone, unknown_group, None),
        other_group,
        "two unknown groups may differ"
    );
}

#[test]
fn budget_allows_free_retries_and_a_share_of_the_requests_in_the_window() {
    let mut settings = settings();
    let window = Duration::from_secs(1);
    settings.rules.retry_budget = Some(RetryBudgetSettings { free_retries: 1.0, ratio: 0.5, window });
    let (mut policy, gateways) = (RetryPolicy::new(&settings), GatewayCounts::new(1));
    (0..2).for_each(|_| policy.record_request(at_ms(0)));
    for _ in 0..2 {
        assert!(policy.has_budget(&gateways, at_ms(0)));
        policy.record_retry(at_ms(0));
    }
    assert!(!policy.has_budget(&gateways, at_ms(0)));
    let refused = policy.check_retry(&running(1), Idempotency::Idempotent, &gateways, at_ms(0));
    assert_eq!(refused, Err(RetryRefusal::BudgetExhausted));
    policy.expire(at_ms(1001));
    assert_eq!(policy.tracked(), 0);
    assert!(policy.has_budget(&gateways, at_ms(1001)), "the free retry is available again");
}

#[test]
fn progress_far_behind_the_class_is_cancelled_once() {
    let mut settings = settings();
    settings.limits.cancel = true;
    let (policy, mut estimates) = (RetryPolicy::new(&settings), ClassEstimates::new(&settings));
    let verdict = |running: &RequestRecord, done, estimates: &ClassEstimates| {
        let attempt = running.in_flight.as_ref().expect("in flight");
        policy.evaluate_progress(running, attempt, done, estimates, at_ms(100))
    };
    assert_eq!(
        verdict(&running(1), 0.1, &estimates),
        ProgressVerdict::Continue,
        "the usual execution time is unknown"
    );
    let (class, execution_time) = (ClassId(0), TimeSpan::from_millis(100));
    let (usage, memory_estimate_mb, bad_plan_time_us) = (None, None, None);
    let query = CompletedQuery { class, execution_time, usage, memory_estimate_mb, bad_plan_time_us };
    for _ in 0..6 {
        estimates.record_completion(&query, at_ms(0));
    }
    assert_eq!(verdict(&running(1), 0.5, &estimates), ProgressVerdict::Continue);
    let projected_us = 1e6;
    assert_eq!(verdict(&running(1), 0.1, &estimates), ProgressVerdict::CancelForRetry { projected_us });
    let mut cancelled_before = running(1);
    cancelled_before.bad_plan_time_us = Some(1e6);
    assert_eq!(verdict(&cancelled_before, 0.1, &estimates), ProgressVerdict::Continue);
    assert_eq!(
        verdict(&running(3), 0.001, &estimates),
        ProgressVerdict::CancelForRetry { projected_us: 1e8 }
    );
    let mut third = running(3);
    third.bad_plan_time_us = Some(1e6);
    assert_eq!(
        verdict(&third, 0.001, &estimates),
        ProgressVerdict::EndRequest,
        "the third attempt cannot finish in time"
    );
}

#[test]
fn attempt_without_reports_is_lost() {
    let attempt = InFlightAttempt::new(EngineId(0), 0, at_ms(0));
    let limit = Some(TimeSpan::from_millis(500));
    assert!(!is_lost(&attempt, limit, at_ms(500)) && is_lost(&attempt, limit, at_ms(501)));
    assert!(!is_lost(&attempt, None, at_ms(9000)), "engines do not send progress reports");
}
