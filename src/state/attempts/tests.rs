//! Attempts at one engine: number, threads, and response times.

use super::*;
use crate::time::TimeSpan;

fn at_ms(millis: i64) -> Timestamp {
    Timestamp::ZERO + TimeSpan::from_millis(millis)
}

#[test]
fn first_attempt_after_an_idle_period_counts_as_a_response() {
    let mut attempts = EngineAttempts::new(at_ms(10));
    attempts.add(RequestId(1), 2.0, false, at_ms(50));
    attempts.add(RequestId(2), 1.0, true, at_ms(60));
    assert_eq!((attempts.last_response(), attempts.last_sent()), (at_ms(50), at_ms(60)));
    assert_eq!((attempts.in_flight(), attempts.threads(), attempts.loads()), (2, 3.0, &[RequestId(2)][..]));
    attempts.remove(RequestId(2), 1.0);
    assert_eq!((attempts.in_flight(), attempts.threads(), attempts.loads()), (1, 2.0, &[][..]));
}

#[test]
fn abandoned_attempt_uses_threads_until_it_expires() {
    let mut attempts = EngineAttempts::new(at_ms(0));
    attempts.add_abandoned(at_ms(100), 4.0);
    attempts.expire(at_ms(99));
    assert_eq!((attempts.in_flight(), attempts.threads()), (0, 4.0));
    attempts.expire(at_ms(100));
    assert_eq!(attempts.threads(), 0.0);
}

#[test]
fn restart_keeps_only_number_and_threads_of_the_attempts() {
    let mut attempts = EngineAttempts::new(at_ms(0));
    attempts.add(RequestId(1), 2.0, true, at_ms(5));
    let attempts = attempts.restarted(at_ms(20));
    assert_eq!((attempts.in_flight(), attempts.threads(), attempts.loads()), (1, 2.0, &[][..]));
    assert_eq!((attempts.last_sent(), attempts.last_response()), (Timestamp::ZERO, at_ms(20)));
}
