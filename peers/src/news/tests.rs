use super::*;

fn listed(count: u64) -> BTreeMap<EngineKey, u32> {
    (0..count).map(|n| (EngineKey(n), 0)).collect()
}

fn news(count: u64) -> News {
    let mut news = News::default();
    news.engines(&listed(count));
    news
}

fn fact(engine: u64, left: u16) -> Fact {
    Fact { engine: EngineKey(engine), started: 0, kind: Kind::Fails.into(), left, much: 0 }
}

#[test]
fn one_origin_moves_nothing_and_two_do_until_the_second_ends() {
    let mut news = news(10);
    for _ in 0..100 {
        assert!(news.hear(1, &fact(3, 800), 0));
    }
    assert_eq!(news.beliefs(0), []);
    assert!(news.hear(2, &fact(3, 200), 0));
    assert_eq!(news.beliefs(0), [Belief { engine: EngineKey(3), until: 2_000 }]);
    assert_eq!(news.beliefs(10), [], "told once");
    assert_eq!((news.believed(1_999), news.believed(2_000)), (1, 0));
    assert!(news.hear(2, &fact(3, 200), 1_500));
    assert_eq!(news.beliefs(1_500), [Belief { engine: EngineKey(3), until: 3_500 }], "said again");
}

#[test]
fn four_single_errors_are_worth_two_findings_but_not_where_all_engines_err() {
    let erred = |engine| Fact { kind: Kind::Erred.into(), ..fact(engine, 300) };
    let mut news = news(10);
    assert!((1..4).all(|peer| news.hear(peer, &erred(3), 0)));
    assert_eq!(news.beliefs(0), []);
    assert!(news.hear(4, &erred(3), 0));
    assert_eq!(news.beliefs(0).len(), 1);
    // The same of all engines: it is what is asked, and nobody is to be set aside for it.
    let mut news = self::news(10);
    for peer in 0..40 {
        for engine in 0..5 {
            news.hear(peer, &erred((engine + u64::from(peer)) % 10), 0);
        }
    }
    assert_eq!(news.beliefs(0), []);
}

#[test]
fn who_knows_more_is_not_kept_out_by_many_who_know_less() {
    let mut news = news(10);
    let erred = Fact { kind: Kind::Erred.into(), ..fact(3, 100) };
    (0..REMEMBERED as PeerId).for_each(|peer| _ = news.hear(peer, &erred, 0));
    assert!(!news.hear(100, &erred, 0), "one more of the same");
    assert!(news.hear(101, &fact(3, 900), 0) && news.hear(102, &fact(3, 900), 0));
    assert_eq!(news.beliefs(0), [Belief { engine: EngineKey(3), until: 9_000 }]);
}

#[test]
fn who_accuses_more_than_half_is_heard_for_half() {
    let mut news = news(10);
    let taken = (0..10).filter(|e| news.hear(1, &fact(*e, 500), 0)).count();
    assert_eq!(taken, 5);
    assert!(news.hear(1, &fact(0, 500), 100), "those go on");
    assert!(news.hear(1, &fact(9, 500), 5_101), "once the first have ended there is room again");
}

#[test]
fn what_was_said_of_an_engine_or_by_an_origin_before_its_restart_is_gone() {
    let mut news = news(4);
    news.hear(1, &fact(0, 900), 0);
    news.hear(2, &fact(0, 900), 0);
    news.forget(2);
    assert_eq!(news.believed(1), 0);
    news.hear(2, &fact(0, 900), 0);
    let restarted = BTreeMap::from([(EngineKey(0), 77), (EngineKey(1), 0)]);
    news.engines(&restarted);
    assert_eq!(news.believed(1), 0);
    assert!(!news.hear(1, &fact(0, 900), 1), "of the life before");
    assert!(!news.hear(1, &fact(3, 900), 1), "not listed any more");
    assert!(!news.hear(1, &Fact { kind: 99, ..fact(1, 900) }, 1), "of a kind that is not known");
}

#[test]
fn it_stays_bounded_and_no_fact_outlives_its_most() {
    let mut news = news(20);
    for peer in 0..300 {
        for engine in 0..20 {
            news.hear(peer, &fact(engine, u16::MAX), 0);
        }
    }
    assert!(news.held() <= 20 * (1 + REMEMBERED), "{}", news.held());
    assert_eq!(news.believed(LIFE_MOST), 0);
}

#[test]
fn own_findings_are_said_in_turn_while_they_hold() {
    let mut news = news(10);
    assert!(!news.find(EngineKey(99), Kind::Silent, 1_000, 0), "not listed");
    assert!((0..6).all(|e| news.find(EngineKey(e), Kind::Silent, 1_000, 0)));
    assert!(!news.find(EngineKey(0), Kind::Erred, 0, 1), "less than what was said");
    let said: Vec<_> = (0..3).flat_map(|_| news.facts(4, 0)).map(|f| f.engine.0).collect();
    assert_eq!(said, [0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5]);
    let ends = 1_000 + SPOKEN_FOR;
    assert!(news.has_own(ends - 1) && !news.has_own(ends));
    assert_eq!(news.facts(4, ends), []);
}
