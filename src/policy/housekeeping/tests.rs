//! Rounds, control periods, detection of stalls, and subscriptions.

use super::*;
use crate::policy::tests::{at_ms, settings};

#[test]
fn rounds_are_due_every_four_ticks_and_periods_end_every_second() {
    let mut schedule = HousekeepingSchedule::new(&settings());
    let first = schedule.take_round(at_ms(0)).expect("the first round is due immediately");
    assert_eq!((first.interval, first.ends_period), (TimeSpan::from_millis(20), true));
    assert_eq!(schedule.take_round(at_ms(19)), None);
    assert!(!schedule.take_round(at_ms(20)).expect("due").ends_period);
    assert!(schedule.take_round(at_ms(1000)).expect("due").ends_period);
}

#[test]
fn overdue_round_indicates_a_stalled_process() {
    let mut schedule = HousekeepingSchedule::new(&settings());
    schedule.begin_step(at_ms(0));
    assert!(!schedule.was_stalled(), "there was no earlier round");
    schedule.take_round(at_ms(0));
    schedule.begin_step(at_ms(270));
    assert!(!schedule.was_stalled());
    schedule.begin_step(at_ms(271));
    assert!(schedule.was_stalled());
}

#[test]
fn subscription_is_renewed_a_second_after_a_failure() {
    let mut settings = settings();
    settings.discovery = Discovery::Subscribed;
    let mut schedule = HousekeepingSchedule::new(&settings);
    assert!(schedule.take_subscription(at_ms(0)));
    assert!(!schedule.take_subscription(at_ms(0)), "only one subscription is due");
    schedule.on_endpoint_list_failed(at_ms(0));
    assert!(!schedule.take_subscription(at_ms(999)) && schedule.take_subscription(at_ms(1000)));
}
