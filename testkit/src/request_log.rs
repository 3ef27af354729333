//! What the stand-in engines saw, with times, and checkers of the rules that read it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One thing that an engine saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub engine: String,
    pub trace: String,
    pub what: What,
}

#[derive(Clone, Debug)]
pub enum What {
    /// An attempt arrived whole: its work on one core, the key it bore.
    Began { work: Duration, key: Option<String> },
    /// Its end was written, or its connection ended.
    Ended,
    /// It was given up.
    Killed,
    /// The engine fell over.
    Fell,
}

/// The record of all engines of a run; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Record(Arc<Mutex<Vec<Seen>>>);

/// A cold start: which engine, when, and what the rule allows it.
#[derive(Clone, Debug)]
pub struct SlowStart {
    pub engine: String,
    pub at: Instant,
    pub cores: f64,
    /// Its capacity at the start, as a share of what it has when warm.
    pub from: f64,
    /// How long it takes to be warm.
    pub ramp: Duration,
    pub window: Duration,
    pub multiple: f64,
}

impl SlowStart {
    /// Work that may be sent in the window that ends at `at`.
    pub fn budget(&self, at: Instant) -> Duration {
        let age = at.saturating_duration_since(self.at).as_secs_f64() / self.ramp.as_secs_f64().max(1e-9);
        let warm = if age >= 1.0 { 1.0 } else { self.from + (1.0 - self.from) * age };
        self.window.mul_f64(self.multiple * warm * self.cores)
    }
}

impl Record {
    pub fn see(&self, engine: &str, trace: &str, what: What) {
        let seen = Seen { at: Instant::now(), engine: engine.into(), trace: trace.into(), what };
        self.lock().push(seen);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.0.lock().unwrap()
    }

    pub fn all(&self) -> Vec<Seen> {
        self.lock().clone()
    }

    /// Attempts that began at an engine.
    pub fn began(&self, engine: &str) -> usize {
        self.lock().iter().filter(|s| s.engine == engine && matches!(s.what, What::Began { .. })).count()
    }

    /// Attempts that arrived at a draining engine `grace` after it was told, or later.
    pub fn late_sends(&self, engine: &str, told: Instant, grace: Duration) -> usize {
        let late = |s: &&Seen| s.engine == engine && s.at >= told + grace;
        self.lock().iter().filter(late).filter(|s| matches!(s.what, What::Began { .. })).count()
    }

    /// For each send to an engine while it was cold: the work in the window that ends there, over what the rule
    /// allows it.
    fn slow_start_windows(&self, start: &SlowStart) -> Vec<f64> {
        let seen = self.lock();
        let sent =
            seen.iter().filter(|s| s.engine == start.engine && s.at >= start.at).filter_map(|s| {
                match s.what {
                    What::Began { work, .. } => Some((s.at, work)),
                    _ => None,
                }
            });
        let sent: Vec<_> = sent.take_while(|s| s.0 < start.at + start.ramp).collect();
        let (mut first, mut work) = (0, Duration::ZERO);
        let window = |(at, more): &(Instant, Duration)| {
            work += *more;
            while sent[first].0 + start.window <= *at {
                work -= sent[first].1;
                first += 1;
            }
            work.as_secs_f64() / start.budget(*at).as_secs_f64()
        };
        sent.iter().map(window).collect()
    }

    /// Windows in which a cold engine was sent more work than the rule allows, each counted at the send that
    /// went over.
    pub fn slow_start_overruns(&self, start: &SlowStart) -> usize {
        self.slow_start_windows(start).into_iter().filter(|w| *w > 1.0).count()
    }

    /// The fullest window of a cold engine, over what the rule allows.
    pub fn slow_start_peak(&self, start: &SlowStart) -> f64 {
        self.slow_start_windows(start).into_iter().fold(0.0, f64::max)
    }

    /// Attempts of a key that arrived later than this after the first of that key: the engines may have forgotten it.
    pub fn sent_after_window(&self, window: Duration) -> usize {
        let mut first: BTreeMap<String, Instant> = BTreeMap::new();
        let mut late = 0;
        for seen in self.lock().iter() {
            if let What::Began { key: Some(key), .. } = &seen.what {
                let first = *first.entry(key.clone()).or_insert(seen.at);
                late += usize::from(seen.at.duration_since(first) > window);
            }
        }
        late
    }

    /// Keys of which attempts began in two groups of engines that don't know of each other's, within the window of the
    /// first: their effect may have come twice.
    pub fn doubled<G: PartialEq>(&self, group: impl Fn(&str) -> G, window: Duration) -> usize {
        let mut first: BTreeMap<String, (Instant, G, bool)> = BTreeMap::new();
        for seen in self.lock().iter() {
            if let What::Began { key: Some(key), .. } = &seen.what {
                let group = group(&seen.engine);
                match first.get_mut(key) {
                    Some((at, there, twice)) => {
                        *twice |= *there != group && seen.at.duration_since(*at) <= window;
                    }
                    None => _ = first.insert(key.clone(), (seen.at, group, false)),
                }
            }
        }
        first.values().filter(|f| f.2).count()
    }

    /// The most attempts that any request had, over all engines; each client's try has an id of its own.
    pub fn most_attempts(&self) -> usize {
        let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
        for seen in self.lock().iter().filter(|s| matches!(s.what, What::Began { .. })) {
            *attempts.entry(seen.trace.clone()).or_default() += 1;
        }
        attempts.into_values().max().unwrap_or(0)
    }

    /// The most attempts of one key that were out at one moment, over all engines.
    pub fn most_out_of_a_key(&self) -> usize {
        let mut out: BTreeMap<String, usize> = BTreeMap::new();
        let mut key_of: BTreeMap<(String, String), String> = BTreeMap::new();
        let mut most = 0;
        for seen in self.lock().iter() {
            let attempt = (seen.engine.clone(), seen.trace.clone());
            match &seen.what {
                What::Began { key: Some(key), .. } => {
                    key_of.insert(attempt, key.clone());
                    let count = out.entry(key.clone()).or_default();
                    *count += 1;
                    most = most.max(*count);
                }
                What::Ended | What::Killed => {
                    if let Some(key) = key_of.remove(&attempt) {
                        *out.get_mut(&key).unwrap() -= 1;
                    }
                }
                _ => {}
            }
        }
        most
    }
}

#[cfg(test)]
mod tests;
