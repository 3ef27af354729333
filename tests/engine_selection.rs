//! Which of the engines with capacity a request is sent to.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn engine_with_the_fewest_own_queries_is_selected() {
    let mut fixture = SchedulerFixture::new(settings(), 3);
    let ids = fixture.arrive_many(QUICK, 6);
    let mut per_engine = [0; 3];
    for id in &ids {
        per_engine[fixture.engines_tried(*id)[0].0 as usize] += 1;
    }
    assert_eq!(per_engine, [2, 2, 2]);
    let idle = fixture.engines_tried(ids[4])[0];
    fixture.end_attempt(ids[4], 0, Outcome::Ok);
    let next = fixture.arrive(QUICK);
    assert_eq!(fixture.engines_tried(next), [idle]);
}

#[test]
fn lightly_loaded_gateway_spreads_its_queries() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    let ids = fixture.run_sparse_traffic(40, |_| Some(Outcome::Ok));
    for engine in 0..4 {
        assert_eq!(fixture.share_sent_to(engine, &ids), 0.25, "one at a time, each engine in turn");
    }
}

#[test]
fn lightly_loaded_gateway_reuses_its_connections() {
    let mut settings = settings();
    settings.engine.idle_timeout = Some(ms(15_000));
    let mut fixture = SchedulerFixture::new(settings, 30);
    let engines_used = |fixture: &SchedulerFixture, ids: &[RequestId]| {
        (0..31).filter(|engine| fixture.share_sent_to(*engine, ids) > 0.0).count()
    };
    let ids = fixture.run_sparse_traffic(60, |_| Some(Outcome::Ok));
    assert_eq!(engines_used(&fixture, &ids), 1, "one query at a time needs one connection, not thirty");
    // The fewest own queries still come first, and an engine that has just started gets its share.
    let together = fixture.arrive_many(QUICK, 4);
    assert_eq!(engines_used(&fixture, &together), 4);
    fixture.end_all_served(&together);
    let entry =
        EngineEntry { started: Some(Time(fixture.now - 11_000_000)), ..EngineEntry::new(EngineId(30)) };
    fixture.change_engine(entry);
    let ids = fixture.run_sparse_traffic(20, |_| Some(Outcome::Ok));
    assert!(fixture.share_sent_to(30, &ids) > 0.0, "the new engine gets none");
}

#[test]
fn ties_go_to_the_least_slow_engine() {
    let mut fixture = SchedulerFixture::new(settings(), 3);
    fixture.serve(QUICK, 60, ms(20));
    let slow = fixture.arrive(QUICK);
    fixture.advance(ms(80));
    fixture.end_attempt(slow, 0, Outcome::Ok);
    let avoided = fixture.engines_tried(slow)[0];
    let ids = fixture.run_sparse_traffic(8, |_| Some(Outcome::Ok));
    assert!(fixture.share_sent_to(avoided.0, &ids) < 0.2, "one slow answer is enough for a tie");
}

#[test]
fn bulk_load_waits_for_another_on_its_tables() {
    let mut settings = settings();
    settings.classes[LONG].is_load = true;
    let mut fixture = SchedulerFixture::new(settings, 1);
    let mut load =
        |group| fixture.arrive_with(LONG, |arrival| arrival.table_group = Some(TableGroupId(group)));
    let (first, second, other) = (load(1), load(1), load(2));
    assert_eq!([first, second, other].map(|id| fixture.engines_tried(id).len()), [1, 0, 1]);
    fixture.end_attempt(first, 0, Outcome::Ok);
    assert_eq!(fixture.engines_tried(second).len(), 1);
}
