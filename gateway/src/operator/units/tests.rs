use super::*;

#[test]
fn durations_and_sizes_need_their_units() {
    assert_eq!(duration("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(duration("2h"), Ok(Duration::from_secs(7200)));
    assert_eq!(size("64MiB"), Ok(64 << 20));
    for bad in ["", "5", "ms", "1.5s", "-1s", "99999999999999999999s", "9999999999999999h"] {
        assert!(duration(bad).is_err(), "{bad}");
    }
    for bad in ["64", "64MB", "99999999999999GiB"] {
        assert!(size(bad).is_err(), "{bad}");
    }
}
