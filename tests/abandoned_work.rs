//! Work whose client has disconnected, priorities, and what is remembered of ended requests.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn abandoned_work_is_counted_where_nothing_is_cancelled() {
    let mut settings = settings();
    settings.limits.cancel = false;
    let mut fixture = SchedulerFixture::new(settings, 1);
    let abandoned = fixture.arrive_many(QUICK, 24);
    fixture.now += 3_000_000;
    for id in abandoned {
        fixture.end_attempt(id, 0, Outcome::TimedOut);
    }
    let ids = fixture.arrive_many(QUICK, 10);
    let sent = fixture.sent_count(&ids);
    assert!(sent <= 1, "24 threads of abandoned work still run: {sent}");
}

#[test]
fn abandoned_work_is_demoted_where_nothing_is_cancelled() {
    let mut settings = settings();
    settings.limits.cancel = false;
    settings.engine.priorities = true;
    let mut fixture = SchedulerFixture::new(settings, 1);
    let (disconnected, overdue) = (fixture.arrive(LONG), fixture.arrive(QUICK));
    fixture.step(&[Event::ClientDisconnected(disconnected)]);
    fixture.advance(ms(2995));
    for id in [disconnected, overdue] {
        let is_demotion = |action: &Action| matches!(action, Action::GrantResources { request, priority: 0, .. } if *request == id);
        assert!(fixture.actions.iter().any(is_demotion), "{id:?} runs on at the lowest priority");
    }
}

#[test]
fn bulk_loads_run_at_high_priority_where_supported() {
    let mut settings = settings();
    settings.engine.priorities = true;
    settings.classes[LONG].is_load = true;
    let mut fixture = SchedulerFixture::new(settings, 1);
    let priority = |fixture: &SchedulerFixture, id| {
        let granted = |action: &Action| match action {
            Action::GrantResources { request, priority, .. } if *request == id => Some(*priority),
            _ => None,
        };
        fixture.actions.iter().filter_map(granted).next_back()
    };
    let (quick, load) = (fixture.arrive(QUICK), fixture.arrive(LONG));
    assert_eq!(priority(&fixture, load), Some(2));
    assert_eq!(priority(&fixture, quick), None, "the usual priority is not granted anew");
}

#[test]
fn state_stays_bounded_over_a_long_run() {
    let mut settings = settings();
    settings.classes[QUICK].in_order = true;
    let mut fixture = SchedulerFixture::new(settings, 4);
    let mut tracked = Vec::new();
    for round in 0..2000u64 {
        let id = fixture.arrive_with(QUICK, |arrival| arrival.ordering_key = Some(OrderingKeyId(round)));
        fixture.advance(ms(20));
        fixture.end_attempt(id, 0, Outcome::Ok);
        fixture.actions.clear();
        if round % 100 == 0 {
            let entries = (0..4).map(|e| EngineEntry::new(EngineId(round as u32 + e))).collect();
            fixture.list_engines(entries);
        }
        if round == 200 || round == 1990 {
            tracked.push(fixture.scheduler.tracked_items());
        }
    }
    assert!(tracked[1] <= tracked[0] + 60, "grew from {} to {}", tracked[0], tracked[1]);
}
