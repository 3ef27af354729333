//! Timestamped log of the attempts that the engines of a run received, and checks of the gateway's rules over it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One event at an engine.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// When the engine saw it.
    pub at: Instant,
    /// Id of the engine.
    pub engine: String,
    /// Trace id of the attempt.
    pub trace: String,
    /// The event of the attempt.
    pub event: AttemptEvent,
}

/// An event in the life of an attempt at an engine.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The whole attempt was received.
    Began {
        /// Its work on one core.
        work: Duration,
        /// Its idempotency key, if it has one.
        key: Option<String>,
    },
    /// Its response was written, or its connection ended.
    Ended,
    /// The gateway cancelled it.
    Cancelled,
    /// Its arrival overloaded the engine during slow start, and the engine failed.
    EngineFailed,
}

impl AttemptEvent {
    fn is_begin(&self) -> bool {
        matches!(self, Self::Began { .. })
    }
}

/// The log of all engines of a run; clones share one log. Its methods panic if a holder of the log has panicked.
#[derive(Clone, Debug, Default)]
pub struct RequestLog(Arc<Mutex<Vec<LogEntry>>>);

/// The slow start of an engine, and the limit on the work that it may receive in a window.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Id of the engine.
    pub engine: String,
    /// When it started.
    pub started_at: Instant,
    /// Its cores.
    pub cores: f64,
    /// Capacity at its start, as a fraction of full capacity.
    pub initial_share: f64,
    /// Time until it reaches full capacity.
    pub ramp: Duration,
    /// Length of the window in which work is counted.
    pub window: Duration,
    /// Work that the rule allows in a window, as a multiple of what the current capacity completes in it.
    pub multiple: f64,
}

/// Lower bound of the ramp, in seconds; prevents division by zero.
const MIN_RAMP_S: f64 = 1e-9;

impl SlowStart {
    /// Work on one core that may be sent in the window that ends at `at`.
    pub fn budget(&self, at: Instant) -> Duration {
        let age = at.saturating_duration_since(self.started_at).as_secs_f64();
        let progress = age / self.ramp.as_secs_f64().max(MIN_RAMP_S);
        let capacity_share =
            if progress >= 1.0 { 1.0 } else { self.initial_share + (1.0 - self.initial_share) * progress };
        self.window.mul_f64(self.multiple * capacity_share * self.cores)
    }
}

/// The first attempt of an idempotency key, and whether another group of engines received one within the window.
struct FirstOfKey<G> {
    at: Instant,
    group: G,
    is_duplicated: bool,
}

impl RequestLog {
    /// Logs an event with the current time.
    pub fn record(&self, engine: &str, trace: &str, event: AttemptEvent) {
        let (engine, trace) = (engine.to_owned(), trace.to_owned());
        let entry = LogEntry { at: Instant::now(), engine, trace, event };
        self.lock().push(entry);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LogEntry>> {
        self.0.lock().unwrap()
    }

    /// All entries so far, in order.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.lock().clone()
    }

    /// Attempts that an engine has received.
    pub fn attempts_at(&self, engine: &str) -> usize {
        let entries = self.lock();
        entries.iter().filter(|entry| entry.engine == engine && entry.event.is_begin()).count()
    }

    /// Attempts that arrived at a draining engine `grace` or more after the gateway was notified of the draining.
    pub fn attempts_after_drain(&self, engine: &str, notified_at: Instant, grace: Duration) -> usize {
        let is_late = |entry: &&LogEntry| entry.engine == engine && entry.at >= notified_at + grace;
        self.lock().iter().filter(is_late).filter(|entry| entry.event.is_begin()).count()
    }

    /// Arrival time and work of each attempt that an engine received during its slow start.
    fn work_in_slow_start(&self, start: &SlowStart) -> Vec<(Instant, Duration)> {
        let ramp_end = start.started_at + start.ramp;
        let work_of = |entry: &LogEntry| match entry.event {
            AttemptEvent::Began { work, .. } => Some((entry.at, work)),
            _ => None,
        };
        let entries = self.lock();
        entries
            .iter()
            .filter(|entry| entry.engine == start.engine && entry.at >= start.started_at)
            .filter_map(work_of)
            .take_while(|(at, _)| *at < ramp_end)
            .collect()
    }

    /// For each attempt that an engine received during its slow start: the work in the window that ends there, as a
    /// multiple of the limit.
    fn slow_start_windows(&self, start: &SlowStart) -> Vec<f64> {
        let received = self.work_in_slow_start(start);
        let mut first = 0;
        let mut work_in_window = Duration::ZERO;
        let mut windows = Vec::with_capacity(received.len());
        for (at, work) in &received {
            work_in_window += *work;
            while received[first].0 + start.window <= *at {
                work_in_window -= received[first].1;
                first += 1;
            }
            windows.push(work_in_window.as_secs_f64() / start.budget(*at).as_secs_f64());
        }
        windows
    }

    /// Windows in which an engine in slow start received more work than the rule allows, each counted at the attempt that
    /// exceeded it.
    pub fn slow_start_overruns(&self, start: &SlowStart) -> usize {
        self.slow_start_windows(start).into_iter().filter(|window| *window > 1.0).count()
    }

    /// Maximum work in any window of an engine in slow start, as a multiple of the limit.
    pub fn slow_start_peak(&self, start: &SlowStart) -> f64 {
        self.slow_start_windows(start).into_iter().fold(0.0, f64::max)
    }

    /// Attempts of an idempotency key that arrived more than `window` after the first of that key: the engines may have
    /// forgotten it.
    pub fn attempts_after_window(&self, window: Duration) -> usize {
        let mut first_at: BTreeMap<String, Instant> = BTreeMap::new();
        let mut late = 0;
        for entry in self.lock().iter() {
            if let AttemptEvent::Began { key: Some(key), .. } = &entry.event {
                let first_at = *first_at.entry(key.clone()).or_insert(entry.at);
                late += usize::from(entry.at.duration_since(first_at) > window);
            }
        }
        late
    }

    /// Idempotency keys of which two groups of engines received attempts within the window of the first. Groups do not know
    /// each other's keys, so the effect may have happened twice. `group` returns the group of an engine.
    pub fn duplicated_keys<G: PartialEq>(&self, group: impl Fn(&str) -> G, window: Duration) -> usize {
        let mut first_of_key: BTreeMap<String, FirstOfKey<G>> = BTreeMap::new();
        for entry in self.lock().iter() {
            let AttemptEvent::Began { key: Some(key), .. } = &entry.event else { continue };
            let group = group(&entry.engine);
            match first_of_key.get_mut(key) {
                Some(first) => {
                    let is_in_window = entry.at.duration_since(first.at) <= window;
                    first.is_duplicated |= first.group != group && is_in_window;
                }
                None => {
                    let first = FirstOfKey { at: entry.at, group, is_duplicated: false };
                    first_of_key.insert(key.clone(), first);
                }
            }
        }
        first_of_key.values().filter(|first| first.is_duplicated).count()
    }

    /// Maximum number of attempts of a single request, over all engines. A client's retry is a separate request with its
    /// own trace id.
    pub fn max_attempts(&self) -> usize {
        let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
        for entry in self.lock().iter().filter(|entry| entry.event.is_begin()) {
            *attempts.entry(entry.trace.clone()).or_default() += 1;
        }
        attempts.into_values().max().unwrap_or(0)
    }

    /// Maximum number of attempts of one idempotency key in flight at the same time, over all engines.
    ///
    /// # Panics
    ///
    /// If an attempt ended that never began.
    pub fn max_in_flight_per_key(&self) -> usize {
        let mut in_flight: BTreeMap<String, usize> = BTreeMap::new();
        let mut key_of_attempt: BTreeMap<(String, String), String> = BTreeMap::new();
        let mut max = 0;
        for entry in self.lock().iter() {
            let attempt = (entry.engine.clone(), entry.trace.clone());
            match &entry.event {
                AttemptEvent::Began { key: Some(key), .. } => {
                    key_of_attempt.insert(attempt, key.clone());
                    let count = in_flight.entry(key.clone()).or_default();
                    *count += 1;
                    max = max.max(*count);
                }
                AttemptEvent::Ended | AttemptEvent::Cancelled => {
                    if let Some(key) = key_of_attempt.remove(&attempt) {
                        *in_flight.get_mut(&key).unwrap() -= 1;
                    }
                }
                _ => {}
            }
        }
        max
    }
}

#[cfg(test)]
mod tests;
