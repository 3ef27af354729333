//! A small deterministic pool of engines that runs the attempts sent by the scheduler.

use crate::random::Random;
use crate::scenario::{ClassTraffic, Fault, Scenario};
use reedwalk_scheduler::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Factor on the run time of a query with a bad plan.
const BAD_PLAN_FACTOR: f64 = 8.0;
/// Factor on the run time of queries at an engine that has just started, during `SLOW_START_US`.
const SLOW_START_FACTOR: f64 = 2.5;
const SLOW_START_US: u64 = 8_000_000;
/// Time until a refused connection, a rejected query or a request that was never sent is reported.
const FAST_ANSWER_US: u64 = 1500;

/// An engine of the pool.
pub struct SimulatedEngine {
    pub entry: EngineEntry,
    pub fault: Option<Fault>,
    pub restarted_at: Option<u64>,
    threads: f64,
}

/// The properties of a request that are drawn when it arrives.
#[derive(Clone)]
pub struct Query {
    pub arrival: Arrival,
    pub deadline: u64,
    /// Run time on one thread, in microseconds.
    work: f64,
    has_bad_plan: bool,
    is_faulty: bool,
    attempts: u32,
}

/// An attempt in progress at an engine.
pub struct RunningAttempt {
    pub engine: EngineId,
    pub attempt: AttemptNo,
    pub sent: u64,
    pub ends: u64,
    pub outcome: Outcome,
    threads: f64,
    work: f64,
    is_cancelled: bool,
}

impl RunningAttempt {
    /// Whether this attempt is still running, so that the engine reports its progress.
    pub fn is_running(&self, attempt: AttemptNo) -> bool {
        self.attempt == attempt && !self.is_cancelled
    }
}

/// The engines, and the attempts in progress at them.
pub struct Pool {
    pub engines: Vec<SimulatedEngine>,
    pub running: BTreeMap<RequestId, RunningAttempt>,
    other_threads: f64,
    load_reports: bool,
}

impl Pool {
    pub fn new(scenario: &Scenario) -> Self {
        let engine = |entry: &EngineEntry| SimulatedEngine {
            entry: entry.clone(),
            fault: None,
            restarted_at: None,
            threads: 0.0,
        };
        Self {
            engines: scenario.engines.iter().map(engine).collect(),
            running: BTreeMap::new(),
            other_threads: scenario.other_threads,
            load_reports: scenario.load_reports,
        }
    }

    pub fn entries(&self) -> Vec<EngineEntry> {
        self.engines.iter().map(|engine| engine.entry.clone()).collect()
    }

    /// Starts an attempt and determines when it ends and with which outcome.
    pub fn start(
        &mut self,
        query: &Query,
        attempt: AttemptNo,
        to: EngineId,
        settings: &Settings,
        now: u64,
        random: &mut Random,
    ) {
        let class = &settings.classes[query.arrival.class.0];
        let engine = &mut self.engines[to.0 as usize];
        let threads = f64::from(class.threads);
        engine.threads += threads;
        let cores = settings.cores(engine.entry.kind);
        let contention = ((engine.threads + self.other_threads) / cores).max(1.0);
        let duration_us = query.work / threads * contention * engine.slowdown_factor(now);
        let (outcome, duration_us) = engine.answer(query, duration_us as u64 + 200, random);
        let is_reported_late = random.chance(0.3);
        let client_timeout_at =
            query.deadline.max(now + 1) + if is_reported_late { random.below(30_000) } else { 0 };
        let (outcome, ends) = match now + duration_us {
            ends if ends < client_timeout_at => (outcome, ends),
            _ => (Outcome::TimedOut, client_timeout_at),
        };
        let (engine, work) = (to, query.work);
        let running =
            RunningAttempt { engine, attempt, sent: now, ends, outcome, threads, work, is_cancelled: false };
        self.running.insert(query.arrival.request, running);
    }

    /// Cancels an attempt, which with a probability of 0.1 still ends with an answer. Returns when it ends, unless
    /// it ends sooner by itself.
    pub fn cancel(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
        now: u64,
        random: &mut Random,
    ) -> Option<u64> {
        let running = self.running.get_mut(&request).filter(|running| running.attempt == attempt)?;
        let ends = now + 500 + random.below(8000);
        if running.is_cancelled || running.ends < ends {
            return None;
        }
        running.is_cancelled = true;
        running.ends = ends;
        running.outcome = if random.chance(0.1) { Outcome::Ok } else { Outcome::Cancelled };
        Some(ends)
    }

    /// Ends an attempt that is due and returns its event.
    pub fn end(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
        now: u64,
        traffic: &ClassTraffic,
        random: &mut Random,
    ) -> Option<AttemptEnded> {
        let is_due = |running: &RunningAttempt| running.attempt == attempt && running.ends <= now;
        self.running.get(&request).filter(|running| is_due(running))?;
        let running = self.running.remove(&request)?;
        let engine = &mut self.engines[running.engine.0 as usize];
        engine.threads = (engine.threads - running.threads).max(0.0);
        let is_served = running.outcome == Outcome::Ok;
        let usage = (is_served && traffic.reports_usage).then(|| ResourceUsage {
            work: Duration::from_micros((running.work * (0.8 + 0.4 * random.unit())) as u64),
            memory_mb: running.work / 5000.0 * (0.5 + random.unit()),
        });
        let is_answered = matches!(running.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let has_report = self.load_reports && is_answered;
        let report = has_report.then(|| engine.load_report(self.other_threads, random));
        let outcome = running.outcome;
        Some(AttemptEnded { request, attempt, outcome, closed: is_served, usage, load: report })
    }

    /// Restarts an engine, which breaks the connections of its attempts. Returns the interrupted attempts.
    pub fn restart(&mut self, id: EngineId, now: u64) -> Vec<(RequestId, AttemptNo)> {
        self.engines[id.0 as usize].restarted_at = Some(now);
        let interrupted = self.running.iter_mut().filter(|(_, running)| running.engine == id);
        let broken = interrupted.map(|(request, running)| {
            (running.ends, running.outcome) = (now, Outcome::Reset);
            (*request, running.attempt)
        });
        broken.collect()
    }
}

impl SimulatedEngine {
    pub fn is_silent(&self) -> bool {
        self.fault == Some(Fault::Silent)
    }

    fn slowdown_factor(&self, now: u64) -> f64 {
        let is_starting = self.restarted_at.is_some_and(|at| now < at + SLOW_START_US);
        let starting = if is_starting { SLOW_START_FACTOR } else { 1.0 };
        match self.fault {
            Some(Fault::Slow(factor)) => starting * factor,
            _ => starting,
        }
    }

    /// The outcome at this engine of an attempt that would run for `duration_us`, and the microseconds until it ends.
    fn answer(&self, query: &Query, duration_us: u64, random: &mut Random) -> (Outcome, u64) {
        let is_listed = self.entry.state != EngineState::Removed;
        match self.fault {
            _ if !is_listed => (Outcome::ConnectFailed, FAST_ANSWER_US),
            Some(Fault::Silent) => (Outcome::TimedOut, u64::MAX / 4),
            Some(Fault::Rejects) => (Outcome::Rejected, FAST_ANSWER_US),
            Some(Fault::RefusesConnections) => (Outcome::ConnectFailed, FAST_ANSWER_US),
            Some(Fault::Resets) => (Outcome::Reset, duration_us / 2),
            Some(Fault::Errors(share)) if random.chance(share) => (Outcome::Error, duration_us / 8),
            _ if query.is_faulty => (Outcome::Error, duration_us / 4),
            _ if random.chance(0.0005) => (Outcome::NeverSent, FAST_ANSWER_US),
            _ => (Outcome::Ok, duration_us),
        }
    }

    fn load_report(&self, other_threads: f64, random: &mut Random) -> LoadReport {
        let cpu = (self.threads + other_threads) / 16.0 * (0.7 + 0.6 * random.unit());
        LoadReport {
            queue: random.chance(0.5).then_some(0.0),
            cpu: random.chance(0.9).then_some(cpu),
            memory: random.chance(0.3).then_some(cpu * 0.8),
            disk: random.chance(0.3).then_some(if random.chance(0.02) { f64::NAN } else { cpu * 0.5 }),
            in_flight: random.chance(0.5).then_some(self.threads),
        }
    }
}

impl Query {
    pub fn new(arrival: Arrival, traffic: &ClassTraffic, now: u64, random: &mut Random) -> Self {
        let deadline = now + arrival.time_left.as_micros() as u64;
        let mean = traffic.work.as_micros() as f64;
        // A skewed distribution from a fifth of the mean to several times the mean, mostly short.
        let work = mean * (0.2 + 2.4 * random.unit() * random.unit() * (0.4 + random.unit()));
        let (has_bad_plan, is_faulty) =
            (random.chance(traffic.bad_plans), random.chance(traffic.faulty_queries));
        Self { arrival, deadline, work, has_bad_plan, is_faulty, attempts: 0 }
    }

    /// Allocates the number of the next attempt.
    pub fn take_attempt(&mut self) -> AttemptNo {
        self.attempts += 1;
        AttemptNo(self.attempts - 1)
    }

    /// The query as its next attempt runs it: with the bad plan, if the query still has one.
    pub fn query_for_attempt(&mut self, bad_plan_persists: f64, random: &mut Random) -> Self {
        let mut query_for_attempt = self.clone();
        if self.has_bad_plan {
            query_for_attempt.work *= BAD_PLAN_FACTOR;
            self.has_bad_plan = random.chance(bad_plan_persists);
        }
        query_for_attempt
    }
}
