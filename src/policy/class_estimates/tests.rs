//! Estimates of a class from its completions.

use super::*;
use crate::policy::tests::{at_ms, settings};
use std::time::Duration;

fn served(millis: i64) -> CompletedQuery {
    CompletedQuery {
        class: ClassId(0),
        execution_time: TimeSpan::from_millis(millis),
        usage: None,
        memory_estimate_mb: None,
        bad_plan_time_us: None,
    }
}

#[test]
fn execution_time_comes_from_estimate_then_from_completions() {
    let mut estimates = ClassEstimates::new(&settings());
    let mut arrival = Arrival::new(crate::interface::RequestId(1), ClassId(1), Duration::from_secs(1));
    assert_eq!(estimates.execution_time(&arrival), TimeSpan::from_millis(1500), "half of the objective");
    arrival.work = Some(Duration::from_millis(800));
    assert_eq!(
        estimates.execution_time(&arrival),
        TimeSpan::from_millis(200),
        "work divided by four threads"
    );
    estimates.record_completion(&CompletedQuery { class: ClassId(1), ..served(40) }, at_ms(0));
    assert_eq!(estimates.execution_time(&arrival), TimeSpan::from_millis(40));
}

#[test]
fn completions_above_four_times_the_mean_are_clipped() {
    let mut estimates = ClassEstimates::new(&settings());
    for _ in 0..6 {
        estimates.record_completion(&served(10), at_ms(0));
    }
    let sample = estimates.record_completion(&served(3000), at_ms(0));
    assert!((sample.objective_ratio - 40.0 / 300.0).abs() < 1e-9, "{}", sample.objective_ratio);
    assert!(sample.slowdown.is_some_and(|slowdown| slowdown <= 4.0));
}

#[test]
fn reported_work_yields_the_slowdown_of_a_single_query() {
    let mut estimates = ClassEstimates::new(&settings());
    let usage = Some(ResourceUsage { work: Duration::from_millis(20), memory_mb: 1.0 });
    let sample = estimates.record_completion(&CompletedQuery { usage, ..served(60) }, at_ms(0));
    assert_eq!(sample.slowdown, Some(3.0));
}

#[test]
fn value_density_is_priority_weight_over_usual_work() {
    let estimates = ClassEstimates::new(&settings());
    assert_eq!(estimates.value_density(ClassId(0)), 1.0 / 150_000.0);
    assert_eq!(estimates.value_density(ClassId(1)), 10.0 / 6_000_000.0);
    assert!(estimates.has_max_value_density(ClassId(0)) && !estimates.has_max_value_density(ClassId(1)));
}

#[test]
fn restored_statistics_are_a_prior_with_few_samples() {
    let mut estimates = ClassEstimates::new(&settings());
    let mean = SampledMean { mean: 80_000.0, samples: 500.0 };
    let stats = ClassLatencyStats { execution_time: mean, work_per_thread: mean };
    estimates.restore(&[Some(stats), None]);
    assert_eq!(estimates.stats()[0].execution_time.samples, MAX_PRIOR_SAMPLES);
    estimates
        .restore(&[Some(ClassLatencyStats { execution_time: SampledMean { mean: 1.0, ..mean }, ..stats })]);
    assert_eq!(estimates.stats()[0].execution_time.mean, 80_000.0, "existing samples are not replaced");
}

#[test]
fn unloaded_time_falls_immediately_and_rises_slowly() {
    let mut estimates = ClassEstimates::new(&settings());
    let unloaded_us = |estimates: &ClassEstimates| estimates.unloaded_time_us(ClassId(0)).expect("known");
    for _ in 0..100 {
        estimates.record_completion(&served(10), at_ms(0));
    }
    estimates.record_completion(&served(30), at_ms(0));
    assert_eq!(unloaded_us(&estimates), 10_000.0);
    estimates.end_period();
    assert!((unloaded_us(&estimates) - 10_030.0).abs() < 1e-6, "0.3% per control period");
    for _ in 0..100 {
        estimates.record_completion(&served(5), at_ms(0));
    }
    assert!(unloaded_us(&estimates) < 8000.0);
}
