//! Gossip from other gateways: ejections, restarts, slowdowns, and the number of live gateways.

mod common;

use common::*;
use reedwalk_scheduler::*;

fn ejected_by_gossip(engine: u32, duration_ms: u64) -> Event {
    Event::EjectedByGossip { engine: EngineId(engine), duration: ms(duration_ms) }
}

/// Sends one query every 200 ms, each served in 20 ms. Returns the engines that they were sent to.
fn serve_one_by_one(fixture: &mut SchedulerFixture, count: usize) -> Vec<EngineId> {
    let serve_one = |fixture: &mut SchedulerFixture| {
        let id = fixture.arrive(QUICK);
        fixture.advance(ms(20));
        fixture.end_attempt(id, 0, Outcome::Ok);
        fixture.advance(ms(180));
        fixture.engines_tried(id)[0]
    };
    (0..count).map(|_| serve_one(fixture)).collect()
}

#[test]
fn engine_ejected_by_gossip_is_retried_with_one_query() {
    let mut fixture = SchedulerFixture::new(settings(), 5);
    serve_one_by_one(&mut fixture, 10);
    fixture.advance(ms(1000));
    fixture.step(&[ejected_by_gossip(3, 4000)]);
    assert_eq!(fixture.scheduler.unavailable_engines(), 1);
    let engines = serve_one_by_one(&mut fixture, 19);
    assert!(!engines.contains(&EngineId(3)), "{engines:?}");
    fixture.advance(ms(300));
    // After the ejection the engine gets one query of a burst, and no other until that one is served.
    let ids = fixture.arrive_many(QUICK, 20);
    let probes: Vec<_> = ids.iter().filter(|id| fixture.engines_tried(**id) == [EngineId(3)]).collect();
    assert_eq!(probes.len(), 1);
    let probe = *probes[0];
    fixture.end_attempt(probe, 0, Outcome::Error);
    assert_eq!(fixture.ejections(), [(EngineId(3), false)], "one error ejects an engine on probation");
}

#[test]
fn own_success_overrides_gossip() {
    let mut fixture = SchedulerFixture::new(settings(), 2);
    for _ in 0..10 {
        fixture.step(&[ejected_by_gossip(0, 8000), ejected_by_gossip(1, 8000)]);
        let ids = fixture.arrive_many(QUICK, 4);
        let was_sent = |id: &RequestId| !fixture.engines_tried(*id).is_empty();
        assert!(ids.iter().all(was_sent) || fixture.scheduler.unavailable_engines() < 2);
        let sent: Vec<_> = ids.into_iter().filter(was_sent).collect();
        fixture.advance(ms(50));
        fixture.serve_all(&sent);
    }
    let mut fixture = SchedulerFixture::new(settings(), 5);
    fixture.serve(QUICK, 40, ms(20));
    fixture.step(&[ejected_by_gossip(3, 8000)]);
    assert_eq!(
        fixture.scheduler.unavailable_engines(),
        0,
        "an engine that has just served a query stays available"
    );
    let ids = fixture.arrive_many(QUICK, 10);
    assert!(ids.iter().any(|id| fixture.engines_tried(*id) == [EngineId(3)]));
}

#[test]
fn gossip_ejects_at_most_a_fifth_of_the_engines() {
    for (engines, max_ejected) in [(1, 0), (2, 1), (5, 1), (10, 2), (20, 4)] {
        let mut fixture = SchedulerFixture::new(settings(), engines);
        fixture.advance(ms(2000));
        let all: Vec<_> = (0..engines).map(|id| ejected_by_gossip(id, 8000)).collect();
        fixture.step(&all);
        assert_eq!(fixture.scheduler.unavailable_engines(), max_ejected, "of {engines}");
        // Repeated reports eject no further engines.
        for _ in 0..20 {
            fixture.step(&all);
        }
        assert_eq!(fixture.scheduler.unavailable_engines(), max_ejected, "of {engines}");
        fixture.advance(ms(8010));
        assert_eq!(fixture.scheduler.unavailable_engines(), 0);
    }
}

#[test]
fn gossip_ejection_is_bounded_and_not_forwarded() {
    let mut fixture = SchedulerFixture::new(settings(), 10);
    fixture.advance(ms(2000));
    fixture.step(&[ejected_by_gossip(3, 3_600_000), ejected_by_gossip(77, 1000)]);
    fixture.advance(ms(7990));
    assert_eq!(fixture.scheduler.unavailable_engines(), 1);
    fixture.advance(ms(20));
    assert_eq!(fixture.scheduler.unavailable_engines(), 0);
    assert_eq!(fixture.ejections(), [], "this gateway has no evidence of its own to report");
}

/// Number of queries that one of 20 gateways sends to engines under pressure while `count` gateways are live.
fn sent_with_live_gateways(count: f64) -> usize {
    let mut settings = settings();
    settings.gateways = 20;
    let mut fixture = SchedulerFixture::new(settings, 4);
    fixture.serve(QUICK, 120, ms(20));
    fixture.serve(QUICK, 20, ms(200));
    fixture.step(&[Event::LiveGateways(count)]);
    let ids = fixture.arrive_many(QUICK, 40);
    fixture.sent_count(&ids)
}

#[test]
fn pool_share_follows_live_gateways() {
    let sent = [20.0, 10.0, 2.0].map(sent_with_live_gateways);
    let [all, half, two] = sent;
    assert!(all <= half && half < two, "{all} {half} {two}");
    assert_eq!(sent_with_live_gateways(0.0), sent_with_live_gateways(1.0), "at least this gateway is live");
}

/// Number of queries that one of 20 gateways sends to an engine in its first seconds. `live_gateways` is the number
/// reported as live.
fn sent_to_a_new_engine(live_gateways: Option<f64>) -> usize {
    let mut settings = settings();
    settings.gateways = 20;
    let mut fixture = SchedulerFixture::new(settings, 4);
    fixture.serve(QUICK, 60, ms(20));
    let report = live_gateways.map(Event::LiveGateways);
    fixture.step(report.as_slice());
    fixture.start_engine(99);
    let (from, mut open) = (fixture.actions.len(), Vec::new());
    for _ in 0..400 {
        open.push(fixture.arrive(QUICK));
        fixture.advance(ms(5));
        if open.len() > 20 {
            let id = open.remove(0);
            fixture.end_attempt(id, 0, Outcome::Ok);
        }
    }
    sends(&fixture.actions[from..]).iter().filter(|send| send.1 == EngineId(99)).count()
}

#[test]
fn slow_start_budget_follows_configured_gateways() {
    // In a network partition each half considers the other dead, and both send queries.
    let configured = sent_to_a_new_engine(None);
    assert!(configured > 0);
    let with_two_live = sent_to_a_new_engine(Some(2.0));
    assert!(with_two_live <= configured, "{with_two_live} of {configured}");
}

#[test]
fn restart_known_from_gossip_starts_a_slow_start() {
    let sent_to_engine_3 = |restarts: bool| {
        let mut fixture = SchedulerFixture::new(Settings { gateways: 1000, ..settings() }, 5);
        serve_one_by_one(&mut fixture, 40);
        let started = Time(fixture.now - 500_000);
        let restart = restarts.then_some(Event::EngineRestarted { engine: EngineId(3), started });
        fixture.step(restart.as_slice());
        serve_one_by_one(&mut fixture, 60).into_iter().filter(|engine| *engine == EngineId(3)).count()
    };
    let (usual, in_slow_start) = (sent_to_engine_3(false), sent_to_engine_3(true));
    assert!(usual >= 10 && in_slow_start * 4 <= usual * 3, "{usual} {in_slow_start}");
    // A start time in the future counts as the current time; a restart of an unlisted engine is ignored.
    let mut fixture = SchedulerFixture::new(settings(), 2);
    fixture.step(&[Event::EngineRestarted { engine: EngineId(9), started: Time(u64::MAX) }]);
    fixture.step(&[Event::EngineRestarted { engine: EngineId(0), started: Time(u64::MAX) }]);
    assert_eq!(fixture.scheduler.unavailable_engines(), 0);
}

#[test]
fn slowness_from_gossip_counts_until_own_observation() {
    let sent_to_engine_3 = |events: &[Event], wait_ms: u64| {
        let mut fixture = SchedulerFixture::new(settings(), 5);
        serve_one_by_one(&mut fixture, 20);
        fixture.advance(ms(wait_ms));
        fixture.step(events);
        serve_one_by_one(&mut fixture, 10).into_iter().filter(|engine| *engine == EngineId(3)).count()
    };
    let slow = Event::SlowdownObserved { engine: EngineId(3), slowdown: 8.0 };
    assert!(sent_to_engine_3(&[], 1200) > 0, "the engine gets its usual share");
    assert_eq!(
        sent_to_engine_3(std::slice::from_ref(&slow), 1200),
        0,
        "idle engines are preferred to a slow one"
    );
    // No report makes an engine look faster than an unloaded one, and a report about an unknown engine changes nothing.
    let invalid =
        [f64::NAN, -1.0, 0.0].map(|slowdown| Event::SlowdownObserved { engine: EngineId(3), slowdown });
    assert!(sent_to_engine_3(&invalid, 1200) > 0);
    assert!(sent_to_engine_3(&[Event::SlowdownObserved { engine: EngineId(77), slowdown: 8.0 }], 1200) > 0);
    let mut fixture = SchedulerFixture::new(settings(), 5);
    fixture.serve(QUICK, 60, ms(20));
    fixture.step(&[slow]);
    let engines = serve_one_by_one(&mut fixture, 10);
    assert!(engines.contains(&EngineId(3)), "a recent own observation takes precedence: {engines:?}");
    fixture.serve(QUICK, 60, ms(20));
    let seen: Vec<_> = fixture.scheduler.observations().collect();
    let is_idle = |seen: &EngineObservation| seen.slowdown.is_some() && seen.threads == 0.0;
    assert!(seen.len() == 5 && seen.iter().any(is_idle), "{seen:?}");
    let id = fixture.arrive(QUICK);
    let engine = fixture.engines_tried(id)[0];
    assert!(fixture.scheduler.observations().any(|seen| seen.engine == engine && seen.threads == 1.0));
    fixture.advance(ms(1100));
    assert!(
        fixture.scheduler.observations().all(|seen| seen.slowdown.is_none()),
        "observations have expired"
    );
}
