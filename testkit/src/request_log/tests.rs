use super::*;

fn began(work_ms: u64) -> What {
    What::Began { work: Duration::from_millis(work_ms), key: Some("k".into()) }
}

#[test]
fn checkers_detect_violations() {
    let record = Record::default();
    let told = Instant::now();
    record.see("a", "1", began(3_000));
    record.see("b", "2", began(1));
    assert_eq!(record.most_out_of_a_key(), 2);
    assert_eq!(record.doubled(str::to_owned, Duration::from_secs(12)), 1);
    assert_eq!(record.doubled(|_| 0, Duration::from_secs(12)), 0, "one group");
    assert_eq!(record.doubled(str::to_owned, Duration::ZERO), 0, "not within the window");
    assert_eq!(record.late_sends("a", told, Duration::ZERO), 1);
    assert_eq!(record.most_attempts(), 1);
    assert_eq!(record.sent_after_window(Duration::from_secs(12)), 0);
    assert_eq!(record.sent_after_window(Duration::ZERO), 1, "the second of the key");
    assert_eq!(record.late_sends("a", told, Duration::from_secs(2)), 0);
    let second = Duration::from_secs(1);
    let cold = SlowStart {
        engine: "a".into(),
        at: told,
        cores: 4.0,
        from: 0.33,
        ramp: 15 * second,
        window: second,
        multiple: 2.5,
    };
    assert_eq!(record.slow_start_overruns(&cold), 0, "3.0 s of 3.3 s");
    record.see("a", "3", began(400));
    assert_eq!(record.slow_start_overruns(&cold), 1);
    record.see("a", "1", What::Ended);
    record.see("b", "2", What::Killed);
    record.see("a", "4", began(1));
    record.see("b", "4", began(1));
    assert_eq!(record.most_attempts(), 2, "one request at two engines");
    record.see("b", "4", What::Ended);
    assert_eq!(record.most_out_of_a_key(), 3, "what has ended is out no more");
}
