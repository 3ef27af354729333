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
fn two_reporters_are_needed_while_both_hold() {
    let mut reports = reports(10);
    for _ in 0..100 {
        assert!(reports.on_fact(1, &fact(3, 800), 0));
    }
    assert_eq!(reports.new_ejections(0), []);
    assert!(reports.on_fact(2, &fact(3, 200), 0));
    assert_eq!(reports.new_ejections(0), [GossipEjection { engine: EngineKey(3), until: 2_000 }]);
    assert_eq!(reports.new_ejections(10), [], "told once");
    assert_eq!((reports.ejected_count(1_999), reports.ejected_count(2_000)), (1, 0));
    assert!(reports.on_fact(2, &fact(3, 200), 1_500));
    assert_eq!(
        reports.new_ejections(1_500),
        [GossipEjection { engine: EngineKey(3), until: 3_500 }],
        "said again"
    );
}

#[test]
fn four_errors_equal_two_reports_unless_all_engines_fail() {
    let erred = |engine| Fact { kind: FactKind::AttemptFailed.into(), ..fact(engine, 300) };
    let mut reports = reports(10);
    assert!((1..4).all(|peer| reports.on_fact(peer, &erred(3), 0)));
    assert_eq!(reports.new_ejections(0), []);
    assert!(reports.on_fact(4, &erred(3), 0));
    assert_eq!(reports.new_ejections(0).len(), 1);
    // The same of all engines: it is what is asked, and nobody is to be set aside for it.
    let mut reports = self::reports(10);
    for peer in 0..40 {
        for engine in 0..5 {
            reports.on_fact(peer, &erred((engine + u64::from(peer)) % 10), 0);
        }
    }
    assert_eq!(reports.new_ejections(0), []);
}

#[test]
fn heavier_report_replaces_a_lighter_one() {
    let mut reports = reports(10);
    let erred = Fact { kind: FactKind::AttemptFailed.into(), ..fact(3, 100) };
    (0..MAX_REPORTERS as PeerId).for_each(|peer| _ = reports.on_fact(peer, &erred, 0));
    assert!(!reports.on_fact(100, &erred, 0), "one more of the same");
    assert!(reports.on_fact(101, &fact(3, 900), 0) && reports.on_fact(102, &fact(3, 900), 0));
    assert_eq!(reports.new_ejections(0), [GossipEjection { engine: EngineKey(3), until: 9_000 }]);
}

#[test]
fn reporter_accuses_at_most_half_of_the_engines() {
    let mut reports = reports(10);
    let taken = (0..10).filter(|e| reports.on_fact(1, &fact(*e, 500), 0)).count();
    assert_eq!(taken, 5);
    assert!(reports.on_fact(1, &fact(0, 500), 100), "those go on");
    assert!(reports.on_fact(1, &fact(9, 500), 5_101), "once the first have ended there is room again");
}

#[test]
fn reports_from_before_a_restart_are_dropped() {
    let mut reports = reports(4);
    reports.on_fact(1, &fact(0, 900), 0);
    reports.on_fact(2, &fact(0, 900), 0);
    reports.forget(2);
    assert_eq!(reports.ejected_count(1), 0);
    reports.on_fact(2, &fact(0, 900), 0);
    let restarted = BTreeMap::from([(EngineKey(0), 77), (EngineKey(1), 0)]);
    reports.set_engines(&restarted);
    assert_eq!(reports.ejected_count(1), 0);
    assert!(!reports.on_fact(1, &fact(0, 900), 1), "of the life before");
    assert!(!reports.on_fact(1, &fact(3, 900), 1), "not listed any more");
    assert!(!reports.on_fact(1, &Fact { kind: 99, ..fact(1, 900) }, 1), "of a kind that is not known");
}

#[test]
fn reports_are_bounded_and_expire() {
    let mut reports = reports(20);
    for peer in 0..300 {
        for engine in 0..20 {
            reports.on_fact(peer, &fact(engine, u16::MAX), 0);
        }
    }
    assert!(reports.entry_count() <= 20 * (1 + MAX_REPORTERS), "{}", reports.entry_count());
    assert_eq!(reports.ejected_count(MAX_REPORT_TTL), 0);
}

#[test]
fn own_reports_are_sent_in_turn_while_they_hold() {
    let mut reports = reports(10);
    assert!(!reports.record_own(EngineKey(99), FactKind::Silent, 1_000, 0), "not listed");
    assert!((0..6).all(|e| reports.record_own(EngineKey(e), FactKind::Silent, 1_000, 0)));
    assert!(!reports.record_own(EngineKey(0), FactKind::AttemptFailed, 0, 1), "less than what was said");
    let said: Vec<_> = (0..3).flat_map(|_| reports.next_facts(4, 0)).map(|f| f.engine.0).collect();
    assert_eq!(said, [0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5]);
    let ends = 1_000 + REPORT_GRACE;
    assert!(reports.has_own(ends - 1) && !reports.has_own(ends));
    assert_eq!(reports.next_facts(4, ends), []);
}
