//! A processor-sharing model of an engine's cores. An engine in slow start has reduced capacity and fails under overload.
//! The model performs no I/O and reads no clock: the caller passes the time, in seconds since the model's start.

use std::collections::{BTreeMap, VecDeque};

/// How the capacity of an engine grows after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampShape {
    /// Capacity at its start, as a fraction of full capacity.
    pub initial_share: f64,
    /// Seconds until it reaches full capacity; the capacity grows linearly.
    pub ramp_s: f64,
}

/// When an engine that has not reached its full capacity fails under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadRule {
    /// It fails when the work that it received in a window exceeds this multiple of what its current capacity completes in
    /// that time.
    pub multiple: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Seconds after a failure during which it rejects all queries.
    pub outage_s: f64,
}

/// Capacity and limits of a modelled engine.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Threads that run at full speed at the same time.
    pub cores: f64,
    /// How many times slower than normal it works.
    pub slowdown: f64,
    /// Its ramp after the start; `None` if it has full capacity at once.
    pub slow_start: Option<RampShape>,
    /// When it starts, in seconds of the model's time; the ramp begins then.
    pub starts_at_s: f64,
    /// Overload that makes it fail during the ramp.
    pub overload: OverloadRule,
    /// Maximum number of concurrent queries; more are rejected.
    pub max_queries: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            cores: 4.0,
            slowdown: 1.0,
            slow_start: None,
            starts_at_s: 0.0,
            overload: OverloadRule { multiple: 2.5, window_s: 1.0, outage_s: 1.0 },
            max_queries: 200,
        }
    }
}

/// The outcome of admitting a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is running.
    Running,
    /// The engine is full, or rejects everything after it failed.
    Full,
    /// The engine has just failed, and all its queries with it.
    EngineFailed,
}

/// A query that runs.
#[derive(Debug)]
struct RunningQuery {
    /// Work that is left, in seconds on one core.
    remaining_s: f64,
    threads: f64,
}

/// Work that arrived during the ramp.
#[derive(Debug)]
struct Arrival {
    at_s: f64,
    work_s: f64,
}

/// The state of an engine's cores.
#[derive(Debug)]
pub struct Model {
    shape: Shape,
    now_s: f64,
    running: BTreeMap<u64, RunningQuery>,
    arrivals: VecDeque<Arrival>,
    /// All queries are rejected before this time.
    down_until_s: f64,
}

/// Time step at which the growing capacity of an engine is recomputed, in seconds.
const RAMP_STEP_S: f64 = 0.02;
/// Remaining work, in seconds, at which a query counts as completed: above rounding errors, below any query's work.
const COMPLETED_WORK_S: f64 = 1e-7;
/// Minimum work of a query, and minimum time between two calls of [`Model::advance`], in seconds.
const MIN_STEP_S: f64 = 1e-6;
/// Lower bound of the number of threads; prevents division by zero.
const MIN_THREADS: f64 = 1e-9;

impl Model {
    /// An engine of this shape, at time 0.
    pub fn new(shape: Shape) -> Self {
        Self { shape, now_s: 0.0, running: BTreeMap::new(), arrivals: VecDeque::new(), down_until_s: 0.0 }
    }

    /// Capacity at a point in time, as a fraction of full capacity.
    fn capacity_share(&self, at_s: f64) -> f64 {
        let age_s = at_s - self.shape.starts_at_s;
        match self.shape.slow_start {
            Some(RampShape { initial_share, ramp_s }) if age_s < ramp_s => {
                initial_share + (1.0 - initial_share) * age_s.max(0.0) / ramp_s
            }
            _ => 1.0,
        }
    }

    fn is_ramping(&self) -> bool {
        self.capacity_share(self.now_s) < 1.0
    }

    /// Threads of all queries that run.
    fn threads(&self) -> f64 {
        self.running.values().map(|query| query.threads).sum()
    }

    /// Work that one thread completes per second.
    fn thread_rate(&self) -> f64 {
        let share_of_core = (self.shape.cores / self.threads().max(MIN_THREADS)).min(1.0);
        share_of_core * self.capacity_share(self.now_s) / self.shape.slowdown
    }

    /// Seconds until the first query ends, at the current rate; `None` if none runs.
    fn first_completion_s(&self) -> Option<f64> {
        let rate = self.thread_rate();
        let time_left = |query: &RunningQuery| query.remaining_s / (query.threads * rate);
        self.running.values().map(time_left).min_by(f64::total_cmp)
    }

    /// Advances to a time in seconds; returns the queries that have ended, in order.
    pub fn advance(&mut self, to_s: f64) -> Vec<u64> {
        let mut ended = Vec::new();
        while self.now_s < to_s {
            let rate = self.thread_rate();
            let max_step = if self.is_ramping() { RAMP_STEP_S } else { f64::MAX };
            let until_completion = self.first_completion_s().unwrap_or(f64::MAX);
            let step = (to_s - self.now_s).min(until_completion).min(max_step);
            self.now_s += step;
            for query in self.running.values_mut() {
                query.remaining_s -= query.threads * rate * step;
            }
            ended.extend(self.remove_completed());
        }
        ended
    }

    fn remove_completed(&mut self) -> Vec<u64> {
        let is_completed = |query: &RunningQuery| query.remaining_s <= COMPLETED_WORK_S;
        let completed: Vec<_> =
            self.running.iter().filter(|(_, query)| is_completed(query)).map(|(id, _)| *id).collect();
        for id in &completed {
            self.running.remove(id);
        }
        completed
    }

    /// Seconds until [`Model::advance`] is due again, if nothing else arrives; `None` if nothing runs.
    pub fn next_step_s(&self) -> Option<f64> {
        let first = self.first_completion_s()?;
        let step = if self.is_ramping() { first.min(RAMP_STEP_S) } else { first };
        Some(step.max(MIN_STEP_S))
    }

    /// Admits a query of this work, in seconds on one core, and number of threads. The caller has advanced the model to now.
    pub fn admit(&mut self, id: u64, work_s: f64, threads: f64) -> Admission {
        if self.now_s < self.down_until_s || self.running.len() >= self.shape.max_queries {
            return Admission::Full;
        }
        if self.is_ramping() && self.is_overloaded_by(work_s) {
            self.fail();
            return Admission::EngineFailed;
        }
        self.running.insert(id, RunningQuery { remaining_s: work_s.max(MIN_STEP_S), threads });
        Admission::Running
    }

    /// Logs the work of an arrival during the ramp; returns whether the window now exceeds the overload rule.
    fn is_overloaded_by(&mut self, work_s: f64) -> bool {
        let OverloadRule { multiple, window_s, .. } = self.shape.overload;
        self.arrivals.push_back(Arrival { at_s: self.now_s, work_s });
        let window_start = self.now_s - window_s;
        self.arrivals.retain(|arrival| arrival.at_s > window_start);
        let work_in_window: f64 = self.arrivals.iter().map(|arrival| arrival.work_s).sum();
        work_in_window > multiple * self.capacity_share(self.now_s) * self.shape.cores * window_s
    }

    fn fail(&mut self) {
        self.down_until_s = self.now_s + self.shape.overload.outage_s;
        self.running.clear();
        self.arrivals.clear();
    }

    /// Sets how many times slower than normal it works from now on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.shape.slowdown = slowdown;
    }

    /// Cancels a query, if it runs.
    pub fn cancel(&mut self, id: u64) {
        self.running.remove(&id);
    }

    /// Queries that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Share of its cores that is in use, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        (self.threads() / self.shape.cores).min(1.0)
    }
}

#[cfg(test)]
mod tests;
