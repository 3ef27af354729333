//! Test fixture: a scheduler with a simulated clock and a record of its actions.
#![allow(dead_code)]

use reedwalk_scheduler::*;
use std::time::Duration;

/// Interval between scheduler steps in `advance`, in microseconds.
const STEP_US: u64 = 5000;

/// Index of the class of quick queries: one thread, priority weight 1.
pub const QUICK: usize = 0;
/// Index of the class of long queries: four threads, priority weight 10.
pub const LONG: usize = 1;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Settings with two classes, quick and long, and engines of 16 cores.
pub fn settings() -> Settings {
    let quick = ClassSettings::new(ms(300), ms(3000));
    let long = ClassSettings { priority_weight: 10.0, threads: 4, ..ClassSettings::new(ms(3000), ms(15000)) };
    let kinds = vec![KindSettings { cores: 16, memory_mb: 32768.0 }];
    let mut settings = Settings::new(vec![quick, long], kinds);
    settings.limits.cancel = true;
    settings
}

/// A scheduler with a simulated clock and a record of its actions.
pub struct SchedulerFixture {
    pub scheduler: Scheduler,
    /// Simulated time, in microseconds.
    pub now: u64,
    /// All actions returned so far.
    pub actions: Vec<Action>,
    last_request: u64,
}

impl SchedulerFixture {
    /// Creates a fixture whose engines are past slow start; their ids count from 0.
    pub fn new(settings: Settings, engines: u32) -> Self {
        Self::with_seed(settings, engines, 7)
    }

    pub fn with_seed(settings: Settings, engines: u32, seed: u64) -> Self {
        let scheduler = Scheduler::new(settings, seed).expect("valid settings");
        let mut fixture = Self { scheduler, now: 1_000_000_000, actions: Vec::new(), last_request: 0 };
        let entries = (0..engines).map(|id| EngineEntry::new(EngineId(id))).collect();
        fixture.step(&[Event::Endpoints { scope: EndpointScope::Cached, entries }]);
        fixture
    }

    /// Runs one scheduler step at the current time; records and returns its actions.
    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.step(Time(self.now), events, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Advances the clock by `duration` in steps of 5 ms; returns the actions of these steps.
    pub fn advance(&mut self, duration: Duration) -> Vec<Action> {
        let (from, end) = (self.actions.len(), self.now + duration.as_micros() as u64);
        while self.now < end {
            self.now = (self.now + STEP_US).min(end);
            self.step(&[Event::WakeUp]);
        }
        self.actions[from..].to_vec()
    }

    /// Sends a complete endpoint list with exactly these entries.
    pub fn list_engines(&mut self, entries: Vec<EngineEntry>) {
        self.step(&[Event::Endpoints { scope: EndpointScope::Complete, entries }]);
    }

    /// Sends a change of the endpoint list with this entry.
    pub fn change_engine(&mut self, entry: EngineEntry) {
        self.step(&[Event::Endpoints { scope: EndpointScope::Changes, entries: vec![entry] }]);
    }

    /// Adds an engine that has just started to the endpoint list.
    pub fn start_engine(&mut self, id: u32) {
        self.change_engine(EngineEntry { started: Some(Time(self.now)), ..EngineEntry::new(EngineId(id)) });
    }

    /// Builds the next request of a class without sending it to the scheduler.
    pub fn new_arrival(&mut self, class: usize) -> Arrival {
        self.last_request += 1;
        let time_left = [ms(3000), ms(15000), ms(15000)][class];
        Arrival::new(RequestId(self.last_request), ClassId(class), time_left)
    }

    /// Sends a request of a class to the scheduler.
    pub fn arrive(&mut self, class: usize) -> RequestId {
        self.arrive_with(class, |_| ())
    }

    /// Sends a request of a class to the scheduler after applying `change` to it.
    pub fn arrive_with(&mut self, class: usize, change: impl FnOnce(&mut Arrival)) -> RequestId {
        let mut arrival = self.new_arrival(class);
        change(&mut arrival);
        let id = arrival.request;
        self.step(&[Event::Arrival(arrival)]);
        id
    }

    /// Sends `count` requests of a class, each in its own step.
    pub fn arrive_many(&mut self, class: usize, count: usize) -> Vec<RequestId> {
        (0..count).map(|_| self.arrive(class)).collect()
    }

    /// Delivers an engine's progress report about an attempt.
    pub fn report_progress(&mut self, request: RequestId, attempt: u32, report: ProgressReport) {
        self.step(&[Event::Progress { request, attempt: AttemptNo(attempt), report }]);
    }

    /// Ends an attempt of a request; the outcome `Ok` also closes the request.
    pub fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        let attempt = AttemptNo(attempt);
        self.step(&[Event::Ended(AttemptEnded {
            request,
            attempt,
            outcome,
            closed,
            usage: None,
            load: None,
        })])
    }

    /// Ends the first attempt of each request with the outcome `Ok`.
    pub fn serve_all(&mut self, requests: &[RequestId]) {
        for request in requests {
            self.end_attempt(*request, 0, Outcome::Ok);
        }
    }

    /// Ends the first attempt of a request with the outcome `Ok` and a load report.
    pub fn serve_with_load_report(&mut self, request: RequestId, load: Option<LoadReport>) {
        let (attempt, outcome) = (AttemptNo(0), Outcome::Ok);
        self.step(&[Event::Ended(AttemptEnded {
            request,
            attempt,
            outcome,
            closed: true,
            usage: None,
            load,
        })]);
    }

    /// Sends `count` requests of a class one after the other; each is served after `duration`.
    pub fn serve(&mut self, class: usize, count: usize, duration: Duration) {
        for _ in 0..count {
            let id = self.arrive(class);
            self.advance(duration);
            self.end_attempt(id, 0, Outcome::Ok);
        }
    }

    /// Serves `count` quick requests one after the other; each answer reports this CPU utilization.
    pub fn serve_with_utilization(&mut self, count: usize, cpu: f64) {
        for _ in 0..count {
            let request = self.arrive(QUICK);
            self.advance(ms(20));
            let load = LoadReport { cpu: Some(cpu), ..LoadReport::default() };
            self.serve_with_load_report(request, Some(load));
        }
    }

    /// Sends quick requests one after the other, 50 ms apart. `outcome` gives the result of an attempt at an engine,
    /// `None` if it gets no answer; retries end in the same way.
    pub fn run_sparse_traffic(
        &mut self,
        requests: usize,
        outcome: impl Fn(EngineId) -> Option<Outcome>,
    ) -> Vec<RequestId> {
        (0..requests).map(|_| self.run_request(&outcome)).collect()
    }

    fn run_request(&mut self, outcome: impl Fn(EngineId) -> Option<Outcome>) -> RequestId {
        let id = self.arrive(QUICK);
        self.advance(ms(50));
        let mut attempt = 0;
        while let Some(&engine) = self.engines_tried(id).get(attempt)
            && let Some(outcome) = outcome(engine)
        {
            self.end_attempt(id, attempt as u32, outcome);
            attempt += 1;
            if outcome == Outcome::Ok {
                break;
            }
        }
        id
    }

    /// The engines that a request was sent to, in the order of its attempts.
    pub fn engines_tried(&self, id: RequestId) -> Vec<EngineId> {
        sends(&self.actions).into_iter().filter(|send| send.0 == id).map(|send| send.1).collect()
    }

    /// Number of these requests with at least one attempt.
    pub fn sent_count(&self, ids: &[RequestId]) -> usize {
        ids.iter().filter(|id| !self.engines_tried(**id).is_empty()).count()
    }

    /// Share of these requests with at least one attempt at `engine`.
    pub fn share_sent_to(&self, engine: u32, ids: &[RequestId]) -> f64 {
        let sent = ids.iter().filter(|id| self.engines_tried(**id).contains(&EngineId(engine))).count();
        sent as f64 / ids.len() as f64
    }

    pub fn is_rejected(&self, id: RequestId) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
    }

    pub fn is_failed(&self, id: RequestId) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Fail { request } if *request == id))
    }

    pub fn is_cancelled(&self, id: RequestId) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Cancel { request, .. } if *request == id))
    }

    /// The engines that the scheduler ejected on its own evidence, and whether as unresponsive.
    pub fn ejections(&self) -> Vec<(EngineId, bool)> {
        let ejection = |action: &Action| match action {
            Action::EngineEjected { engine, unresponsive, .. } => Some((*engine, *unresponsive)),
            _ => None,
        };
        self.actions.iter().filter_map(ejection).collect()
    }
}

/// The requests sent by these actions, each with its engine.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, EngineId)> {
    let send = |action: &Action| match action {
        Action::Send { request, engine, .. } => Some((*request, *engine)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// One of 100 gateways on 30 engines, after ten answers that reported this CPU utilization.
pub fn fixture_of_100_gateways(ordinal: u64, cpu: f64) -> SchedulerFixture {
    let mut settings = settings();
    (settings.gateways, settings.ordinal) = (100, ordinal as u32);
    let mut fixture = SchedulerFixture::with_seed(settings, 30, ordinal);
    fixture.serve_with_utilization(10, cpu);
    fixture
}
