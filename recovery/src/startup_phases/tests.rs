//! Transitions of the start-up phases by evidence and by timeout.

use super::*;

const START: Millis = 1_000_000;

fn setup(has_peers: bool, has_name_server: bool) -> StartupSetup {
    StartupSetup { started: START, window: 12_000, has_peers, has_name_server }
}

#[test]
fn start_without_peers_waits_only_for_a_warm_pool() {
    let mut phases = StartupPhases::new(setup(false, false));
    assert_eq!(phases.phase(), StartupPhase::Admitting);
    assert_eq!(phases.admits(0.5), AdmissionDecision::Admit);
    phases.set_warm_share(1.0, START + 1);
    assert_eq!(phases.phase(), StartupPhase::Serving);
    assert_eq!(phases.admits(0.5), AdmissionDecision::Admit);
}

#[test]
fn start_among_live_gateways_ends_by_evidence() {
    let mut phases = StartupPhases::new(setup(true, true));
    assert_eq!(phases.phase(), StartupPhase::Settling);
    phases.set_fleet_status(FleetStatus { gateways: 9, long_running: 8 }, START + 20);
    phases.set_peers_answered(START + 30);
    phases.set_discovery_answered(START + 60);
    assert_eq!(phases.phase(), StartupPhase::Serving);
    let completed: Vec<_> = phases.completed_phases().iter().map(|(phase, _, end)| (*phase, *end)).collect();
    let evidence = |phase| (phase, PhaseEndReason::Evidence);
    assert_eq!(
        completed,
        [StartupPhase::Settling, StartupPhase::Listing, StartupPhase::Admitting].map(evidence)
    );
}

#[test]
fn start_after_a_power_loss_ends_by_timeouts() {
    let mut phases = StartupPhases::new(setup(true, true));
    phases.set_fleet_status(FleetStatus { gateways: 9, long_running: 1 }, START + 20);
    let AdmissionDecision::NotBefore(retry_at) = phases.admits(0.0) else { panic!("admitted") };
    phases.advance(retry_at);
    assert_eq!(
        phases.phase(),
        StartupPhase::Listing,
        "the timeout for answers of other gateways has expired"
    );
    let AdmissionDecision::NotBefore(retry_at) = phases.admits(0.0) else { panic!("admitted") };
    phases.advance(retry_at);
    assert_eq!(
        (phases.phase(), phases.admits(0.0)),
        (StartupPhase::Admitting, AdmissionDecision::Admit),
        "a retry at the announced time must be admitted"
    );
    phases.set_warm_share(0.6, retry_at);
    assert_eq!(phases.phase(), StartupPhase::Admitting, "the whole fleet was restarted together");
    phases.advance(START + WARM_UP_TIMEOUT);
    assert_eq!(phases.phase(), StartupPhase::Serving);
    assert!(phases.completed_phases().iter().all(|(_, _, end)| *end == PhaseEndReason::Timeout));
    phases.advance(START);
    assert_eq!(phases.phase(), StartupPhase::Serving, "a clock that steps back must have no effect");
}

#[test]
fn retries_of_rejected_clients_are_spread() {
    let phases = StartupPhases::new(setup(true, true));
    let retry_at = |jitter| match phases.admits(jitter) {
        AdmissionDecision::NotBefore(time) => time,
        AdmissionDecision::Admit => panic!("admitted"),
    };
    assert!(retry_at(0.0) >= START + SETTLE_TIMEOUT && retry_at(1.0) >= retry_at(0.0) + SETTLE_TIMEOUT);
}

#[test]
fn unknown_retry_is_rejected_until_its_window_ends() {
    let mut phases = StartupPhases::new(setup(false, false));
    phases.set_warm_share(1.0, START + 10);
    assert_eq!(phases.phase(), StartupPhase::Serving);
    assert_eq!(phases.admits_unknown_retry(), AdmissionDecision::NotBefore(START + 12_000));
    phases.advance(START + 12_000);
    assert_eq!(phases.admits_unknown_retry(), AdmissionDecision::Admit);
}
