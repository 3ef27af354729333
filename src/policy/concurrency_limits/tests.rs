//! Initial limit, cut, raise and minimum; and when the limits bind.

use super::*;
use crate::interface::{ClassId, EngineId, RequestId};
use crate::policy::class_estimates::CompletionSample;
use crate::policy::tests::{at_ms, engine, engines};

fn completions(evidence: &mut LoadEvidence, objective_ratio: f64, slowdown: f64) {
    let sample = CompletionSample { objective_ratio, slowdown: Some(slowdown) };
    (0..6).for_each(|_| evidence.record_completion(ClassId(0), &sample));
}

fn limit_after(reached: bool, objective_ratio: f64) -> f64 {
    let (mut engines, mut pool) = (engines(1), LoadEvidence::new(2));
    let engine = engines.get_mut(EngineId(0)).expect("listed");
    completions(&mut engine.load, objective_ratio, 1.0);
    if reached {
        engine.limit.mark_reached();
    }
    end_period(&mut engines, &mut pool, &GatewayCounts::new(1), 2);
    engines.get(EngineId(0)).expect("listed").limit.threads()
}

#[test]
fn limit_is_cut_by_f_and_not_below_the_minimum() {
    assert_eq!(engine().limit.threads(), 24.0, "1.5 threads per core");
    assert_eq!(limit_after(true, 2.0), 12.0);
    assert_eq!(limit_after(true, 50.0), 8.0, "0.5 threads per core");
}

#[test]
fn limit_is_raised_by_a_quarter_only_if_it_was_reached() {
    assert_eq!(limit_after(true, 0.5), 30.0);
    assert_eq!(limit_after(false, 0.5), 24.0);
}

#[test]
fn engine_without_samples_uses_those_of_the_pool() {
    let (mut engines, mut pool) = (engines(2), LoadEvidence::new(2));
    completions(&mut pool, 2.0, 1.0);
    end_period(&mut engines, &mut pool, &GatewayCounts::new(1), 2);
    assert!(engines.values().all(|engine| engine.limit.threads() == 12.0));
}

#[test]
fn slowdown_rejection_or_own_threads_indicate_pressure() {
    let (pool, gateways) = (LoadEvidence::new(2), GatewayCounts::new(1));
    let rule = PressureRule { pool: &pool, gateways: &gateways, now: at_ms(0) };
    assert!(!rule.applies(&engine()));
    let mut slow = engine();
    completions(&mut slow.load, 0.5, 2.5);
    assert!(rule.applies(&slow));
    let mut full = engine();
    full.limit.mark_full(at_ms(-500));
    assert!(rule.applies(&full));
    let mut used = engine();
    used.attempts.add(RequestId(1), 20.0, false, at_ms(0));
    assert!(!rule.applies(&used), "a single attempt does not indicate pressure");
    used.attempts.add(RequestId(2), 20.0, false, at_ms(0));
    assert!(rule.applies(&used));
}

#[test]
fn pressure_lasts_while_the_limit_is_reached() {
    let mut limit = engine().limit;
    let assessment = LoadAssessment { objective_ratio: 0.5, is_within_objectives: true };
    limit.update_pressure(true);
    limit.update_pressure(false);
    limit.mark_reached();
    limit.adjust(&assessment, 8.0);
    assert!(limit.is_under_pressure);
    limit.adjust(&assessment, 8.0);
    assert!(!limit.is_under_pressure, "no request reached it in the last period");
}
