//! Load evidence: how loaded an engine, or the whole pool, appears from responses, load reports and attempts
//! in flight. Also the slowdown that breaks ties between engines.
//!
//! The paper's control loop uses a few hundred to a few thousand transactions for each estimate (section
//! 6.1). With many gateways, each one sees few completions of an engine, so the pool's evidence is used for
//! engines with too few samples.

use super::class_estimates::{ClassEstimates, CompletionSample};
use super::{
    CONTROL_PERIOD, LONG_TERM_SAMPLES, MAX_SLOWDOWN, MIN_SAMPLES, PRESSURE_SLOWDOWN, RECENT_SAMPLES,
};
use crate::interface::{ClassId, LoadReport, Settings};
use crate::state::{EngineTable, InFlightAttempt, Mean, RequestRecord, RequestTable};
use crate::time::{TimeSpan, Timestamp};

/// Share of its samples that a mean retains from one control period to the next: the weight of a period
/// halves after two to three others.
const PERIOD_DECAY: f64 = 0.75;
/// Share of its samples that a mean retains once it was able to cut a limit, so that the same samples do not
/// cause another cut.
const CUT_DECAY: f64 = 0.25;
/// Upper bound for the age of an attempt in flight over the unloaded time of its class.
const MAX_AGE_RATIO: f64 = 4.0 * PRESSURE_SLOWDOWN;
/// Multiple of its expected time at which an attempt counts as stalled.
const STALL_THRESHOLD_MULTIPLE: i64 = 6;
/// Half intervals between progress reports after which reports count as missing: longer than any silence of
/// an attempt that is still served.
const REPORT_TIMEOUT_HALF_INTERVALS: i64 = 5;
/// Weight of the latest sample in an engine's slowdown, which halves the effect of the variation between
/// queries.
const OBSERVATION_WEIGHT: f64 = 0.5;
/// How long this gateway's own observation of an engine takes precedence over those of other gateways.
const OBSERVATION_TTL: TimeSpan = TimeSpan::from_millis(1000);
/// Utilization above which the estimated slowdown no longer increases; caps it at 10.
const MAX_UTILIZATION: f64 = 0.9;
/// Upper bound for a reported utilization; values above 1 are noise or indicate a queue.
const MAX_REPORTED_UTILIZATION: f64 = 2.0;

/// Evidence from the attempts in flight, recomputed in each round of housekeeping. Congested engines complete
/// nothing, so no other evidence reveals them in time.
#[derive(Default)]
struct InFlightEvidence {
    /// Age over the unloaded time of the class, clipped, for all classes together.
    age_ratio: Mean,
    /// By class: age over the objective, for attempts that are older than the objective.
    objective_ratio: Vec<Mean>,
    stalled: Option<StalledAttempts>,
}

/// Attempts in flight that count as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StalledAttempts {
    pub(crate) count: usize,
    /// Shortest age at which one of them counts as stalled.
    pub(crate) threshold: TimeSpan,
}

/// Load evidence of one engine or of the whole pool.
pub(crate) struct LoadEvidence {
    /// By class: execution time over the stretched objective since the last cut, the design's f.
    objective_ratio: Vec<Mean>,
    /// Execution time over that on an unloaded engine, for all classes together.
    slowdown: Mean,
    /// The same since the last cut.
    slowdown_since_cut: Mean,
    /// Reported utilization of the scarcest resource.
    utilization: Mean,
    in_flight: InFlightEvidence,
}

impl LoadEvidence {
    /// Evidence without samples.
    pub(crate) fn new(classes: usize) -> Self {
        let no_samples = || vec![Mean::default(); classes];
        Self {
            objective_ratio: no_samples(),
            slowdown: Mean::default(),
            slowdown_since_cut: Mean::default(),
            utilization: Mean::default(),
            in_flight: InFlightEvidence { objective_ratio: no_samples(), ..InFlightEvidence::default() },
        }
    }

    /// Records the sample of a served query.
    pub(crate) fn record_completion(&mut self, class: ClassId, sample: &CompletionSample) {
        self.objective_ratio[class.0].add(sample.objective_ratio, LONG_TERM_SAMPLES);
        if let Some(slowdown) = sample.slowdown {
            self.record_slowdown(slowdown);
        }
    }

    /// Records that an attempt was rejected because the engine is full.
    pub(crate) fn record_rejection(&mut self) {
        self.record_slowdown(MAX_SLOWDOWN);
    }

    fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown.add(slowdown, RECENT_SAMPLES);
        self.slowdown_since_cut.add(slowdown, LONG_TERM_SAMPLES);
    }

    /// Records the reported utilization of the scarcest resource.
    pub(crate) fn record_utilization(&mut self, utilization: f64) {
        self.utilization.add(utilization.clamp(0.0, MAX_REPORTED_UTILIZATION), RECENT_SAMPLES);
    }

    /// Mean slowdown, if it has at least this many samples.
    pub(crate) fn slowdown(&self, min_samples: f64) -> Option<f64> {
        self.slowdown.get(min_samples)
    }

    /// Mean slowdown since the last cut, if it has at least this many samples.
    pub(crate) fn slowdown_since_cut(&self, min_samples: f64) -> Option<f64> {
        self.slowdown_since_cut.get(min_samples)
    }

    /// Mean reported utilization, if it has at least this many samples.
    pub(crate) fn utilization(&self, min_samples: f64) -> Option<f64> {
        self.utilization.get(min_samples)
    }

    /// Mean age over unloaded time of the attempts in flight, if there are at least this many.
    pub(crate) fn in_flight_age_ratio(&self, min_samples: f64) -> Option<f64> {
        self.in_flight.age_ratio.get(min_samples)
    }

    /// Stalled attempts, if any.
    pub(crate) fn stalled(&self) -> Option<StalledAttempts> {
        self.in_flight.stalled
    }

    /// Execution time of a class over its objective: the mean over its completions and over the attempts in
    /// flight that have already exceeded the objective. As the design notes, a hung engine yields no
    /// completions until its attempts time out; the attempts in flight reveal it earlier.
    pub(crate) fn objective_ratio(&self, class: usize) -> Mean {
        let completed = self.objective_ratio[class];
        let in_flight = self.in_flight.objective_ratio[class];
        let samples = completed.samples + in_flight.samples;
        let sum = completed.value * completed.samples + in_flight.value * in_flight.samples;
        Mean { samples, value: sum / samples.max(1.0) }
    }

    /// Ends a control period. Each period is judged by its own completions; classes with few completions
    /// accumulate them over several periods.
    pub(crate) fn end_period(&mut self) {
        self.slowdown.samples *= PERIOD_DECAY;
        self.utilization.samples *= PERIOD_DECAY;
        self.slowdown_since_cut.samples *= CUT_DECAY;
        for mean in &mut self.objective_ratio {
            mean.samples *= if mean.samples < MIN_SAMPLES { PERIOD_DECAY } else { CUT_DECAY };
        }
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.age_ratio = Mean::default();
        self.in_flight.objective_ratio.fill(Mean::default());
        self.in_flight.stalled = None;
    }

    fn record_in_flight(&mut self, class: ClassId, age: &AttemptAge) {
        self.in_flight.age_ratio.add(age.age_ratio, LONG_TERM_SAMPLES);
        if let Some(objective_ratio) = age.objective_ratio {
            self.in_flight.objective_ratio[class.0].add(objective_ratio, LONG_TERM_SAMPLES);
        }
    }

    fn record_stalled(&mut self, threshold: TimeSpan) {
        let before = self.in_flight.stalled;
        let count = before.map_or(0, |stalled| stalled.count) + 1;
        let threshold = before.map_or(threshold, |stalled| stalled.threshold.min(threshold));
        self.in_flight.stalled = Some(StalledAttempts { count, threshold });
    }
}

/// Age of an attempt in flight.
struct AttemptAge {
    /// Age over the unloaded time of its class, clipped.
    age_ratio: f64,
    /// Age over the objective of its class, if it has exceeded the objective.
    objective_ratio: Option<f64>,
    /// Age at which it counts as stalled; `None` if it has not reached that age.
    stall_threshold: Option<TimeSpan>,
}

/// A survey of the attempts in flight.
pub(crate) struct InFlightSurvey<'a> {
    pub(crate) now: Timestamp,
    pub(crate) settings: &'a Settings,
    pub(crate) estimates: &'a ClassEstimates,
}

impl InFlightSurvey<'_> {
    /// Recomputes the evidence from the attempts in flight, for each engine and the pool. Skips attempts
    /// whose rows have begun to arrive: their duration depends on the client.
    pub(crate) fn collect(
        &self,
        requests: &RequestTable,
        engines: &mut EngineTable,
        pool: &mut LoadEvidence,
    ) {
        engines.values_mut().for_each(|engine| engine.load.clear_in_flight());
        pool.clear_in_flight();
        for (_, request) in requests.iter().filter(|(_, request)| !request.streaming) {
            let Some(attempt) = &request.in_flight else { continue };
            let Some(engine) = engines.get_mut(attempt.engine) else { continue };
            let (class, age) = (request.arrival.class, self.age(request, attempt));
            engine.load.record_in_flight(class, &age);
            pool.record_in_flight(class, &age);
            if let Some(threshold) = age.stall_threshold {
                engine.load.record_stalled(threshold);
            }
        }
    }

    /// Age of an attempt. It counts as stalled at six times its expected time (at least one tick), or when
    /// its progress reports are missing, whichever is earlier.
    fn age(&self, request: &RequestRecord, attempt: &InFlightAttempt) -> AttemptAge {
        let class = request.arrival.class;
        let age = self.now - attempt.sent;
        let age_us = age.as_micros_f64();
        let expected = self.estimates.execution_time(&request.arrival);
        let unloaded_us = self.estimates.unloaded_time_us(class).unwrap_or(expected.as_micros_f64()).max(1.0);
        let objective_us = self.estimates.objective(class).as_micros_f64();
        let expected_threshold = expected.max(self.settings.tick.into()) * STALL_THRESHOLD_MULTIPLE;
        let report_timeout = progress_report_timeout(self.settings);
        let threshold = report_timeout.map_or(expected_threshold, |timeout| expected_threshold.min(timeout));
        AttemptAge {
            age_ratio: (age_us / unloaded_us).min(MAX_AGE_RATIO),
            objective_ratio: (age_us > objective_us).then_some(age_us / objective_us.max(1.0)),
            stall_threshold: (age > threshold).then_some(threshold),
        }
    }
}

/// Time without a progress report after which the reports of an attempt count as missing: two and a half
/// intervals. `None` if engines send no progress reports.
pub(crate) fn progress_report_timeout(settings: &Settings) -> Option<TimeSpan> {
    let interval = settings.engine.progress_interval?;
    Some(TimeSpan::from(interval) * REPORT_TIMEOUT_HALF_INTERVALS / 2)
}

/// Utilization of an engine's scarcest resource, if the load report contains any.
pub(crate) fn reported_utilization(load: &LoadReport) -> Option<f64> {
    let shares = [load.cpu, load.disk, load.memory].into_iter().flatten();
    let busiest = shares.fold(f64::NAN, f64::max);
    busiest.is_finite().then_some(busiest)
}

/// Slowdown of an engine whose scarcest resource has the utilization u: work that needs the resource takes
/// about 1 / (1 - u) times as long, as in a queue with one server (M/M/1).
pub(crate) fn slowdown_at_utilization(utilization: f64) -> f64 {
    1.0 / (1.0 - utilization.clamp(0.0, MAX_UTILIZATION))
}

/// Slowdown assumed for an engine without recent observations.
pub(crate) struct SlowdownPrior {
    /// Mean slowdown of the pool.
    pool_slowdown: f64,
    /// Time constant in microseconds with which an observation decays towards the pool's mean: the execution
    /// time of the class that runs longest, at least one second. By then, the work that loads an engine now
    /// has left it.
    time_constant_us: f64,
}

impl SlowdownPrior {
    /// Computes the prior from the pool's evidence and the execution times of the classes.
    pub(crate) fn new(pool: &LoadEvidence, estimates: &ClassEstimates) -> Self {
        let time_constant_us = estimates.longest_execution_time_us(CONTROL_PERIOD.as_micros_f64());
        Self { pool_slowdown: pool.slowdown(1.0).unwrap_or(1.0), time_constant_us }
    }
}

/// Slowdown of an engine when it was last observed. Reveals engines that are loaded by the work of others,
/// which a gateway with little traffic cannot see in its means.
#[derive(Clone, Copy, Default)]
pub(crate) struct ObservedSlowdown {
    /// Execution time over that on an unloaded engine.
    slowdown: f64,
    /// Time of the observation; zero if there was none.
    observed_at: Timestamp,
}

impl ObservedSlowdown {
    /// Estimate of the current slowdown: `pool + (observed - pool) e^(-age / time_constant)`.
    pub(crate) fn estimate(&self, prior: &SlowdownPrior, now: Timestamp) -> f64 {
        if self.observed_at == Timestamp::ZERO {
            return prior.pool_slowdown;
        }
        let age_us = (now - self.observed_at).as_micros_f64();
        prior.pool_slowdown + (self.slowdown - prior.pool_slowdown) * (-age_us / prior.time_constant_us).exp()
    }

    /// Records an observation, which counts half.
    pub(crate) fn observe(&mut self, slowdown: f64, prior: &SlowdownPrior, now: Timestamp) {
        let before = self.estimate(prior, now);
        let slowdown = before + (slowdown - before) * OBSERVATION_WEIGHT;
        *self = Self { slowdown, observed_at: now };
    }

    /// Records an observation of several other gateways, unless this gateway has a recent one of its own.
    pub(crate) fn observe_gossip(&mut self, slowdown: f64, prior: &SlowdownPrior, now: Timestamp) {
        if !self.is_recent(now) {
            self.observe(slowdown.max(1.0).clamp(1.0, MAX_SLOWDOWN), prior, now);
        }
    }

    /// Whether the engine was observed within the last second.
    pub(crate) fn is_recent(&self, now: Timestamp) -> bool {
        self.observed_at > Timestamp::ZERO && now - self.observed_at < OBSERVATION_TTL
    }
}

#[cfg(test)]
mod tests;
