//! Ejection of engines that fail or do not respond, and the limits on ejections.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn fast_failing_engine_does_not_attract_traffic() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    let first_fails = |id: EngineId| Some(if id.0 == 0 { Outcome::Error } else { Outcome::Ok });
    fixture.run_sparse_traffic(40, first_fails);
    let ids = fixture.run_sparse_traffic(100, first_fails);
    assert!(fixture.share_sent_to(0, &ids) < 0.1, "{}", fixture.share_sent_to(0, &ids));
}

#[test]
fn failing_requests_eject_no_engine() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    fixture.run_sparse_traffic(40, |_| Some(Outcome::Ok));
    for _ in 0..40 {
        // One request in four fails at every engine, like those of a broken client.
        let faulty = fixture.run_sparse_traffic(1, |_| Some(Outcome::Error));
        assert_eq!(fixture.engines_tried(faulty[0]).len(), 2, "a third engine would return the same error");
        assert!(fixture.is_rejected(faulty[0]));
        fixture.run_sparse_traffic(3, |_| Some(Outcome::Ok));
    }
    assert_eq!(fixture.ejections(), []);
}

/// Number of queries that are sent to the first of three engines, at most one every two seconds, after it starts to
/// fail. Before that it is healthy for `healthy_rounds` rounds.
fn queries_to_a_failing_engine(outcome: Outcome, healthy_rounds: usize) -> usize {
    let mut settings = settings();
    settings.gateways = 100;
    let mut fixture = SchedulerFixture::new(settings, 3);
    let mut queries = 0;
    for round in 0..healthy_rounds + 12 {
        // Of three requests in flight at once, each engine gets one.
        for id in fixture.arrive_many(QUICK, 3) {
            let fails = fixture.engines_tried(id) == [EngineId(0)] && round >= healthy_rounds;
            queries += usize::from(fails);
            fixture.end_attempt(id, 0, if fails { outcome } else { Outcome::Ok });
            if fails {
                fixture.end_attempt(id, 1, Outcome::Ok);
            }
        }
        fixture.advance(ms(2000));
    }
    queries
}

#[test]
fn sparse_traffic_ejects_after_two_errors_or_one_refused_connection() {
    // Twelve rounds take 24 s; ejections last 1, 2, 4 and 8 s, each followed by one query.
    let errors = queries_to_a_failing_engine(Outcome::Error, 0);
    let refused = queries_to_a_failing_engine(Outcome::ConnectFailed, 0);
    assert!(errors <= 6 && refused <= 5, "{errors} errors, {refused} refused connections");
    // Twenty successes in the preceding forty seconds do not outweigh the current errors.
    let late = queries_to_a_failing_engine(Outcome::Error, 20);
    assert!(late <= 6, "{late} errors after a long time without errors");
}

#[test]
fn hung_engine_is_ejected_during_a_discovery_outage() {
    let mut settings = settings();
    settings.discovery = Discovery::Subscribed;
    let mut fixture = SchedulerFixture::new(settings, 3);
    fixture.run_sparse_traffic(30, |_| Some(Outcome::Ok));
    fixture.step(&[Event::EndpointListFailed]);
    let first_hangs = |id: EngineId| (id.0 != 0).then_some(Outcome::Ok);
    let stuck = fixture.run_sparse_traffic(40, first_hangs);
    assert!(fixture.ejections().iter().any(|ejection| ejection.1), "ejected as unresponsive");
    assert!(
        stuck.iter().any(|id| fixture.is_cancelled(*id)),
        "attempts that hang at the engine are cancelled"
    );
    let ids = fixture.run_sparse_traffic(60, first_hangs);
    assert!(fixture.share_sent_to(0, &ids) < 0.2, "{}", fixture.share_sent_to(0, &ids));
    assert!(
        fixture.actions.iter().filter(|a| matches!(a, Action::Subscribe)).count() >= 2,
        "subscribes again"
    );
}

#[test]
fn at_most_half_of_the_engines_are_ejected_as_unresponsive() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    fixture.run_sparse_traffic(30, |_| Some(Outcome::Ok));
    fixture.run_sparse_traffic(60, |_| None);
    let is_ejection = |action: &Action| matches!(action, Action::EngineEjected { .. });
    let first = fixture.actions.iter().position(is_ejection).unwrap() + 1;
    let second = fixture.actions[first..].iter().position(is_ejection).unwrap() + first;
    assert!(sends(&fixture.actions[second..]).len() > 10, "the other half is still used");
}

#[test]
fn own_stall_does_not_count_as_a_slow_engine() {
    let mut fixture = SchedulerFixture::new(settings(), 3);
    fixture.serve(QUICK, 60, ms(20));
    let id = fixture.arrive(QUICK);
    fixture.now += 1_000_000;
    fixture.end_attempt(id, 0, Outcome::Ok);
    let engine = fixture.engines_tried(id)[0];
    let ids = fixture.run_sparse_traffic(9, |_| Some(Outcome::Ok));
    assert!(
        fixture.share_sent_to(engine.0, &ids) > 0.2,
        "the delay of one second was the gateway's, not the engine's"
    );
}
