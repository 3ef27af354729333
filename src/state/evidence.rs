//! Evidence of the load of an engine, or of all engines together, from responses and from attempts in flight.

use super::mean::Mean;

/// Share of its samples that a mean keeps from one period to the next ...
const PERIOD_DECAY: f64 = 0.75;
/// ... and share that a mean keeps after a cut, so that the same samples do not cause the next one.
const CUT_DECAY: f64 = 0.25;

/// Evidence from the attempts in flight.
#[derive(Clone, Default)]
pub(crate) struct InFlightEvidence {
    /// Age over the class's best time, clipped, of all classes together.
    pub(crate) age: Mean,
    /// For each class: ages beyond the stretched objective, over the objective.
    pub(crate) over_objective: Vec<Mean>,
    /// Number of attempts in flight for far too long ...
    pub(crate) stalled: usize,
    /// ... and the shortest age from which on one of them is.
    pub(crate) stall_threshold: i64,
}

/// Evidence from responses and from attempts in flight.
#[derive(Default)]
pub(crate) struct Evidence {
    /// For each class: latency over the stretched objective, since the last cut.
    pub(crate) over_objective: Vec<Mean>,
    /// Latency over best time, of all classes together.
    pub(crate) slowdown: Mean,
    pub(crate) slowdown_since_cut: Mean,
    /// Reported share in use of the scarcest resource.
    pub(crate) utilization: Mean,
    pub(crate) in_flight: InFlightEvidence,
}

impl InFlightEvidence {
    pub(crate) fn new(classes: usize) -> Self {
        Self { over_objective: vec![Mean::default(); classes], ..Self::default() }
    }

    /// Counts an attempt that has stalled; from this age on it has.
    pub(crate) fn add_stalled(&mut self, threshold: i64) {
        let is_first = self.stalled == 0;
        self.stall_threshold = if is_first { threshold } else { self.stall_threshold.min(threshold) };
        self.stalled += 1;
    }
}

impl Evidence {
    pub(crate) fn new(classes: usize) -> Self {
        let over_objective = vec![Mean::default(); classes];
        Self { over_objective, in_flight: InFlightEvidence::new(classes), ..Self::default() }
    }

    /// Adds a latency over best time.
    pub(crate) fn add_slowdown(&mut self, slowdown: f64, recent: f64, memory: f64) {
        self.slowdown.add(slowdown, recent);
        self.slowdown_since_cut.add(slowdown, memory);
    }

    /// Ends a period. Each period is judged by its own completions; classes with fewer than `min_samples` gather theirs
    /// over several.
    pub(crate) fn end_period(&mut self, min_samples: f64) {
        self.slowdown.samples *= PERIOD_DECAY;
        self.utilization.samples *= PERIOD_DECAY;
        self.slowdown_since_cut.samples *= CUT_DECAY;
        for mean in &mut self.over_objective {
            mean.samples *= if mean.samples < min_samples { PERIOD_DECAY } else { CUT_DECAY };
        }
    }

    /// A class's latency over its objective, including the attempts in flight that are beyond it.
    pub(crate) fn over_objective_now(&self, class: usize) -> Mean {
        let completed = self.over_objective[class];
        let in_flight = self.in_flight.over_objective.get(class).copied().unwrap_or_default();
        let samples = completed.samples + in_flight.samples;
        let sum = completed.value * completed.samples + in_flight.value * in_flight.samples;
        Mean { samples, value: sum / samples.max(1.0) }
    }
}
