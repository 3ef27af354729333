//! Tests of the memory and the priority granted to attempts.

use super::*;
use crate::interface::{EngineId, ResourceUsage};
use crate::policy::class_estimates::CompletedQuery;
use crate::policy::tests::{at_ms, request, settings};
use crate::state::InFlightAttempt;
use crate::time::TimeSpan;
use std::time::Duration;

fn estimates_after(completions: usize, settings: &Settings) -> ClassEstimates {
    let mut estimates = ClassEstimates::new(settings);
    let query = CompletedQuery {
        class: ClassId(0),
        execution_time: TimeSpan::from_millis(10),
        usage: Some(ResourceUsage { work: Duration::from_millis(10), memory_mb: 30.0 }),
        memory_estimate_mb: Some(10.0),
        bad_plan_time_us: None,
    };
    for _ in 0..completions {
        estimates.record_completion(&query, at_ms(0));
    }
    estimates
}

#[test]
fn memory_grant_corrects_the_estimate_by_what_the_class_uses() {
    let mut settings = settings();
    settings.engine.grants = true;
    let mut next = request(1, 0);
    next.arrival.memory_mb = Some(100.0);
    assert_eq!(next_grant(&next, &settings, &estimates_after(11, &settings)), None, "too few samples");
    let grant = next_grant(&next, &settings, &estimates_after(12, &settings)).expect("a grant");
    assert!(grant.memory_mb.is_some_and(|memory| (memory - 300.0).abs() < 1e-3), "{grant:?}");
}

#[test]
fn class_of_the_highest_value_density_gets_a_higher_priority_once() {
    let mut settings = settings();
    settings.engine.priorities = true;
    let estimates = estimates_after(1, &settings);
    let mut next = request(1, 0);
    let grant = next_grant(&next, &settings, &estimates).expect("a grant");
    assert_eq!(grant, ResourceGrant { memory_mb: None, priority: Priority::HIGH });
    next.priority = grant.priority;
    assert_eq!(next_grant(&next, &settings, &estimates), None, "the priority is already granted");
    assert_eq!(next_grant(&request(2, 1), &settings, &estimates), None);
}

#[test]
fn abandoned_attempt_is_demoted_only_where_it_cannot_be_cancelled() {
    let mut settings = settings();
    settings.engine.priorities = true;
    let mut running = request(1, 0);
    assert!(!should_demote(&running, &settings), "nothing is in flight");
    running.in_flight = Some(InFlightAttempt::new(EngineId(0), 0, at_ms(0)));
    assert!(should_demote(&running, &settings));
    settings.limits.cancel = true;
    assert!(!should_demote(&running, &settings));
}

#[test]
fn bulk_loads_get_a_higher_priority() {
    let mut settings = settings();
    settings.engine.priorities = true;
    settings.classes[1].is_load = true;
    let grant = next_grant(&request(1, 1), &settings, &estimates_after(1, &settings)).expect("a grant");
    assert_eq!(grant.priority, Priority::HIGH);
}
