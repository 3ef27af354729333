//! Property test: runs the scheduler on random event schedules and checks its actions against the seven rules. The
//! checker sees only events and actions.

mod random;
mod rule_checker;
mod schedule;

const SCHEDULES: u64 = 24;

#[test]
fn random_schedules_break_no_rule() {
    let (mut served, mut arrived) = (0, 0);
    for seed in 1..=SCHEDULES {
        let (served_in_schedule, arrived_in_schedule) = schedule::run(seed);
        served += served_in_schedule;
        arrived += arrived_in_schedule;
    }
    assert!(
        arrived > 1000 * SCHEDULES as usize && served * 5 > arrived,
        "the schedules must have enough traffic: {served} served of {arrived}"
    );
}
