use super::*;

const CALL_TIMEOUT: Duration = Duration::from_millis(25);

#[test]
fn backoff_grows_and_one_trial_call_is_allowed() {
    let (mut breaker, mut now) = (CircuitBreaker::new(3), Instant::now());
    assert_eq!(breaker.on_failure(FailureKind::Timeout, now), None);
    assert_eq!(breaker.on_failure(FailureKind::Timeout, now), None);
    assert_eq!(breaker.on_failure(FailureKind::Timeout, now), Some(Health::Slow));
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let opened_at = now;
        while !breaker.allows_call(now, now + CALL_TIMEOUT) {
            now += Duration::from_millis(1);
        }
        backoffs.push(now - opened_at);
        assert!(!breaker.allows_call(now, now + CALL_TIMEOUT), "only one trial call at a time");
        breaker.on_failure(FailureKind::Error, now);
    }
    assert!(backoffs[0] >= MIN_BACKOFF / 2 && backoffs[0] <= MIN_BACKOFF * 3 / 2, "{backoffs:?}");
    assert!(backoffs[7] >= MAX_BACKOFF / 2 && backoffs[7] <= MAX_BACKOFF * 3 / 2, "{backoffs:?}");
    assert_eq!(breaker.health(), Health::Unavailable);
    while !breaker.allows_call(now, now + CALL_TIMEOUT) {
        now += Duration::from_millis(1);
    }
    assert_eq!(breaker.on_success(), Some(Health::Healthy));
    assert!(breaker.allows_call(now, now + CALL_TIMEOUT) && breaker.allows_call(now, now + CALL_TIMEOUT));
}

#[test]
fn trial_call_past_its_deadline_allows_another() {
    let (mut breaker, now) = (CircuitBreaker::new(3), Instant::now());
    breaker.on_failure(FailureKind::Error, now);
    let later = now + MIN_BACKOFF * 2;
    assert!(breaker.allows_call(later, later + CALL_TIMEOUT));
    assert!(breaker.allows_call(later + CALL_TIMEOUT, later + 2 * CALL_TIMEOUT));
}

#[test]
fn backoffs_differ_between_gateways() {
    let now = Instant::now();
    let first_call_ms = |seed: u64| {
        let mut breaker = CircuitBreaker::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        breaker.on_failure(FailureKind::Error, now);
        (0..).find(|ms| breaker.allows_call(now + Duration::from_millis(*ms), now + 2 * MIN_BACKOFF)).unwrap()
    };
    let times: std::collections::BTreeSet<u64> = (1..40).map(first_call_ms).collect();
    assert!(times.len() > 25, "{times:?}");
}
