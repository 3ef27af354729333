use super::*;

const WAIT: Duration = Duration::from_millis(25);

#[test]
fn pause_grows_and_one_trial_call_is_allowed() {
    let (mut breaker, mut now) = (CircuitBreaker::new(3), Instant::now());
    assert_eq!(breaker.on_failure(Fault::Timeout, now), None);
    assert_eq!(breaker.on_failure(Fault::Timeout, now), None);
    assert_eq!(breaker.on_failure(Fault::Timeout, now), Some(Health::Slow));
    let mut rests = Vec::new();
    for _ in 0..8 {
        let began = now;
        while !breaker.allows_call(now, now + WAIT) {
            now += Duration::from_millis(1);
        }
        rests.push(now - began);
        assert!(!breaker.allows_call(now, now + WAIT), "two trials at a time");
        breaker.on_failure(Fault::Error, now);
    }
    assert!(rests[0] >= MIN_PAUSE / 2 && rests[0] <= MIN_PAUSE * 3 / 2, "{rests:?}");
    assert!(rests[7] >= MAX_PAUSE / 2 && rests[7] <= MAX_PAUSE * 3 / 2, "{rests:?}");
    assert_eq!(breaker.health(), Health::Unavailable);
    while !breaker.allows_call(now, now + WAIT) {
        now += Duration::from_millis(1);
    }
    assert_eq!(breaker.on_success(), Some(Health::Healthy));
    assert!(breaker.allows_call(now, now + WAIT) && breaker.allows_call(now, now + WAIT));
}

#[test]
fn trial_past_its_deadline_allows_another() {
    let (mut breaker, now) = (CircuitBreaker::new(3), Instant::now());
    breaker.on_failure(Fault::Error, now);
    let later = now + MIN_PAUSE * 2;
    assert!(breaker.allows_call(later, later + WAIT));
    assert!(breaker.allows_call(later + WAIT, later + 2 * WAIT));
}

#[test]
fn pauses_differ_between_gateways() {
    let now = Instant::now();
    let back = |seed: u64| {
        let mut breaker = CircuitBreaker::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        breaker.on_failure(Fault::Error, now);
        (0..).find(|ms| breaker.allows_call(now + Duration::from_millis(*ms), now + 2 * MIN_PAUSE)).unwrap()
    };
    let backs: std::collections::BTreeSet<u64> = (1..40).map(back).collect();
    assert!(backs.len() > 25, "{backs:?}");
}
