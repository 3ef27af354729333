//! Tests of reported restarts, slowness and thread use, and of what enough gateways agree on.

use super::*;

const NOW: Millis = 1_700_000_000_000;
const NOW_SECONDS: u32 = 1_700_000_000;

fn observations(count: u64, started: u32) -> Observations {
    let mut observations = Observations::default();
    observations.set_engines(&(0..count).map(|n| (EngineKey(n), started)).collect(), NOW);
    observations
}

fn fact(engine: u64, kind: FactKind, started: u32, value: u8) -> Fact {
    Fact { engine: EngineKey(engine), started, kind: kind.into(), ttl_centis: 300, value }
}

#[test]
fn unlisted_restart_needs_two_reports() {
    let mut observations = observations(10, 7);
    let restarted = |started| fact(3, FactKind::Restarted, started, 0);
    observations.record_fact(1, &restarted(NOW_SECONDS - 1), NOW);
    observations.record_fact(1, &restarted(NOW_SECONDS), NOW);
    assert_eq!(observations.take_agreed(NOW), [], "reported twice by one gateway");
    observations.record_fact(2, &restarted(NOW_SECONDS - 1), NOW);
    assert_eq!(observations.take_agreed(NOW), [AgreedObservation::Restarted(EngineKey(3), NOW_SECONDS - 1)]);
    assert_eq!(observations.take_agreed(NOW), [], "returned once");
    for invalid_start in [7, 6, NOW_SECONDS - 30, NOW_SECONDS + 10] {
        (4..8).for_each(|peer| {
            observations.record_fact(peer, &fact(4, FactKind::Restarted, invalid_start, 0), NOW)
        });
    }
    (4..8)
        .for_each(|peer| observations.record_fact(peer, &fact(99, FactKind::Restarted, NOW_SECONDS, 0), NOW));
    assert_eq!(
        observations.take_agreed(NOW),
        [],
        "listed already, expired, in the future, or of an unlisted engine"
    );
}

#[test]
fn unlisted_restarts_are_bounded() {
    let mut observations = observations(10, 7);
    for peer in 1..3 {
        (0..10).for_each(|engine| {
            observations.record_fact(peer, &fact(engine, FactKind::Restarted, NOW_SECONDS, 0), NOW)
        });
    }
    assert_eq!(observations.take_agreed(NOW).len(), 5);
    assert_eq!(observations.take_agreed(NOW + 1_000).len(), 0);
}

#[test]
fn recent_restart_is_reported_and_older_reports_are_dropped() {
    let mut observations = observations(2, 7);
    (1..4).for_each(|peer| observations.record_fact(peer, &fact(0, FactKind::Slow, 7, 80), NOW));
    observations
        .set_engines(&BTreeMap::from([(EngineKey(0), NOW_SECONDS), (EngineKey(1), NOW_SECONDS + 100)]), NOW);
    assert_eq!(observations.take_agreed(NOW), []);
    let reported = observations.next_facts(8, NOW + 100);
    assert_eq!(
        reported.iter().map(|fact| (fact.engine.0, fact.kind)).collect::<Vec<_>>(),
        [(0, FactKind::Restarted.into())]
    );
    assert_eq!(observations.next_facts(8, NOW + RESTART_TTL_MS), []);
}

#[test]
fn only_outlying_slowness_is_reported_and_the_lower_median_is_used() {
    let mut observations = observations(4, 7);
    let observed = |engine, slowdown| OwnObservation { engine: EngineKey(engine), slowdown, threads: 0.5 };
    observations.set_own_observations(
        &[observed(0, Some(1.0)), observed(1, Some(1.2)), observed(2, Some(4.0)), observed(3, None)],
        NOW,
    );
    let slow: Vec<_> = observations
        .next_facts(20, NOW)
        .iter()
        .filter(|fact| fact.kind == 4)
        .map(|fact| (fact.engine.0, fact.value))
        .collect();
    assert_eq!(slow, [(2, 64)]);
    assert_eq!(observations.next_facts(20, NOW).len(), 5, "one slow engine, and thread use at four engines");
    assert_eq!(observations.next_facts(20, NOW + OBSERVATION_TTL_MS), []);
    observations.record_fact(1, &fact(2, FactKind::Slow, 7, 255), NOW);
    assert_eq!(observations.take_agreed(NOW), []);
    observations.record_fact(2, &fact(2, FactKind::Slow, 7, 32), NOW);
    assert_eq!(
        observations.take_agreed(NOW),
        [AgreedObservation::Slow(EngineKey(2), 2.0)],
        "an exaggerated report has no effect"
    );
    observations.record_fact(3, &fact(2, FactKind::Slow, 7, 48), NOW + 10);
    assert_eq!(observations.take_agreed(NOW + 10), [], "returned less than an interval ago");
    assert_eq!(
        observations.take_agreed(NOW + SLOWDOWN_INTERVAL_MS),
        [AgreedObservation::Slow(EngineKey(2), 3.0)]
    );
    observations.remove_reports_from(1);
    assert_eq!(
        observations.take_agreed(NOW + 2 * SLOWDOWN_INTERVAL_MS),
        [AgreedObservation::Slow(EngineKey(2), 2.0)]
    );
    assert_eq!(observations.take_agreed(NOW + OBSERVATION_TTL_MS + 20), []);
}

#[test]
fn thread_use_is_estimated_from_few_reports() {
    let mut observations = observations(20, 7);
    for peer in 0..300 {
        for engine in 0..20 {
            for (kind, value) in [(FactKind::ThreadUse, 8), (FactKind::Slow, 40), (FactKind::Restarted, 0)] {
                let started = if kind == FactKind::Restarted { NOW_SECONDS } else { 7 };
                observations.record_fact(peer, &fact(engine, kind, started, value), NOW);
            }
        }
    }
    assert!(observations.entry_count() <= 20 * (1 + 3 * MAX_REPORTS), "{}", observations.entry_count());
    assert_eq!(observations.threads_in_use(EngineKey(3), 300, NOW), Some(150.0));
    assert_eq!(observations.threads_in_use(EngineKey(3), 300, NOW + OBSERVATION_TTL_MS), None);
}
