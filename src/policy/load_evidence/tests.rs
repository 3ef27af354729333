//! Load evidence, and the slowdown of an engine.

use super::*;
use crate::interface::EngineId;
use crate::policy::tests::{at_ms, engines, request, settings};

fn sample(objective_ratio: f64, slowdown: f64) -> CompletionSample {
    CompletionSample { objective_ratio, slowdown: Some(slowdown) }
}

#[test]
fn end_of_a_period_retains_more_of_few_samples_than_of_many() {
    let mut evidence = LoadEvidence::new(2);
    (0..8).for_each(|_| evidence.record_completion(ClassId(0), &sample(2.0, 1.0)));
    (0..4).for_each(|_| evidence.record_completion(ClassId(1), &sample(2.0, 1.0)));
    evidence.end_period();
    assert_eq!(evidence.objective_ratio(0).samples, 2.0);
    assert_eq!(evidence.objective_ratio(1).samples, 3.0);
}

#[test]
fn survey_finds_stalled_attempts_and_ages_above_the_objective() {
    let (settings, mut engines) = (settings(), engines(1));
    let (estimates, mut pool) = (ClassEstimates::new(&settings), LoadEvidence::new(2));
    let mut requests = RequestTable::new(2);
    for id in 0..2 {
        let mut waiting = request(id, 0);
        waiting.in_flight = Some(InFlightAttempt::new(EngineId(0), 0, at_ms(0)));
        waiting.streaming = id == 1;
        requests.add(waiting, false);
    }
    let mut survey_at = |millis| {
        let survey = InFlightSurvey { now: at_ms(millis), settings: &settings, estimates: &estimates };
        survey.collect(&requests, &mut engines, &mut pool);
        let load = &engines.get(EngineId(0)).expect("listed").load;
        (load.objective_ratio(0).samples, load.stalled())
    };
    assert_eq!(survey_at(300), (0.0, None));
    let threshold = TimeSpan::from_millis(900);
    let stalled = Some(StalledAttempts { count: 1, threshold });
    assert_eq!(
        survey_at(901),
        (1.0, stalled),
        "six times half of the objective; streaming requests are skipped"
    );
    assert_eq!(pool.objective_ratio(0).samples, 1.0);
}

#[test]
fn observed_slowdown_decays_towards_the_mean_of_the_pool() {
    let prior = SlowdownPrior { pool_slowdown: 1.0, time_constant_us: 1e6 };
    let mut observed = ObservedSlowdown::default();
    assert_eq!(observed.estimate(&prior, at_ms(0)), 1.0);
    observed.observe(5.0, &prior, at_ms(0));
    assert_eq!(observed.estimate(&prior, at_ms(0)), 3.0, "one observation counts half");
    let decayed = observed.estimate(&prior, at_ms(1000));
    assert!((decayed - (1.0 + 2.0 / std::f64::consts::E)).abs() < 1e-9, "{decayed}");
    observed.observe_gossip(8.0, &prior, at_ms(999));
    assert_eq!(observed.estimate(&prior, at_ms(0)), 3.0, "this gateway has a recent observation of its own");
}

#[test]
fn utilization_is_that_of_the_busiest_resource() {
    let report = LoadReport { cpu: Some(0.4), disk: Some(0.75), ..LoadReport::default() };
    assert_eq!(reported_utilization(&report), Some(0.75));
    assert_eq!(reported_utilization(&LoadReport::default()), None);
    assert_eq!(slowdown_at_utilization(0.75), 4.0);
    assert!((slowdown_at_utilization(1.0) - 10.0).abs() < 1e-9);
}
