//! Conversions and arithmetic of timestamps and time spans.

use super::*;

#[test]
fn conversions_from_public_types_saturate() {
    assert_eq!(Timestamp::from(Time(u64::MAX)), Timestamp(MAX_MICROS));
    assert_eq!(TimeSpan::from(Duration::MAX), TimeSpan(MAX_MICROS));
    assert_eq!(TimeSpan::from(Duration::from_millis(3)), TimeSpan::from_micros(3000));
}

#[test]
fn timestamps_may_precede_the_start_of_the_clock() {
    let target = Timestamp::from(Time(100)) - TimeSpan::from_micros(300);
    assert!(target < Timestamp::ZERO);
    assert_eq!((target - Timestamp::ZERO).as_micros(), -200);
    assert_eq!((target - Timestamp::ZERO).to_duration(), Duration::ZERO, "a negative span converts to zero");
}
