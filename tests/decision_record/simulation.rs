//! Runs a scenario: feeds events to the scheduler and applies its actions to the simulated pool.

use crate::agenda::TaskQueue;
use crate::pool::{Pool, Query};
use crate::random::Random;
use crate::recording::Recording;
use crate::scenario::{Disturbance, Scenario};
use reedwalk_scheduler::*;
use std::collections::BTreeMap;
use std::time::Duration;

const START_US: u64 = 1_000_000_000;
/// Maximum interval between scheduler steps, in microseconds.
const MAX_STEP_US: u64 = 8000;
/// Length of each period of usual and of burst traffic.
const BURST_INTERVAL_US: u64 = 10_000_000;
/// Number of steps between recordings of the scheduler's public read methods.
const STEPS_PER_READOUT: u64 = 97;

/// A scheduled occurrence in the simulation.
pub enum Task {
    /// The next request of a class.
    NextArrival(usize),
    /// The client of a rejected request retries it.
    ClientRetry(Box<Arrival>),
    AttemptEnds(RequestId, AttemptNo),
    Progress(RequestId, AttemptNo),
    /// An event for the scheduler that takes place in any case.
    Event(Event),
    /// A disturbance, as its index in the scenario.
    Disturbance(usize),
    /// An engine's fault ends.
    FaultEnds(EngineId),
    /// An engine's state changes; an engine that returns to service has just started.
    EngineState(EngineId, EngineState),
    /// The endpoint list reports that an engine restarted at this time.
    RestartListed(EngineId, u64),
}

/// One run of a scenario.
pub struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub random: Random,
    pub tasks: TaskQueue<Task>,
    pub pool: Pool,
    /// Events collected for the next step.
    pub events: Vec<Event>,
    pub now: u64,
    /// The gateway process stalls for this time before the next step.
    pub stall_us: u64,
    queries: BTreeMap<RequestId, Query>,
    next_request: u64,
}

/// Runs a scenario and returns its recording.
pub fn run(scenario: &Scenario) -> Recording {
    let mut scheduler = Scheduler::new(scenario.settings.clone(), scenario.seed).expect("valid settings");
    scheduler.restore_class_stats(&scenario.restored_stats);
    let (mut simulation, mut recording) = (Simulation::new(scenario), Recording::new());
    let mut actions = Vec::new();
    let end = START_US + scenario.duration.as_micros() as u64;
    while simulation.now < end {
        let events = simulation.collect_events();
        actions.clear();
        scheduler.step(Time(simulation.now), &events, &mut actions);
        recording.add_step(simulation.now, &events, &actions);
        if recording.steps().is_multiple_of(STEPS_PER_READOUT) {
            recording.add_readout(&scheduler);
        }
        actions.iter().for_each(|action| simulation.apply_action(action));
    }
    recording
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut simulation = Self {
            scenario,
            random: Random::new(scenario.seed),
            tasks: TaskQueue::new(),
            pool: Pool::new(scenario),
            events: Vec::new(),
            now: START_US,
            stall_us: 0,
            queries: BTreeMap::new(),
            next_request: 1,
        };
        let scope = EndpointScope::Cached;
        simulation.events.push(Event::Endpoints { scope, entries: scenario.engines.clone() });
        (0..scenario.traffic.len())
            .for_each(|class| simulation.tasks.add(START_US, Task::NextArrival(class)));
        (0..scenario.disturbances.len()).for_each(|number| simulation.plan_disturbance(number));
        simulation
    }

    /// Advances the clock to the next step and collects the events until then.
    fn collect_events(&mut self) -> Vec<Event> {
        let stall_us = std::mem::take(&mut self.stall_us);
        self.now += 1 + self.random.below(MAX_STEP_US) + stall_us;
        if stall_us > 0 && self.random.chance(0.5) {
            return vec![Event::WakeUp];
        }
        while let Some((at, task)) = self.tasks.pop_due(self.now) {
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
            Task::Disturbance(number) => self.on_disturbance(number),
            Task::FaultEnds(engine) => self.pool.engines[engine.0 as usize].fault = None,
            Task::EngineState(engine, state) => self.set_engine_state(engine, state),
            Task::RestartListed(engine, started) => self.list_restart(engine, started),
        }
    }

    fn on_next_arrival(&mut self, class: usize, at: u64) {
        let traffic = &self.scenario.traffic[class];
        let is_burst = (at - START_US) / BURST_INTERVAL_US % 2 == 1;
        let factor = if is_burst { self.scenario.burst_factor } else { 1.0 };
        let mean = Duration::from_secs_f64(1.0 / (traffic.requests_per_s * factor));
        let next = at + 1 + self.random.uniform_around(mean);
        self.tasks.add(next, Task::NextArrival(class));
        let arrival = self.draw_arrival(class);
        self.arrive(arrival);
    }

    fn draw_arrival(&mut self, class: usize) -> Arrival {
        let (traffic, random) = (&self.scenario.traffic[class], &mut self.random);
        let settings = &self.scenario.settings;
        let mut arrival = Arrival::new(RequestId(0), ClassId(class), settings.classes[class].deadline);
        arrival.tenant = TenantId(random.below(settings.tenants.len() as u64) as usize);
        let with_key = traffic.ordering_keys > 0 && random.chance(0.8);
        arrival.ordering_key = with_key.then(|| OrderingKeyId(random.below(traffic.ordering_keys)));
        let with_group = traffic.table_groups > 0 && random.chance(0.8);
        arrival.table_group = with_group.then(|| TableGroupId(random.below(traffic.table_groups)));
        if traffic.has_estimates {
            let work = Duration::from_micros(random.uniform_around(traffic.work));
            arrival.work = random.chance(0.8).then_some(work);
            arrival.memory_mb = random.chance(0.7).then(|| random.below(64) as f64);
        }
        if random.chance(traffic.prior_attempts) {
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

    /// Adds an arrival, and possibly the disconnection of its client before the deadline.
    fn arrive(&mut self, mut arrival: Arrival) {
        let traffic = &self.scenario.traffic[arrival.class.0];
        arrival.request = RequestId(self.next_request);
        self.next_request += 1;
        let query = Query::new(arrival.clone(), traffic, self.now, &mut self.random);
        if self.random.chance(traffic.disconnects) {
            let at = self.now + self.random.below(arrival.time_left.as_micros() as u64);
            self.tasks.add(at, Task::Event(Event::ClientDisconnected(arrival.request)));
        }
        self.queries.insert(arrival.request, query);
        self.events.push(Event::Arrival(arrival));
    }

    fn on_attempt_ends(&mut self, request: RequestId, attempt: AttemptNo) {
        let Some(query) = self.queries.get(&request) else { return };
        let traffic = &self.scenario.traffic[query.arrival.class.0];
        let ended = self.pool.end(request, attempt, self.now, traffic, &mut self.random);
        self.events.extend(ended.map(Event::Ended));
    }

    /// Sends a progress report about a running attempt and schedules the next one.
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
        self.tasks.add(next, Task::Progress(request, attempt));
    }

    fn apply_action(&mut self, action: &Action) {
        match action {
            Action::Send { request, engine, .. } => self.send(*request, *engine),
            Action::Cancel { request, attempt } => {
                let ends = self.pool.cancel(*request, *attempt, self.now, &mut self.random);
                ends.into_iter().for_each(|ends| self.tasks.add(ends, Task::AttemptEnds(*request, *attempt)));
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
        let query = self.queries.get_mut(&request).expect("a request that is sent has arrived");
        let traffic = &self.scenario.traffic[query.arrival.class.0];
        let attempt = query.take_attempt();
        let query_for_attempt = query.query_for_attempt(traffic.bad_plans_persist, &mut self.random);
        self.pool.start(&query_for_attempt, attempt, engine, settings, now, &mut self.random);
        let running = &self.pool.running[&request];
        self.tasks.add(running.ends, Task::AttemptEnds(request, attempt));
        let is_answering = running.outcome == Outcome::Ok || self.random.chance(0.5);
        let is_silent = self.pool.engines[engine.0 as usize].is_silent();
        if let Some(interval) = settings.engine.progress_interval.filter(|_| is_answering && !is_silent) {
            self.tasks.add(now + interval.as_micros() as u64, Task::Progress(request, attempt));
        }
        if self.random.chance(traffic.streams) && !is_silent {
            let first_row = now + self.random.below(running.ends - now);
            self.tasks.add(first_row, Task::Event(Event::StreamStarted { request, attempt }));
        }
        if self.random.chance(traffic.bound_to_group) {
            self.tasks.add(now + 300, Task::Event(Event::BoundToGroup(request)));
        }
    }

    fn on_rejected(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let Some(query) = self.queries.get(&request) else { return };
        let traffic = &self.scenario.traffic[query.arrival.class.0];
        let pause = self.random.uniform_around(retry_after.unwrap_or(Duration::from_millis(400)));
        if self.random.chance(traffic.client_retries) {
            let retry = Arrival { is_retry: true, ..query.arrival.clone() };
            self.tasks.add(self.now + pause, Task::ClientRetry(Box::new(retry)));
        }
    }

    /// Answers a subscription with the complete endpoint list or with a failure.
    fn on_subscribed(&mut self) {
        let event = match self.random.chance(0.3) {
            true => Event::EndpointListFailed,
            false => Event::Endpoints { scope: EndpointScope::Complete, entries: self.pool.entries() },
        };
        let at = self.now + self.random.below(20_000);
        self.tasks.add(at, Task::Event(event));
    }

    /// Schedules the next disturbance of a kind.
    pub fn plan_disturbance(&mut self, number: usize) {
        let (_, interval): (Disturbance, Duration) = self.scenario.disturbances[number];
        let at = self.now + 1 + self.random.uniform_around(interval);
        self.tasks.add(at, Task::Disturbance(number));
    }

    /// The id of the latest request.
    pub fn last_request(&self) -> RequestId {
        RequestId(self.next_request - 1)
    }
}
