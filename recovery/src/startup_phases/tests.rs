//! The way back into service, stage by stage.

use super::*;

const START: Millis = 1_000_000;

fn setup(peers: bool, names: bool) -> StartupSetup {
    StartupSetup { started: START, window: 12_000, has_peers: peers, has_name_server: names }
}

#[test]
fn ordinary_start_waits_only_for_a_warm_pool() {
    let mut one = StartupPhases::new(setup(false, false));
    assert_eq!(one.phase(), StartupPhase::Admitting);
    assert_eq!(one.admits(0.5), AdmissionDecision::Admit);
    one.set_warm_share(1.0, START + 1);
    assert_eq!(one.phase(), StartupPhase::Serving);
    assert_eq!(one.admits(0.5), AdmissionDecision::Admit);
}

#[test]
fn start_among_live_gateways_ends_with_their_answers() {
    let mut one = StartupPhases::new(setup(true, true));
    assert_eq!(one.phase(), StartupPhase::Settling);
    one.set_fleet_status(FleetStatus { heard: 9, older: 8 }, START + 20);
    one.set_settled(START + 30);
    one.set_discovery_answered(START + 60);
    assert_eq!(one.phase(), StartupPhase::Serving);
    let left: Vec<_> = one.completed_phases().iter().map(|l| (l.0, l.2)).collect();
    let evidence = |s| (s, PhaseEnd::Evidence);
    assert_eq!(left, [StartupPhase::Settling, StartupPhase::Listing, StartupPhase::Admitting].map(evidence));
}

#[test]
fn start_after_a_power_loss_proceeds_by_timeouts() {
    let mut one = StartupPhases::new(setup(true, true));
    one.set_fleet_status(FleetStatus { heard: 9, older: 1 }, START + 20);
    let AdmissionDecision::NotBefore(when) = one.admits(0.0) else { panic!("let in") };
    one.advance(when);
    assert_eq!(one.phase(), StartupPhase::Listing, "others had their time");
    let AdmissionDecision::NotBefore(when) = one.admits(0.0) else { panic!("let in") };
    one.advance(when);
    assert_eq!(
        (one.phase(), one.admits(0.0)),
        (StartupPhase::Admitting, AdmissionDecision::Admit),
        "the time told was true"
    );
    one.set_warm_share(0.6, when);
    assert_eq!(one.phase(), StartupPhase::Admitting, "the whole fleet is cold");
    one.advance(START + WARM_UP_TIMEOUT);
    assert_eq!(one.phase(), StartupPhase::Serving);
    assert!(one.completed_phases().iter().all(|l| l.2 == PhaseEnd::Timeout));
    one.advance(START);
    assert_eq!(one.phase(), StartupPhase::Serving, "a clock that goes back changes nothing");
}

#[test]
fn retries_of_rejected_clients_are_spread() {
    let one = StartupPhases::new(setup(true, true));
    let at = |draw| match one.admits(draw) {
        AdmissionDecision::NotBefore(when) => when,
        AdmissionDecision::Admit => panic!("let in"),
    };
    assert!(at(0.0) >= START + SETTLE_TIMEOUT && at(1.0) >= at(0.0) + SETTLE_TIMEOUT);
}

#[test]
fn unknown_retry_waits_for_the_end_of_its_window() {
    let mut one = StartupPhases::new(setup(false, false));
    one.set_warm_share(1.0, START + 10);
    assert_eq!(one.phase(), StartupPhase::Serving);
    assert_eq!(one.admits_unknown_retry(), AdmissionDecision::NotBefore(START + 12_000));
    one.advance(START + 12_000);
    assert_eq!(one.admits_unknown_retry(), AdmissionDecision::Admit);
}
