//! The seven rules, one by one.

mod common;

use common::*;
use reedwalk_scheduler::*;

#[test]
fn every_request_is_answered_before_its_deadline() {
    let mut fixture = SchedulerFixture::new(settings(), 0);
    let (quick, long) = (fixture.arrive(QUICK), fixture.arrive(LONG));
    fixture.advance(ms(3005));
    assert!(fixture.is_rejected(quick));
    fixture.advance(ms(12000));
    assert!(fixture.is_rejected(long));
}

#[test]
fn timeout_at_the_deadline_is_answered_at_once_without_a_retry() {
    let mut fixture = SchedulerFixture::new(settings(), 2);
    let id = fixture.arrive(QUICK);
    fixture.now += 3_000_000;
    fixture.end_attempt(id, 0, Outcome::TimedOut);
    assert!(fixture.is_rejected(id), "idempotent, so rejected");
    fixture.advance(ms(500));
    assert_eq!(fixture.engines_tried(id).len(), 1);
}

#[test]
fn non_idempotent_request_that_may_have_run_is_failed_not_retried() {
    let mut settings = settings();
    settings.classes[QUICK].idempotency = Idempotency::NonIdempotent;
    for (outcome, sends) in
        [(Outcome::Error, 1), (Outcome::Reset, 1), (Outcome::TimedOut, 1), (Outcome::ConnectFailed, 2)]
    {
        let mut fixture = SchedulerFixture::new(settings.clone(), 2);
        let id = fixture.arrive(QUICK);
        fixture.end_attempt(id, 0, outcome);
        fixture.advance(ms(200));
        assert_eq!(fixture.engines_tried(id).len(), sends, "{outcome:?}");
        assert_eq!(fixture.is_failed(id), sends == 1, "{outcome:?}");
        assert!(!fixture.is_rejected(id), "{outcome:?}");
    }
}

#[test]
fn keyed_request_is_retried_only_in_its_group_and_window() {
    for (scope, cell) in [(DeduplicationScope::Zone, 1), (DeduplicationScope::Cell, 7)] {
        let mut settings = settings();
        settings.classes[QUICK].idempotency = Idempotency::Keyed { scope, window: ms(1000) };
        let mut fixture = SchedulerFixture::new(settings, 0);
        let entry = |id, zone, cell| EngineEntry {
            zone: Some(ZoneId(zone)),
            cell: Some(CellId(cell)),
            ..EngineEntry::new(EngineId(id))
        };
        fixture.list_engines(vec![entry(0, 0, cell), entry(1, 1, 2)]);
        let id = fixture.arrive(QUICK);
        let first = fixture.engines_tried(id)[0];
        fixture.end_attempt(id, 0, Outcome::Error);
        assert_eq!(fixture.engines_tried(id), [first, first], "the other engine is of another group");
        fixture.now += 1_100_000;
        fixture.end_attempt(id, 1, Outcome::Error);
        assert_eq!(fixture.engines_tried(id).len(), 2, "the deduplication window is over");
        assert!(fixture.is_failed(id) && !fixture.is_rejected(id));
    }
}

#[test]
fn draining_and_removed_engines_get_no_new_requests() {
    for state in [EngineState::Draining, EngineState::Removed] {
        let mut fixture = SchedulerFixture::new(settings(), 2);
        fixture.change_engine(EngineEntry { state, ..EngineEntry::new(EngineId(0)) });
        for _ in 0..5 {
            let id = fixture.arrive(QUICK);
            assert_eq!(fixture.engines_tried(id), [EngineId(1)]);
        }
    }
    let mut fixture = SchedulerFixture::new(settings(), 2);
    fixture.list_engines(vec![EngineEntry::new(EngineId(1))]);
    let id = fixture.arrive(QUICK);
    assert_eq!(
        fixture.engines_tried(id),
        [EngineId(1)],
        "an engine that a complete list does not name is removed"
    );
}

#[test]
fn engine_in_slow_start_gets_a_share_of_the_work() {
    let mut fixture = SchedulerFixture::new(settings(), 2);
    fixture.serve(QUICK, 300, ms(10));
    fixture.start_engine(2);
    let from = fixture.actions.len();
    fixture.serve(QUICK, 150, ms(10));
    let sent = sends(&fixture.actions[from..]).iter().filter(|send| send.1 == EngineId(2)).count();
    assert!(sent >= 1, "it warms up on some work");
    assert!(sent < 75, "idle, it would attract more than a third: {sent}");
}

#[test]
fn engine_back_from_refused_connections_is_in_slow_start() {
    let mut fixture = SchedulerFixture::new(settings(), 2);
    fixture.serve(QUICK, 300, ms(10));
    let mut refusing = None;
    for _ in 0..8 {
        let id = fixture.arrive(QUICK);
        let engine = fixture.engines_tried(id)[0];
        let first = *refusing.get_or_insert(engine);
        fixture.end_attempt(id, 0, if engine == first { Outcome::ConnectFailed } else { Outcome::Ok });
        fixture.advance(ms(10));
    }
    fixture.advance(ms(1500));
    let burst = fixture.arrive_many(QUICK, 40);
    let sent = burst.iter().filter(|id| fixture.engines_tried(**id).first() == refusing.as_ref()).count();
    assert!(sent < 10, "{sent} of a burst were sent to the engine that was down");
}

#[test]
fn requests_of_one_key_run_one_at_a_time_in_order() {
    let mut settings = settings();
    settings.classes[QUICK].in_order = true;
    settings.classes[QUICK].late_weight = 1.0;
    settings.rules.order_settle = ms(400);
    let mut fixture = SchedulerFixture::new(settings, 3);
    let ids =
        [(); 3].map(|()| fixture.arrive_with(QUICK, |arrival| arrival.ordering_key = Some(OrderingKeyId(1))));
    assert_eq!(ids.map(|id| fixture.engines_tried(id).len()), [1, 0, 0]);
    fixture.end_attempt(ids[0], 0, Outcome::Ok);
    assert_eq!(fixture.engines_tried(ids[1]).len(), 1);
    // The client disconnects: the attempt is cancelled, and the key waits for its outcome and settles after it.
    fixture.step(&[Event::ClientDisconnected(ids[1])]);
    fixture.advance(ms(600));
    assert_eq!(fixture.engines_tried(ids[2]).len(), 0, "an attempt has no outcome yet");
    fixture.end_attempt(ids[1], 0, Outcome::Cancelled);
    fixture.advance(ms(390));
    assert_eq!(fixture.engines_tried(ids[2]).len(), 0, "the key settles");
    fixture.advance(ms(50));
    assert_eq!(fixture.engines_tried(ids[2]).len(), 1);
}

#[test]
fn restricted_class_uses_only_its_engines() {
    let mut settings = settings();
    settings.classes[QUICK].zones = Some(vec![ZoneId(1)]);
    let mut fixture = SchedulerFixture::new(settings, 3);
    let restricted = fixture.arrive(QUICK);
    assert!(fixture.engines_tried(restricted).is_empty());
    fixture.change_engine(EngineEntry { zone: Some(ZoneId(1)), ..EngineEntry::new(EngineId(3)) });
    assert_eq!(fixture.engines_tried(restricted), [EngineId(3)]);
    fixture.end_attempt(restricted, 0, Outcome::Error);
    fixture.advance(ms(150));
    assert!(fixture.engines_tried(restricted).iter().all(|engine| *engine == EngineId(3)));
    let unrestricted = fixture.arrive(LONG);
    assert_ne!(fixture.engines_tried(unrestricted), [EngineId(3)]);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut settings = settings();
    settings.rules.retry_budget = Some(RetryBudget { free_retries: 2.0, ratio: 0.1, window: ms(1000) });
    settings.limits.max_attempts = 6;
    let mut fixture = SchedulerFixture::new(settings, 4);
    for _ in 0..10 {
        let id = fixture.arrive(QUICK);
        let mut attempt = 0;
        while !fixture.is_rejected(id) && fixture.engines_tried(id).len() as u32 > attempt {
            fixture.end_attempt(id, attempt, Outcome::Error);
            attempt += 1;
        }
    }
    let retries = sends(&fixture.actions).len() - 10;
    assert!((1..=3).contains(&retries), "two free and a tenth of ten: {retries}");
}

#[test]
fn attempts_are_sequential_and_bounded() {
    let mut fixture = SchedulerFixture::new(settings(), 4);
    let id = fixture.arrive(QUICK);
    for attempt in 0..3 {
        assert_eq!(fixture.engines_tried(id).len() as u32, attempt + 1);
        fixture.end_attempt(id, attempt, Outcome::Reset);
        fixture.advance(ms(5));
    }
    assert_eq!(fixture.engines_tried(id).len(), 3);
    assert!(fixture.is_rejected(id));
}

/// Engines 0 and 1 in a zone each, and a class whose retries are deduplicated within a zone.
fn two_zones() -> SchedulerFixture {
    let mut settings = settings();
    settings.classes[QUICK].idempotency =
        Idempotency::Keyed { scope: DeduplicationScope::Zone, window: ms(1000) };
    let mut fixture = SchedulerFixture::new(settings, 0);
    let entry = |id| EngineEntry { zone: Some(ZoneId(id as usize)), ..EngineEntry::new(EngineId(id)) };
    fixture.list_engines(vec![entry(0), entry(1)]);
    fixture
}

#[test]
fn attempt_of_another_gateway_binds_group_and_window() {
    for group in [0, 1] {
        let mut fixture = two_zones();
        for _ in 0..8 {
            let prior = Some(PriorAttempt { group, age: ms(300) });
            let id = fixture.arrive_with(QUICK, |arrival| arrival.prior_attempt = prior);
            assert_eq!(fixture.engines_tried(id), [EngineId(group as u32)]);
            fixture.end_attempt(id, 0, Outcome::Ok);
        }
        // The window begins with the prior attempt, not with this gateway's.
        let prior = Some(PriorAttempt { group, age: ms(990) });
        let id = fixture.arrive_with(QUICK, |arrival| arrival.prior_attempt = prior);
        fixture.advance(ms(15));
        fixture.end_attempt(id, 0, Outcome::Rejected);
        fixture.advance(ms(100));
        assert_eq!(fixture.engines_tried(id).len(), 1);
        assert!(fixture.is_failed(id) && !fixture.is_rejected(id), "a retry elsewhere is not harmless");
    }
}

#[test]
fn request_stays_in_its_recorded_group() {
    let mut fixture = two_zones();
    let id = fixture.arrive(QUICK);
    let first = fixture.engines_tried(id)[0];
    fixture.step(&[Event::BoundToGroup(id)]);
    fixture.end_attempt(id, 0, Outcome::Rejected);
    fixture.advance(ms(500));
    let tried = fixture.engines_tried(id);
    assert!(tried.iter().all(|engine| *engine == first), "{tried:?}");
    fixture.advance(ms(3000));
    assert!(fixture.is_failed(id));
}
