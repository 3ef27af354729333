//! Explanations of engine selections: their content, and that they do not affect the scheduler.

use super::Scheduler;
use crate::interface::{
    Action, Arrival, AttemptEnded, AttemptNo, ClassId, ClassSettings, EndpointScope, EngineEntry,
    EngineExclusion, EngineId, EngineState, Event, ExclusionReason, KindSettings, Outcome, RequestId,
    Settings, Time,
};
use std::time::Duration;

const START_US: u64 = 1_000_000_000;

/// Creates a scheduler with one class of four threads and the given number of single-core engines.
fn scheduler_with_engines(engines: u32) -> Scheduler {
    let class = ClassSettings {
        threads: 4,
        late_weight: 1.0,
        ..ClassSettings::new(Duration::from_secs(3), Duration::from_secs(15))
    };
    let kinds = vec![KindSettings { cores: 1, memory_mb: 1024.0 }];
    let mut scheduler = Scheduler::new(Settings::new(vec![class], kinds), 7).expect("valid settings");
    let entries = (0..engines).map(|id| EngineEntry::new(EngineId(id))).collect();
    let event = Event::Endpoints { scope: EndpointScope::Complete, entries };
    scheduler.step(Time(START_US), &[event], &mut Vec::new());
    scheduler
}

fn arrival(id: u64) -> Event {
    Event::Arrival(Arrival::new(RequestId(id), ClassId(0), Duration::from_secs(15)))
}

fn ended(id: u64, outcome: Outcome) -> Event {
    let (request, attempt) = (RequestId(id), AttemptNo(0));
    Event::Ended(AttemptEnded { request, attempt, outcome, closed: false, usage: None, load: None })
}

fn excluded(engine: u32, reason: ExclusionReason) -> EngineExclusion {
    EngineExclusion { engine: EngineId(engine), reason }
}

#[test]
fn waiting_request_has_a_reason_for_each_engine() {
    let mut scheduler = scheduler_with_engines(2);
    let draining = EngineEntry { state: EngineState::Draining, ..EngineEntry::new(EngineId(1)) };
    let drain = Event::Endpoints { scope: EndpointScope::Changes, entries: vec![draining] };
    let mut actions = Vec::new();
    scheduler.step(Time(START_US), &[drain, arrival(1), arrival(2)], &mut actions);
    scheduler.step(Time(START_US + 1000), &[ended(1, Outcome::Rejected)], &mut actions);
    let expected = [excluded(0, ExclusionReason::Paused), excluded(1, ExclusionReason::Draining)];
    assert_eq!(scheduler.explain_selection(RequestId(1)), expected);
    assert_eq!(scheduler.explain_class_selection(ClassId(0)), expected);
    assert_eq!(scheduler.explain_selection(RequestId(9)), [], "request is not open");
    assert_eq!(scheduler.explain_class_selection(ClassId(9)), [], "class is not in the settings");
}

#[test]
fn explanations_do_not_change_actions() {
    let run = |with_explanations: bool| {
        let (mut scheduler, mut actions) = (scheduler_with_engines(3), Vec::new());
        for id in 1..200 {
            let outcome = if id % 5 == 0 { Outcome::Error } else { Outcome::Ok };
            let events = [arrival(id), ended(id.saturating_sub(4), outcome)];
            scheduler.step(Time(START_US + id * 7000), &events, &mut actions);
            if with_explanations {
                scheduler.explain_selection(RequestId(id));
                scheduler.explain_class_selection(ClassId(0));
            }
        }
        actions
    };
    let actions = run(false);
    assert!(actions.iter().any(|action| matches!(action, Action::EngineEjected { .. })));
    assert_eq!(run(true), actions);
}
