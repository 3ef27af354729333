//! The way back into service, stage by stage.

use super::*;

const START: Millis = 1_000_000;

fn setup(peers: bool, names: bool) -> Setup {
    Setup { started: START, window: 12_000, peers, names }
}

#[test]
fn an_ordinary_start_waits_for_nothing_but_a_cold_pool() {
    let mut one = Return::new(setup(false, false));
    assert_eq!(one.stage(), Stage::Letting);
    assert_eq!(one.admits(0.5), May::Go);
    one.pool(1.0, START + 1);
    assert_eq!(one.stage(), Stage::Serving);
    assert_eq!(one.admits(0.5), May::Go);
}

#[test]
fn among_living_ones_it_is_through_as_soon_as_they_have_spoken() {
    let mut one = Return::new(setup(true, true));
    assert_eq!(one.stage(), Stage::Settling);
    one.tier(Tier { heard: 9, older: 8 }, START + 20);
    one.settled(START + 30);
    one.listed(START + 60);
    assert_eq!(one.stage(), Stage::Serving);
    let left: Vec<_> = one.left().iter().map(|l| (l.0, l.2)).collect();
    let evidence = |s| (s, Because::Evidence);
    assert_eq!(left, [Stage::Settling, Stage::Listing, Stage::Letting].map(evidence));
}

#[test]
fn after_a_power_loss_it_goes_on_by_time_where_nobody_answers() {
    let mut one = Return::new(setup(true, true));
    one.tier(Tier { heard: 9, older: 1 }, START + 20);
    let May::NotBefore(when) = one.admits(0.0) else { panic!("let in") };
    one.go_on(when);
    assert_eq!(one.stage(), Stage::Listing, "others had their time");
    let May::NotBefore(when) = one.admits(0.0) else { panic!("let in") };
    one.go_on(when);
    assert_eq!((one.stage(), one.admits(0.0)), (Stage::Letting, May::Go), "the time told was true");
    one.pool(0.6, when);
    assert_eq!(one.stage(), Stage::Letting, "the whole fleet is cold");
    one.go_on(START + LET_BY);
    assert_eq!(one.stage(), Stage::Serving);
    assert!(one.left().iter().all(|l| l.2 == Because::Instant));
    one.go_on(START);
    assert_eq!(one.stage(), Stage::Serving, "a clock that goes back changes nothing");
}

#[test]
fn who_is_turned_away_comes_back_spread_out() {
    let one = Return::new(setup(true, true));
    let at = |draw| match one.admits(draw) {
        May::NotBefore(when) => when,
        May::Go => panic!("let in"),
    };
    assert!(at(0.0) >= START + SETTLE_BY && at(1.0) >= at(0.0) + SETTLE_BY);
}

#[test]
fn a_retry_of_which_nobody_knows_waits_until_its_window_is_over() {
    let mut one = Return::new(setup(false, false));
    one.pool(1.0, START + 10);
    assert_eq!(one.stage(), Stage::Serving);
    assert_eq!(one.admits_unknown_retry(), May::NotBefore(START + 12_000));
    one.go_on(START + 12_000);
    assert_eq!(one.admits_unknown_retry(), May::Go);
}
