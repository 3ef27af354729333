//! Tests of the warm-up and the budget of engines in slow start.

use super::*;
use crate::policy::tests::{at_ms, engine, settings};

/// A query with this much work, in milliseconds on one thread.
fn query(millis: f64) -> SlowStartQuery {
    SlowStartQuery { class: ClassId(0), work_us: millis * 1000.0 }
}

#[test]
fn warm_up_rises_from_the_initial_share_to_one() {
    let slow_start = SlowStart::new(&settings(), 7);
    let mut state = SlowStartState::default();
    assert_eq!(slow_start.warm_up(&state, at_ms(0)), 1.0, "no start is known");
    state.set_started(at_ms(0));
    assert_eq!(slow_start.warm_up(&state, at_ms(0)), 0.3);
    assert!(
        (slow_start.warm_up(&state, at_ms(6000)) - 0.615).abs() < 1e-12,
        "the safety factor 0.9 applies to the half of the increase"
    );
    assert!(!slow_start.is_warm(&state, at_ms(11_999)) && slow_start.is_warm(&state, at_ms(12_000)));
}

#[test]
fn gossip_about_an_earlier_start_changes_nothing() {
    let slow_start = SlowStart::new(&settings(), 7);
    let mut state = SlowStartState::default();
    state.set_started(at_ms(5000));
    state.record_reported_restart(at_ms(1000));
    assert!(!slow_start.is_warm(&state, at_ms(16_999)));
}

#[test]
fn single_gateway_sends_work_up_to_its_equal_share_of_the_budget() {
    let (mut slow_start, gateways) = (SlowStart::new(&settings(), 7), GatewayCounts::new(1));
    let mut engine = engine();
    engine.slow_start.set_started(at_ms(0));
    // 0.3 of 2.5 times the capacity of 16 cores over 2 s at a warm-up of 0.3 is 7.2 s of work.
    let mut sent = 0;
    while sent < 100 && slow_start.admits(&query(1000.0), &engine, &gateways, at_ms(0)) {
        slow_start.record_send(&mut engine.slow_start, 1e6, at_ms(0));
        sent += 1;
    }
    assert_eq!(sent, 7);
    assert!(
        slow_start.admits(&query(1000.0), &engine, &gateways, at_ms(2000)),
        "the earlier work is outside the window"
    );
}

#[test]
fn many_gateways_together_keep_to_the_budget() {
    let gateways = GatewayCounts::new(100);
    let mut engine = engine();
    engine.slow_start.set_started(at_ms(0));
    let admitted =
        |seed| SlowStart::new(&settings(), seed).admits(&query(1000.0), &engine, &gateways, at_ms(0));
    let sent = (0..100).filter(|seed| admitted(crate::state::mix64(*seed))).count();
    // The rule allows 2.5 times 0.3 of 32 s of work, which is 24 queries.
    assert!((1..=24).contains(&sent), "{sent}");
}
