use super::*;

const WAIT: Duration = Duration::from_millis(25);

#[test]
fn it_rests_longer_each_time_and_lets_one_question_through() {
    let (mut breaker, mut now) = (Breaker::new(3), Instant::now());
    assert_eq!(breaker.failed(Fault::Slow, now), None);
    assert_eq!(breaker.failed(Fault::Slow, now), None);
    assert_eq!(breaker.failed(Fault::Slow, now), Some(Health::Slow));
    let mut rests = Vec::new();
    for _ in 0..8 {
        let began = now;
        while !breaker.may_ask(now, now + WAIT) {
            now += Duration::from_millis(1);
        }
        rests.push(now - began);
        assert!(!breaker.may_ask(now, now + WAIT), "two trials at a time");
        breaker.failed(Fault::Gone, now);
    }
    assert!(rests[0] >= REST / 2 && rests[0] <= REST * 3 / 2, "{rests:?}");
    assert!(rests[7] >= REST_MOST / 2 && rests[7] <= REST_MOST * 3 / 2, "{rests:?}");
    assert_eq!(breaker.health(), Health::Gone);
    while !breaker.may_ask(now, now + WAIT) {
        now += Duration::from_millis(1);
    }
    assert_eq!(breaker.answered(), Some(Health::Well));
    assert!(breaker.may_ask(now, now + WAIT) && breaker.may_ask(now, now + WAIT));
}

#[test]
fn a_trial_that_never_ends_gives_way_to_another() {
    let (mut breaker, now) = (Breaker::new(3), Instant::now());
    breaker.failed(Fault::Gone, now);
    let later = now + REST * 2;
    assert!(breaker.may_ask(later, later + WAIT));
    assert!(breaker.may_ask(later + WAIT, later + 2 * WAIT));
}

#[test]
fn front_ends_come_back_apart_from_each_other() {
    let now = Instant::now();
    let back = |seed: u64| {
        let mut breaker = Breaker::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        breaker.failed(Fault::Gone, now);
        (0..).find(|ms| breaker.may_ask(now + Duration::from_millis(*ms), now + 2 * REST)).unwrap()
    };
    let backs: std::collections::BTreeSet<u64> = (1..40).map(back).collect();
    assert!(backs.len() > 25, "{backs:?}");
}
