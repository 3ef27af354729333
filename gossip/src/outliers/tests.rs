use super::*;

fn listed(count: u64) -> BTreeMap<EngineKey, u32> {
    (0..count).map(|n| (EngineKey(n), 0)).collect()
}

fn reports(count: u64) -> OutlierReports {
    let mut reports = OutlierReports::default();
    reports.set_engines(&listed(count));
    reports
}

fn fact(engine: u64, ttl_centis: u16) -> Fact {
    Fact { engine: EngineKey(engine), started: 0, kind: FactKind::Failing.into(), ttl_centis, value: 0 }
}

#[test]
fn two_unexpired_reports_are_needed() {
    let mut reports = reports(10);
    for _ in 0..100 {
        assert!(reports.record_fact(1, &fact(3, 800), 0));
    }
    assert_eq!(reports.new_ejections(0), []);
    assert!(reports.record_fact(2, &fact(3, 200), 0));
    assert_eq!(reports.new_ejections(0), [GossipEjection { engine: EngineKey(3), until: 2_000 }]);
    assert_eq!(reports.new_ejections(10), [], "returned once");
    assert_eq!((reports.ejected_count(1_999), reports.ejected_count(2_000)), (1, 0));
    assert!(reports.record_fact(2, &fact(3, 200), 1_500));
    assert_eq!(
        reports.new_ejections(1_500),
        [GossipEjection { engine: EngineKey(3), until: 3_500 }],
        "reported again"
    );
}

#[test]
fn four_errors_equal_two_reports_unless_all_engines_fail() {
    let attempt_failed = |engine| Fact { kind: FactKind::AttemptFailed.into(), ..fact(engine, 300) };
    let mut reports = reports(10);
    assert!((1..4).all(|peer| reports.record_fact(peer, &attempt_failed(3), 0)));
    assert_eq!(reports.new_ejections(0), []);
    assert!(reports.record_fact(4, &attempt_failed(3), 0));
    assert_eq!(reports.new_ejections(0).len(), 1);
    // With failures at all engines the requests are the cause, and no engine may be ejected.
    let mut reports = self::reports(10);
    for peer in 0..40 {
        for engine in 0..5 {
            reports.record_fact(peer, &attempt_failed((engine + u64::from(peer)) % 10), 0);
        }
    }
    assert_eq!(reports.new_ejections(0), []);
}

#[test]
fn report_with_higher_weight_replaces_a_lower_one() {
    let mut reports = reports(10);
    let attempt_failed = Fact { kind: FactKind::AttemptFailed.into(), ..fact(3, 100) };
    (0..MAX_REPORTERS as PeerId).for_each(|peer| _ = reports.record_fact(peer, &attempt_failed, 0));
    assert!(!reports.record_fact(100, &attempt_failed, 0), "another report of the same weight");
    assert!(reports.record_fact(101, &fact(3, 900), 0) && reports.record_fact(102, &fact(3, 900), 0));
    assert_eq!(reports.new_ejections(0), [GossipEjection { engine: EngineKey(3), until: 9_000 }]);
}

#[test]
fn reports_of_one_gateway_count_on_at_most_half_of_the_engines() {
    let mut reports = reports(10);
    let accepted = (0..10).filter(|engine| reports.record_fact(1, &fact(*engine, 500), 0)).count();
    assert_eq!(accepted, 5);
    assert!(reports.record_fact(1, &fact(0, 500), 100), "unexpired reports can be repeated");
    assert!(reports.record_fact(1, &fact(9, 500), 5_101), "the first reports have expired");
}

#[test]
fn reports_from_before_a_restart_are_dropped() {
    let mut reports = reports(4);
    reports.record_fact(1, &fact(0, 900), 0);
    reports.record_fact(2, &fact(0, 900), 0);
    reports.remove_reports_from(2);
    assert_eq!(reports.ejected_count(1), 0);
    reports.record_fact(2, &fact(0, 900), 0);
    let restarted = BTreeMap::from([(EngineKey(0), 77), (EngineKey(1), 0)]);
    reports.set_engines(&restarted);
    assert_eq!(reports.ejected_count(1), 0);
    assert!(!reports.record_fact(1, &fact(0, 900), 1), "of the earlier incarnation");
    assert!(!reports.record_fact(1, &fact(3, 900), 1), "no longer listed");
    assert!(!reports.record_fact(1, &Fact { kind: 99, ..fact(1, 900) }, 1), "of an unknown kind");
}

#[test]
fn reports_are_bounded_and_expire() {
    let mut reports = reports(20);
    for peer in 0..300 {
        for engine in 0..20 {
            reports.record_fact(peer, &fact(engine, u16::MAX), 0);
        }
    }
    assert!(reports.entry_count() <= 20 * (1 + MAX_REPORTERS), "{}", reports.entry_count());
    assert_eq!(reports.ejected_count(MAX_REPORT_TTL_MS), 0);
}

#[test]
fn unexpired_own_reports_are_sent_in_rotation() {
    let mut reports = reports(10);
    assert!(!reports.record_own_report(EngineKey(99), FactKind::Unresponsive, 1_000, 0), "not listed");
    assert!((0..6).all(|engine| reports.record_own_report(
        EngineKey(engine),
        FactKind::Unresponsive,
        1_000,
        0
    )));
    assert!(
        !reports.record_own_report(EngineKey(0), FactKind::AttemptFailed, 0, 1),
        "lower weight than the unexpired report"
    );
    let sent: Vec<_> = (0..3).flat_map(|_| reports.next_facts(4, 0)).map(|fact| fact.engine.0).collect();
    assert_eq!(sent, [0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5]);
    let expires_at = 1_000 + REPORT_GRACE_MS;
    assert!(reports.has_own_reports(expires_at - 1) && !reports.has_own_reports(expires_at));
    assert_eq!(reports.next_facts(4, expires_at), []);
}
