use super::*;

#[test]
fn rate_and_burst_are_limited() {
    let mut bucket = TokenBucket::new(1000.0, 250.0, 0);
    let sent = (0..10_000).filter(|now| bucket.take(100.0, *now)).count();
    assert!((100..=102).contains(&sent), "{sent}");
    // A clock that stands still or steps back adds no tokens.
    assert!(!bucket.take(200.0, 9_999) && !bucket.take(200.0, 0));
}
