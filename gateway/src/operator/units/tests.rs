use super::*;

#[test]
fn durations_and_sizes_require_units() {
    assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(parse_duration("2h"), Ok(Duration::from_secs(7200)));
    assert_eq!(parse_size("64MiB"), Ok(64 << 20));
    for invalid in ["", "5", "ms", "1.5s", "-1s", "99999999999999999999s", "9999999999999999h"] {
        assert!(parse_duration(invalid).is_err(), "{invalid}");
    }
    for invalid in ["64", "64MB", "99999999999999GiB"] {
        assert!(parse_size(invalid).is_err(), "{invalid}");
    }
}
