//! A random schedule of events, and a scheduler that is checked after each of its steps.

use crate::random::Random;
use crate::rule_checker::RuleChecker;
use reedwalk_scheduler::*;
use std::time::Duration;

const STEPS: u32 = 3000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A schedule that runs: its scheduler, and what is known of it from outside.
pub struct Schedule {
    random: Random,
    checker: RuleChecker,
    scheduler: Scheduler,
    last_request: u64,
    served: usize,
}

/// Runs the schedule of a seed; the numbers of requests served and arrived.
pub fn run(seed: u64) -> (usize, usize) {
    let mut schedule = Schedule::new(seed);
    for step in 0..STEPS {
        schedule.run_step(step);
    }
    (schedule.served, schedule.last_request as usize)
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut random = Random::new(seed * 2_654_435_761 + 1);
        let settings = draw_settings(&mut random);
        let scheduler = Scheduler::new(settings.clone(), seed).unwrap();
        let checker = RuleChecker::new(settings, random.below(1 << 40));
        Self { random, checker, scheduler, last_request: 0, served: 0 }
    }

    fn run_step(&mut self, step: u32) {
        // Mostly 5 ms on; now and then the clock stands.
        self.checker.now += if self.random.one_in(10) { 0 } else { 5000 };
        let mut events = vec![Event::WakeUp];
        if step == 0 || self.random.one_in(150) {
            events.push(self.draw_endpoints());
        }
        if self.random.one_in(200) {
            events.push(Event::EndpointListFailed);
        }
        let unanswered = self.checker.open.iter().filter(|(_, request)| request.in_flight.is_some());
        for id in unanswered.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.draw_attempt_events(id, &mut events);
        }
        let disconnected = self.draw_disconnect(&mut events);
        for _ in 0..if self.random.one_in(3) { self.random.below(4) } else { 0 } {
            let arrival = self.draw_arrival();
            self.checker.on_arrival(&arrival);
            events.push(Event::Arrival(arrival));
        }
        if self.random.one_in(30) {
            self.add_events_with_unknown_ids(&mut events);
        }
        self.step_scheduler(&events, disconnected);
    }

    /// Steps the scheduler and checks its actions. A client may disconnect in the very step in which its request is
    /// answered; the answer is then ignored.
    fn step_scheduler(&mut self, events: &[Event], disconnected: Option<RequestId>) {
        let mut actions = Vec::new();
        self.scheduler.step(Time(self.checker.now), events, &mut actions);
        let has_receiver = |action: &&Action| match action {
            Action::Reject { request, .. } | Action::Fail { request } => Some(*request) != disconnected,
            _ => true,
        };
        for action in actions.iter().filter(has_receiver) {
            self.checker.check(action);
        }
        self.checker.check_deadlines();
    }

    fn draw_endpoints(&mut self) -> Event {
        let (random, now) = (&mut self.random, self.checker.now);
        let entries: Vec<_> = (0..2 + random.below(8)).map(|_| draw_entry(random, now)).collect();
        let scopes = [EndpointScope::Complete, EndpointScope::Changes, EndpointScope::Cached];
        let scope = scopes[random.below(3) as usize];
        self.checker.on_endpoints(scope, &entries);
        Event::Endpoints { scope, entries }
    }

    /// What has become of an attempt in flight since the last step, if anything.
    fn draw_attempt_events(&mut self, id: RequestId, events: &mut Vec<Event>) {
        let request = &self.checker.open[&id];
        let (in_flight, deadline) = (request.in_flight.as_ref().unwrap(), request.deadline);
        let (attempt, cancelled) = (AttemptNo(in_flight.number), in_flight.cancelled);
        let random = &mut self.random;
        let outcome = if self.checker.now >= deadline {
            Some(Outcome::TimedOut)
        } else if cancelled {
            let ends = random.one_in(3);
            let outcome = if random.one_in(4) { Outcome::Ok } else { Outcome::Cancelled };
            ends.then_some(outcome)
        } else {
            random.one_in(15).then(|| draw_outcome(random))
        };
        if let Some(outcome) = outcome {
            let ended = self.checker.on_attempt_ended(id, outcome);
            self.served += usize::from(outcome == Outcome::Ok);
            if random.one_in(20) {
                events.push(ended.clone());
            }
            events.push(ended);
        } else if random.one_in(10) {
            let report = draw_report(random);
            events.push(Event::Progress { request: id, attempt, report });
        }
    }

    /// Now and then the client of the oldest request disconnects.
    fn draw_disconnect(&mut self, events: &mut Vec<Event>) -> Option<RequestId> {
        let oldest = self.checker.open.iter().find(|(_, request)| !request.answered).map(|(id, _)| *id);
        let disconnected = oldest.filter(|_| self.random.one_in(100))?;
        self.checker.on_disconnect(disconnected);
        events.push(Event::ClientDisconnected(disconnected));
        Some(disconnected)
    }

    fn draw_arrival(&mut self) -> Arrival {
        self.last_request += 1;
        let random = &mut self.random;
        Arrival {
            request: RequestId(self.last_request),
            class: ClassId(random.below(4) as usize),
            ordering_key: random.one_in(2).then(|| OrderingKeyId(random.below(5))),
            table_group: random.one_in(2).then(|| TableGroupId(random.below(3))),
            time_left: ms(random.below(2000)),
            work: random.one_in(3).then(|| Duration::from_secs(random.below(1 << 50))),
            memory_mb: random.one_in(2).then_some([f64::NAN, 0.0, 100.0, -5.0][random.below(4) as usize]),
            ..Arrival::default()
        }
    }

    fn add_events_with_unknown_ids(&self, events: &mut Vec<Event>) {
        let (request, attempt) = (RequestId(self.last_request + 1000), AttemptNo(3));
        events.push(Event::Progress { request, attempt, report: ProgressReport::FractionDone(0.5) });
        events.push(Event::ClientDisconnected(request));
        events.push(Event::Arrival(Arrival::new(request, ClassId(99), ms(100))));
        let (engine, outcome) = (EngineId(77), Outcome::Ok);
        events.push(Event::HealthChecked { engine, outcome, load: None });
    }
}

fn draw_settings(random: &mut Random) -> Settings {
    let kinds = vec![KindSettings { cores: 4, memory_mb: 0.0 }, KindSettings { cores: 0, memory_mb: 9e9 }];
    let classes = (0..4).map(|_| draw_class(random)).collect();
    let mut settings = Settings::new(classes, kinds);
    settings.gateways = 1 + random.below(4) as u32;
    settings.limits.cancel = random.one_in(2);
    settings.limits.max_attempts = 1 + random.below(5) as u32;
    settings.rules.drain_grace = ms(500);
    settings.rules.order_settle = ms(300);
    settings.discovery = if random.one_in(3) { Discovery::Subscribed } else { Discovery::Pushed };
    settings.engine.grants = random.one_in(2);
    settings.engine.priorities = random.one_in(2);
    settings.engine.progress_interval = random.one_in(2).then(|| ms(200));
    let budget = RetryBudget { free_retries: 2.0, ratio: 0.2, window: ms(1000) };
    settings.rules.retry_budget = random.one_in(2).then_some(budget);
    settings
}

fn draw_class(random: &mut Random) -> ClassSettings {
    let idempotency = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: DeduplicationScope::All, window: ms(800) },
        Idempotency::Keyed { scope: DeduplicationScope::Zone, window: ms(2000) },
        Idempotency::Keyed { scope: DeduplicationScope::Cell, window: ms(2000) },
    ];
    ClassSettings {
        idempotency: idempotency[random.below(5) as usize],
        in_order: random.one_in(2),
        zones: random.one_in(3).then(|| vec![ZoneId(random.below(2) as usize)]),
        kinds: random.one_in(3).then(|| vec![KindId(random.below(2) as usize)]),
        threads: 1 + random.below(4) as u32,
        is_load: random.one_in(3),
        objective_stretch: [0.0, 2.0, 1e300][random.below(3) as usize],
        late_weight: random.below(3) as f64 / 2.0,
        ..ClassSettings::new(ms(random.below(400)), ms(2000))
    }
}

fn draw_entry(random: &mut Random, now: u64) -> EngineEntry {
    let states = [EngineState::Draining, EngineState::Removed];
    let is_out = random.one_in(8);
    let state = if is_out { states[random.below(2) as usize] } else { EngineState::InService };
    let id = random.below(8);
    EngineEntry {
        engine: EngineId(id as u32),
        zone: Some(ZoneId(id as usize % 2)),
        kind: Some(KindId(id as usize / 2 % 2)),
        cell: Some(CellId(id % 3)),
        state,
        started: random.one_in(9).then_some(Time(now)),
    }
}

fn draw_outcome(random: &mut Random) -> Outcome {
    let failures =
        [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset, Outcome::NeverSent];
    if random.one_in(9) { failures[random.below(5) as usize] } else { Outcome::Ok }
}

fn draw_report(random: &mut Random) -> ProgressReport {
    let reports = [
        ProgressReport::FractionDone(0.01),
        ProgressReport::FractionDone(f64::NAN),
        ProgressReport::Spilling(-1.0),
        ProgressReport::WaitingForLoad,
    ];
    reports[random.below(4) as usize]
}
