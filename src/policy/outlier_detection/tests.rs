//! Tests of ejection on own evidence, on gossip and for silence, and of readmission.

use super::*;
use crate::policy::class_estimates::ClassEstimates;
use crate::policy::load_evidence::{InFlightSurvey, LoadEvidence};
use crate::policy::tests::{at_ms, engines, request, settings};
use crate::state::{InFlightAttempt, RequestTable};

fn failed(is_outlier: bool) -> OutlierVerdict {
    OutlierVerdict::Failed { refused_connection: false, is_outlier }
}

#[test]
fn second_failure_or_a_refused_connection_makes_an_outlier() {
    let mut health = EngineHealth::default();
    assert_eq!(health.evaluate(Outcome::Error, at_ms(0)), failed(false));
    assert_eq!(health.evaluate(Outcome::Reset, at_ms(0)), failed(true));
    let refused = OutlierVerdict::Failed { refused_connection: true, is_outlier: true };
    assert_eq!(EngineHealth::default().evaluate(Outcome::ConnectFailed, at_ms(0)), refused);
    assert_eq!(EngineHealth::default().evaluate(Outcome::TimedOut, at_ms(0)), OutlierVerdict::NoFault);
}

#[test]
fn few_failures_among_successes_make_no_outlier() {
    let mut health = EngineHealth::default();
    (0..20).for_each(|_| assert_eq!(health.evaluate(Outcome::Ok, at_ms(0)), OutlierVerdict::NoFault));
    (0..5).for_each(|_| assert_eq!(health.evaluate(Outcome::Error, at_ms(0)), failed(false)));
}

#[test]
fn rejection_pauses_an_engine_briefly() {
    let mut health = EngineHealth::default();
    assert_eq!(health.evaluate(Outcome::Rejected, at_ms(0)), OutlierVerdict::AtCapacity);
    assert_eq!(health.exclusion(0, at_ms(99)), Some(ExclusionReason::Paused));
    assert_eq!(health.exclusion(0, at_ms(100)), None);
}

#[test]
fn ejections_double_and_end_in_probation() {
    let mut engines = engines(4);
    assert_eq!(eject(&mut engines, EngineId(0), at_ms(0)), Some(TimeSpan::from_millis(1000)));
    assert_eq!(eject(&mut engines, EngineId(0), at_ms(500)), None, "already ejected");
    assert_eq!(eject(&mut engines, EngineId(0), at_ms(1000)), Some(TimeSpan::from_millis(2000)));
    let health = &mut engines.get_mut(EngineId(0)).expect("listed").health;
    assert_eq!(health.exclusion(0, at_ms(2999)), Some(ExclusionReason::Ejected));
    assert_eq!(health.exclusion(0, at_ms(3000)), None);
    assert_eq!(health.exclusion(1, at_ms(3000)), Some(ExclusionReason::OnProbation));
    (0..3).for_each(|_| assert_eq!(health.evaluate(Outcome::Ok, at_ms(3000)), OutlierVerdict::NoFault));
    assert_eq!(health.exclusion(1, at_ms(3000)), None);
    assert_eq!(eject(&mut engines, EngineId(0), at_ms(4000)), Some(TimeSpan::from_millis(1000)));
}

#[test]
fn at_most_half_of_the_pool_is_ejected() {
    let mut engines = engines(4);
    let ejected = (0..4).filter(|id| eject(&mut engines, EngineId(*id), at_ms(0)).is_some()).count();
    assert_eq!(ejected, 2);
}

#[test]
fn gossip_ejects_one_engine_in_five_unless_it_has_just_served() {
    let mut engines = engines(5);
    let duration = TimeSpan::from_millis(3000);
    engines.get_mut(EngineId(0)).expect("listed").health.evaluate(Outcome::Ok, at_ms(0));
    (0..2).for_each(|id| eject_on_gossip(&mut engines, EngineId(id), duration, at_ms(0)));
    let exclusion =
        |id, millis| engines.get(EngineId(id)).expect("listed").health.exclusion(0, at_ms(millis));
    assert_eq!(exclusion(0, 500), None, "a recent success overrides gossip");
    assert_eq!(exclusion(0, 1000), Some(ExclusionReason::EjectedByGossip));
    assert_eq!(exclusion(1, 1000), None, "one of five engines is already ejected on gossip");
}

#[test]
fn engine_with_stalled_attempts_and_no_response_is_silent() {
    let (settings, mut engines, mut requests) = (settings(), engines(2), RequestTable::new(2));
    let (estimates, mut pool) = (ClassEstimates::new(&settings), LoadEvidence::new(2));
    let mut waiting = request(1, 0);
    waiting.in_flight = Some(InFlightAttempt::new(EngineId(1), 0, at_ms(0)));
    requests.add(waiting, false);
    let mut silent_at = |millis| {
        let survey = InFlightSurvey { now: at_ms(millis), settings: &settings, estimates: &estimates };
        survey.collect(&requests, &mut engines, &mut pool);
        silent_engines(&engines, at_ms(millis))
    };
    // The only attempt stalls after 900 ms; a single one counts as silence only after three times that.
    assert_eq!(silent_at(2700), []);
    assert_eq!(silent_at(2701), [EngineId(1)]);
}

#[test]
fn failure_counts_for_five_periods() {
    let second_failure_after = |periods| {
        let mut health = EngineHealth::default();
        health.evaluate(Outcome::Error, at_ms(0));
        (0..periods).for_each(|_| health.end_period());
        health.evaluate(Outcome::Error, at_ms(0))
    };
    assert_eq!(second_failure_after(5), failed(true));
    assert_eq!(second_failure_after(6), failed(false));
}
