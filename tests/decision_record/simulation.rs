//! Runs a scenario: feeds the scheduler with events and carries out its actions at the simulated pool.

use crate::agenda::Agenda;
use crate::pool::{Pool, Query};
use crate::random::Random;
use crate::recording::Recording;
use crate::scenario::{Disturbance, Scenario};
use reedwalk_scheduler::*;
use std::collections::BTreeMap;
use std::time::Duration;

const START_US: u64 = 1_000_000_000;
/// Longest time between two steps, in microseconds.
const MAX_STEP_US: u64 = 8000;
/// Traffic changes between usual and burst after this time.
const BURST_INTERVAL_US: u64 = 10_000_000;
/// Steps between two looks at the public readers.
const READER_STEPS: u64 = 97;

/// What is still to come.
pub enum Task {
    /// The next request of a class.
    NextArrival(usize),
    /// A rejected client retries.
    ClientRetry(Box<Arrival>),
    AttemptEnds(RequestId, AttemptNo),
    Progress(RequestId, AttemptNo),
    /// An event that is sure to come.
    Event(Event),
    /// A disturbance by its number in the scenario.
    Disturb(usize),
    /// An engine's fault is over.
    FaultEnds(EngineId),
    /// An engine takes its next state; back in service it has just started.
    EngineState(EngineId, EngineState),
    /// The endpoint list reports an engine's restart.
    RestartListed(EngineId, u64),
}

/// One run of a scenario.
pub struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub random: Random,
    pub agenda: Agenda<Task>,
    pub pool: Pool,
    /// Events of the next step.
    pub events: Vec<Event>,
    pub now: u64,
    /// The process stalls for this time before its next step.
    pub stall_us: u64,
    queries: BTreeMap<RequestId, Query>,
    next_request: u64,
}

/// Runs a scenario from its beginning to its end.
pub fn run(scenario: &Scenario) -> Recording {
    let mut scheduler = Scheduler::new(scenario.settings.clone(), scenario.seed).expect("sound settings");
    scheduler.restore_class_stats(&scenario.restored_stats);
    let (mut simulation, mut recording) = (Simulation::new(scenario), Recording::new());
    let mut actions = Vec::new();
    let end = START_US + scenario.duration.as_micros() as u64;
    while simulation.now < end {
        let events = simulation.collect_events();
        actions.clear();
        scheduler.step(Time(simulation.now), &events, &mut actions);
        recording.add_step(simulation.now, &events, &actions);
        if recording.steps().is_multiple_of(READER_STEPS) {
            recording.add_readers(&scheduler);
        }
        actions.iter().for_each(|action| simulation.carry_out(action));
    }
    recording
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut simulation = Self {
            scenario,
            random: Random::new(scenario.seed),
            agenda: Agenda::new(),
            pool: Pool::new(scenario),
            events: Vec::new(),
            now: START_US,
            stall_us: 0,
            queries: BTreeMap::new(),
            next_request: 1,
        };
        let scope = EndpointScope::Cached;
        simulation.events.push(Event::Endpoints { scope, entries: scenario.engines.clone() });
        (0..scenario.load.len()).for_each(|class| simulation.agenda.add(START_US, Task::NextArrival(class)));
        (0..scenario.disturbances.len()).for_each(|number| simulation.plan_disturbance(number));
        simulation
    }

    /// Moves the clock to the next step, and collects what has happened until then.
    fn collect_events(&mut self) -> Vec<Event> {
        let stall_us = std::mem::take(&mut self.stall_us);
        self.now += 1 + self.random.below(MAX_STEP_US) + stall_us;
        if stall_us > 0 && self.random.chance(0.5) {
            return vec![Event::WakeUp];
        }
        while let Some((at, task)) = self.agenda.take_due(self.now) {
            self.on_task(at, task);
        }
        if self.events.is_empty() {
            self.events.push(Event::WakeUp);
        }
        std::mem::take(&mut self.events)
    }

    fn on_task(&mut self, at: u64, task: Task) {
        match task {
            Task::NextArrival(class) => self.on_next_arrival(class, at),
            Task::ClientRetry(arrival) => self.arrive(*arrival),
            Task::AttemptEnds(request, attempt) => self.on_attempt_ends(request, attempt),
            Task::Progress(request, attempt) => self.on_progress(request, attempt),
            Task::Event(event) => self.events.push(event),
            Task::Disturb(number) => self.on_disturbance(number),
            Task::FaultEnds(engine) => self.pool.engines[engine.0 as usize].fault = None,
            Task::EngineState(engine, state) => self.set_engine_state(engine, state),
            Task::RestartListed(engine, started) => self.list_restart(engine, started),
        }
    }

    fn on_next_arrival(&mut self, class: usize, at: u64) {
        let load = &self.scenario.load[class];
        let is_burst = (at - START_US) / BURST_INTERVAL_US % 2 == 1;
        let factor = if is_burst { self.scenario.burst_factor } else { 1.0 };
        let mean = Duration::from_secs_f64(1.0 / (load.requests_per_s * factor));
        let next = at + 1 + self.random.around(mean);
        self.agenda.add(next, Task::NextArrival(class));
        let arrival = self.draw_arrival(class);
        self.arrive(arrival);
    }

    fn draw_arrival(&mut self, class: usize) -> Arrival {
        let (load, random) = (&self.scenario.load[class], &mut self.random);
        let settings = &self.scenario.settings;
        let mut arrival = Arrival::new(RequestId(0), ClassId(class), settings.classes[class].deadline);
        arrival.tenant = TenantId(random.below(settings.tenants.len() as u64) as usize);
        let with_key = load.ordering_keys > 0 && random.chance(0.8);
        arrival.ordering_key = with_key.then(|| OrderingKeyId(random.below(load.ordering_keys)));
        let with_group = load.table_groups > 0 && random.chance(0.8);
        arrival.table_group = with_group.then(|| TableGroupId(random.below(load.table_groups)));
        if load.has_estimates {
            let work = Duration::from_micros(random.around(load.work));
            arrival.work = random.chance(0.8).then_some(work);
            arrival.memory_mb = random.chance(0.7).then(|| random.below(64) as f64);
        }
        if random.chance(load.prior_attempts) {
            let age = Duration::from_micros(random.below(1_500_000));
            arrival.prior_attempt = Some(PriorAttempt { group: random.below(3), age });
        }
        match random.below(500) {
            0 => arrival.time_left = Duration::ZERO,
            1..10 => arrival.time_left = arrival.time_left.mul_f64(random.unit()),
            _ => {}
        }
        arrival
    }

    /// A request arrives; its client may disconnect before it is answered.
    fn arrive(&mut self, mut arrival: Arrival) {
        let load = &self.scenario.load[arrival.class.0];
        arrival.request = RequestId(self.next_request);
        self.next_request += 1;
        let query = Query::new(arrival.clone(), load, self.now, &mut self.random);
        if self.random.chance(load.disconnects) {
            let at = self.now + self.random.below(arrival.time_left.as_micros() as u64);
            self.agenda.add(at, Task::Event(Event::ClientDisconnected(arrival.request)));
        }
        self.queries.insert(arrival.request, query);
        self.events.push(Event::Arrival(arrival));
    }

    fn on_attempt_ends(&mut self, request: RequestId, attempt: AttemptNo) {
        let Some(query) = self.queries.get(&request) else { return };
        let load = &self.scenario.load[query.arrival.class.0];
        let ended = self.pool.end(request, attempt, self.now, load, &mut self.random);
        self.events.extend(ended.map(Event::Ended));
    }

    /// A report of a running attempt's engine, and the next one.
    fn on_progress(&mut self, request: RequestId, attempt: AttemptNo) {
        let Some(interval) = self.scenario.settings.engine.progress_interval else { return };
        let running = self.pool.running.get(&request).filter(|running| running.is_running(attempt));
        let Some(running) = running else { return };
        if running.outcome != Outcome::Ok && running.ends > self.now + 60_000_000 {
            return;
        }
        let elapsed = (self.now - running.sent) as f64 / (running.ends - running.sent).max(1) as f64;
        let report = match self.random.below(20) {
            0 => ProgressReport::WaitingForMemory,
            1 => ProgressReport::WaitingForLoad,
            2 => ProgressReport::Spilling(12.0),
            3 if elapsed > 0.5 => ProgressReport::FractionDone(f64::NAN),
            _ => ProgressReport::FractionDone(elapsed * (0.8 + 0.4 * self.random.unit())),
        };
        self.events.push(Event::Progress { request, attempt, report });
        let next = self.now + interval.as_micros() as u64;
        self.agenda.add(next, Task::Progress(request, attempt));
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Send { request, engine, .. } => self.send(*request, *engine),
            Action::Cancel { request, attempt } => {
                let ends = self.pool.cancel(*request, *attempt, self.now, &mut self.random);
                ends.into_iter()
                    .for_each(|ends| self.agenda.add(ends, Task::AttemptEnds(*request, *attempt)));
            }
            Action::Reject { request, retry_after } => self.on_rejected(*request, *retry_after),
            Action::Subscribe => self.on_subscribed(),
            Action::Fail { .. }
            | Action::GrantResources { .. }
            | Action::WakeAfter(_)
            | Action::CheckHealth(_)
            | Action::EngineEjected { .. }
            | Action::Log(_) => {}
        }
    }

    fn send(&mut self, request: RequestId, engine: EngineId) {
        let (settings, now) = (&self.scenario.settings, self.now);
        let query = self.queries.get_mut(&request).expect("it has arrived");
        let load = &self.scenario.load[query.arrival.class.0];
        let attempt = query.take_attempt();
        let planned = query.planned(load.bad_plans_persist, &mut self.random);
        self.pool.start(&planned, attempt, engine, settings, now, &mut self.random);
        let running = &self.pool.running[&request];
        self.agenda.add(running.ends, Task::AttemptEnds(request, attempt));
        let is_answering = running.outcome == Outcome::Ok || self.random.chance(0.5);
        let is_silent = self.pool.engines[engine.0 as usize].is_silent();
        if let Some(interval) = settings.engine.progress_interval.filter(|_| is_answering && !is_silent) {
            self.agenda.add(now + interval.as_micros() as u64, Task::Progress(request, attempt));
        }
        if self.random.chance(load.streams) && !is_silent {
            let first_row = now + self.random.below(running.ends - now);
            self.agenda.add(first_row, Task::Event(Event::StreamStarted { request, attempt }));
        }
        if self.random.chance(load.bound_to_group) {
            self.agenda.add(now + 300, Task::Event(Event::BoundToGroup(request)));
        }
    }

    fn on_rejected(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let Some(query) = self.queries.get(&request) else { return };
        let load = &self.scenario.load[query.arrival.class.0];
        let pause = self.random.around(retry_after.unwrap_or(Duration::from_millis(400)));
        if self.random.chance(load.client_retries) {
            let retry = Arrival { is_retry: true, ..query.arrival.clone() };
            self.agenda.add(self.now + pause, Task::ClientRetry(Box::new(retry)));
        }
    }

    /// The endpoint list answers with all its entries, or not at all.
    fn on_subscribed(&mut self) {
        let event = match self.random.chance(0.3) {
            true => Event::EndpointListFailed,
            false => Event::Endpoints { scope: EndpointScope::Complete, entries: self.pool.entries() },
        };
        let at = self.now + self.random.below(20_000);
        self.agenda.add(at, Task::Event(event));
    }

    /// Plans the next disturbance of a kind.
    pub fn plan_disturbance(&mut self, number: usize) {
        let (_, interval): (Disturbance, Duration) = self.scenario.disturbances[number];
        let at = self.now + 1 + self.random.around(interval);
        self.agenda.add(at, Task::Disturb(number));
    }

    /// The number of the last request that has arrived.
    pub fn last_request(&self) -> RequestId {
        RequestId(self.next_request - 1)
    }
}
