use super::*;
use std::time::Duration;

#[test]
fn expired_timers_come_in_order_and_attempts_before_requests() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1);
    let mut timers = Timers::default();
    timers.arm(later, Timer::Request(RequestId(1)));
    timers.arm(start, Timer::Request(RequestId(2)));
    timers.arm(start, Timer::Attempt(AttemptId(9)));
    assert_eq!(timers.next_expiry(), Some(start));
    assert_eq!(timers.pop_expired(start), Some(Timer::Attempt(AttemptId(9))));
    assert_eq!(timers.pop_expired(start), Some(Timer::Request(RequestId(2))));
    assert_eq!(timers.pop_expired(start), None);
    assert_eq!(timers.pop_expired(later), Some(Timer::Request(RequestId(1))));
    assert_eq!(timers.next_expiry(), None);
}

#[test]
fn disarmed_timer_never_expires() {
    let start = Instant::now();
    let mut timers = Timers::default();
    timers.arm(start, Timer::Attempt(AttemptId(1)));
    timers.disarm(start + Duration::from_millis(1), Timer::Attempt(AttemptId(1)));
    assert_eq!(timers.next_expiry(), Some(start), "the timer was armed for another instant");
    timers.disarm(start, Timer::Attempt(AttemptId(1)));
    assert_eq!(timers.pop_expired(start), None);
}
