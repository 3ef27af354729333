use super::*;

#[test]
fn no_more_goes_than_the_rate_and_one_bucket() {
    let mut pace = TokenBucket::new(1000.0, 250.0, 0);
    let sent = (0..10_000).filter(|now| pace.take(100.0, *now)).count();
    assert!((100..=102).contains(&sent), "{sent}");
    // A clock that stands still or steps back fills nothing.
    assert!(!pace.take(200.0, 9_999) && !pace.take(200.0, 0));
}
