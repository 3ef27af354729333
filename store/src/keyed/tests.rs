use super::*;

const WINDOW: Duration = Duration::from_secs(12);
const CLOCKS: Duration = Duration::from_millis(500);

fn keyed(scope: Scope, again: bool) -> Keyed {
    let mut keyed = Keyed::new(scope, again, WINDOW, CLOCKS);
    assert_eq!(keyed.arrive(true), Step::Claim);
    keyed
}

fn found(prior: Prior) -> Option<Claimed> {
    Some(Claimed { taken: true, lease_left: Duration::ZERO, prior })
}

#[test]
fn a_group_that_was_written_is_the_keys_for_good_though_nothing_ran_there() {
    let mut keyed = keyed(Scope::Group, false);
    assert_eq!(keyed.claimed(found(Prior::Absent), true, 5), (Step::Go(None), None));
    let sent = Sent { group: 1, at_ms: 5 };
    assert_eq!(keyed.send(1, 5), Send::Mark(sent));
    assert_eq!(keyed.marked(sent, Some(true)), Send::Now);
    keyed.ended(false);
    assert!(!keyed.may_have_run());
    assert_eq!(keyed.send(2, 6), Send::Never);
    assert_eq!(keyed.send(1, 6), Send::Now);
    keyed.ended(false);
    assert_eq!(keyed.over(Ending::Unserved), Some(Close::Release), "others are bound to it as well");
}

#[test]
fn a_mark_that_is_not_known_to_be_written_sends_nothing_where_a_group_counts() {
    for written in [None, Some(false)] {
        let mut keyed = keyed(Scope::Group, false);
        keyed.claimed(found(Prior::Absent), true, 5);
        let Send::Mark(sent) = keyed.send(1, 5) else { panic!("not marked first") };
        assert_eq!(keyed.marked(sent, written), Send::Never);
    }
    // All engines drop its repeats.
    let mut keyed = keyed(Scope::All, false);
    keyed.claimed(found(Prior::Absent), true, 5);
    let Send::Mark(sent) = keyed.send(1, 5) else { panic!("not marked first") };
    assert_eq!(keyed.marked(sent, None), Send::Now);
}

#[test]
fn an_earlier_try_binds_until_its_window_ends_by_the_later_clock() {
    let at = |at_ms| Prior::Sent(Sent { group: 3, at_ms });
    for scope in [Scope::All, Scope::Group] {
        let go = |ago| Step::Go(Some(Earlier { group: 3, ago: Duration::from_millis(ago) }));
        assert_eq!(keyed(scope, true).claimed(found(at(20_000)), false, 24_000).0, go(4_500));
        let late = keyed(scope, true).claimed(found(at(20_000)), true, 31_500);
        assert_eq!(late, (Step::Fail, Some(Close::Release)), "12 s less what clocks may differ by");
    }
    let ahead = keyed(Scope::Group, true).claimed(found(at(20_000)), true, 19_000);
    assert_eq!(ahead.0, Step::Fail, "clocks that differ by more than is said");
    assert_eq!(keyed(Scope::All, true).claimed(found(at(20_000)), true, 19_000).0, Step::Go(None));
}

#[test]
fn what_nobody_can_know_is_refused_and_stays_unknown() {
    let unknown = [Prior::Absent, Prior::Stage(Stage::Unknown), Prior::Unreadable];
    for prior in unknown {
        let (step, close) = keyed(Scope::Group, true).claimed(found(prior.clone()), true, 5);
        assert!(matches!(step, Step::Refuse(_)), "{prior:?}");
        assert_eq!(close, Some(Close::Free(Stage::Unknown)), "{prior:?}");
        let mut wide = keyed(Scope::All, true);
        assert_eq!(wide.claimed(found(prior), true, 5).0, Step::Go(None));
        assert_eq!(wide.over(Ending::Unserved), Some(Close::Free(Stage::Unknown)));
    }
    for (trusted, goes) in [(true, true), (false, false)] {
        let found = found(Prior::Stage(Stage::NeverRan));
        let (step, _) = keyed(Scope::Group, true).claimed(found, trusted, 5);
        assert_eq!(step == Step::Go(None), goes);
    }
    assert!(matches!(keyed(Scope::Group, false).claimed(None, true, 5).0, Step::Refuse(_)));
}

#[test]
fn without_the_store_only_a_retry_that_could_run_twice_is_kept_back() {
    for (scope, again, goes) in
        [(Scope::All, true, true), (Scope::Group, false, true), (Scope::Group, true, false)]
    {
        let mut keyed = Keyed::new(scope, again, WINDOW, CLOCKS);
        assert_eq!(keyed.arrive(false) == Step::Go(None), goes, "{scope:?} {again}");
    }
}
