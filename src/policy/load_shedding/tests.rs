//! Which requests are rejected in time, and which are never rejected.

use super::*;
use crate::interface::EngineId;
use crate::policy::tests::{at_ms, request, settings};
use crate::state::{InFlightAttempt, PossibleRun};

fn decide(request: &RequestRecord, settings: &Settings, millis: i64) -> ReviewDecision {
    let estimates = ClassEstimates::new(settings);
    let round_interval = TimeSpan::from_millis(20);
    RequestReview::new(settings, &estimates, round_interval, false, at_ms(millis)).decide(request)
}

#[test]
fn waiting_request_is_answered_after_most_of_its_wait() {
    let settings = settings();
    // 0.7 of the 200 ms until its dispatch target; half of that for a client's own retry.
    assert_eq!(decide(&request(1, 0), &settings, 140), ReviewDecision::Keep);
    assert_eq!(decide(&request(1, 0), &settings, 141), ReviewDecision::Answer);
    let mut client_retry = request(1, 0);
    client_retry.arrival.is_retry = true;
    assert_eq!(decide(&client_retry, &settings, 71), ReviewDecision::Answer);
}

#[test]
fn request_with_a_past_target_on_arrival_still_waits() {
    let mut late = request(1, 0);
    late.dispatch_target = at_ms(-500);
    // 0.7 of a quarter of the objective of 300 ms.
    assert_eq!(decide(&late, &settings(), 52), ReviewDecision::Keep);
    assert_eq!(decide(&late, &settings(), 53), ReviewDecision::Answer);
}

#[test]
fn class_with_full_late_weight_waits_until_its_deadline() {
    let mut settings = settings();
    settings.classes[0].late_weight = 1.0;
    assert_eq!(decide(&request(1, 0), &settings, 2959), ReviewDecision::Keep);
    assert_eq!(decide(&request(1, 0), &settings, 2960), ReviewDecision::Answer);
}

#[test]
fn attempt_in_flight_is_demoted_near_the_deadline_and_answered_after_it() {
    let mut settings = settings();
    settings.engine.progress_interval = Some(std::time::Duration::from_millis(200));
    let mut running = request(1, 0);
    running.in_flight = Some(InFlightAttempt::new(EngineId(0), 0, at_ms(0)));
    assert_eq!(decide(&running, &settings, 500), ReviewDecision::Keep);
    assert_eq!(decide(&running, &settings, 501), ReviewDecision::Retry, "its progress reports are missing");
    assert_eq!(decide(&running, &settings, 2960), ReviewDecision::Demote);
    assert_eq!(decide(&running, &settings, 3006), ReviewDecision::Answer);
}

#[test]
fn request_that_may_have_run_is_rejected_only_if_a_retry_is_harmless() {
    let mut may_have_run = request(1, 0);
    may_have_run.possible_run = Some(PossibleRun { group: Some(1), sent: at_ms(0) });
    let keyed = |scope| Idempotency::Keyed { scope, window: std::time::Duration::from_secs(1) };
    assert!(may_reject(&may_have_run, Idempotency::Idempotent));
    assert!(may_reject(&may_have_run, keyed(DeduplicationScope::All)));
    assert!(!may_reject(&may_have_run, keyed(DeduplicationScope::Zone)));
    assert!(!may_reject(&may_have_run, Idempotency::NonIdempotent));
    assert!(may_reject(&request(1, 0), Idempotency::NonIdempotent));
}
