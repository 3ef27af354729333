//! Per-class estimates: typical execution time, work and memory of a class's queries, and its value density.
//!
//! The design specifies one of them, the mean execution time T of each class, computed from its completions
//! (paper, section 4). The others are computed from the same completions, except for the mean estimated work,
//! which comes from arrivals.

use super::{CONTROL_PERIOD, LONG_TERM_SAMPLES, MAX_SLOWDOWN, MIN_SAMPLES, RECENT_SAMPLES, SAMPLE_CLIP};
use crate::interface::{
    Arrival, ClassId, ClassLatencyStats, ClassSettings, ResourceUsage, SampledMean, Settings,
};
use crate::state::Mean;
use crate::time::{TimeSpan, Timestamp};

/// Factor by which the unloaded time of a class rises each control period. Lets the baseline of a pool that
/// has become permanently slower adapt within minutes.
const UNLOADED_TIME_DRIFT: f64 = 1.003;
/// Maximum sample count of a restored mean, so that a few new samples outweigh it.
const MAX_PRIOR_SAMPLES: f64 = 6.0;
/// Upper bound of the objective stretch, so that an absurd setting cannot overflow a timestamp.
const MAX_OBJECTIVE_STRETCH: f64 = 1e3;

/// A query that was served.
pub(crate) struct CompletedQuery {
    pub(crate) class: ClassId,
    /// Time from sending the attempt to its response.
    pub(crate) execution_time: TimeSpan,
    /// Resource usage, if the engine reported it.
    pub(crate) usage: Option<ResourceUsage>,
    /// Memory estimate of the request in MB.
    pub(crate) memory_estimate_mb: Option<f64>,
    /// Projected time in microseconds of an earlier attempt that was cancelled for a suspected bad plan.
    pub(crate) bad_plan_time_us: Option<f64>,
}

/// Load sample of the engine that served a query.
pub(crate) struct CompletionSample {
    /// Execution time divided by the stretched objective: the design's f for a single query.
    pub(crate) objective_ratio: f64,
    /// Execution time divided by that on an unloaded engine; `None` if the latter is unknown.
    pub(crate) slowdown: Option<f64>,
}

/// Settings and estimates of one class.
struct ClassEstimate {
    latency_objective: TimeSpan,
    objective_stretch: f64,
    deadline: TimeSpan,
    priority_weight: f64,
    threads: f64,
    /// Clipped execution time in microseconds: the design's T.
    execution_time_us: Mean,
    /// Execution time on an unloaded engine in microseconds. Falls immediately, rises slowly.
    unloaded_time_us: Option<f64>,
    /// When `execution_time_us` first had [`MIN_SAMPLES`] samples.
    first_mean_at: Option<Timestamp>,
    /// Work in microseconds on one thread, as estimated on arrival.
    estimated_work_us: Mean,
    /// Reported work divided by the threads of the class, in microseconds.
    work_per_thread_us: Mean,
    /// Natural logarithm of used over estimated memory, or of the used MB if there is no estimate.
    memory_log: Mean,
    /// Square of that logarithm, for the standard deviation.
    memory_log_squared: Mean,
    /// Share of the retries after a suspected bad plan that took less than half of its projected time.
    retry_benefit: Mean,
}

/// Estimates of all classes, in the order of the settings.
pub(crate) struct ClassEstimates {
    classes: Vec<ClassEstimate>,
}

impl ClassEstimates {
    /// Initial estimates, without samples.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self { classes: settings.classes.iter().map(ClassEstimate::new).collect() }
    }

    pub(crate) fn len(&self) -> usize {
        self.classes.len()
    }

    /// Mean execution time of the request's class: T in the design. Before the first completion, falls back
    /// to the request's own estimate (work divided by threads), then to half of the latency objective.
    pub(crate) fn execution_time(&self, arrival: &Arrival) -> TimeSpan {
        let class = &self.classes[arrival.class.0];
        let estimate = arrival.work.map(|work| TimeSpan::from(work).as_micros_f64() / class.threads);
        let half_objective = class.latency_objective.as_micros_f64() / 2.0;
        let time_us = class.execution_time_us.get(1.0).or(estimate).unwrap_or(half_objective);
        TimeSpan::from_micros_f64(time_us)
    }

    /// Whether the class has enough completions for its mean execution time to be used in comparisons.
    pub(crate) fn is_execution_time_known(&self, class: ClassId) -> bool {
        self.classes[class.0].execution_time_us.samples >= MIN_SAMPLES
    }

    /// Execution time of a class on an unloaded engine, in microseconds.
    pub(crate) fn unloaded_time_us(&self, class: ClassId) -> Option<f64> {
        self.classes[class.0].unloaded_time_us
    }

    /// Mean execution time in microseconds of the class that runs longest, at least `min_us`.
    pub(crate) fn longest_execution_time_us(&self, min_us: f64) -> f64 {
        self.classes.iter().map(|class| class.execution_time_us.value).fold(min_us, f64::max)
    }

    /// Latency objective of the class, τ in the design, extended in proportion to the typical work per
    /// thread and capped at the deadline. Without the extension, long queries would always count as late.
    pub(crate) fn objective(&self, class: ClassId) -> TimeSpan {
        let class = &self.classes[class.0];
        let stretch_us =
            class.objective_stretch.clamp(0.0, MAX_OBJECTIVE_STRETCH) * class.work_per_thread_us();
        (class.latency_objective + TimeSpan::from_micros_f64(stretch_us)).min(class.deadline)
    }

    /// Typical work of a query of the class, in microseconds on one thread.
    pub(crate) fn typical_work_us(&self, class: ClassId) -> f64 {
        self.classes[class.0].typical_work_us()
    }

    /// Mean work of the class's queries as estimated on arrival, in microseconds on one thread; `None` until
    /// enough requests came with an estimate.
    pub(crate) fn mean_estimated_work_us(&self, class: ClassId) -> Option<f64> {
        self.classes[class.0].estimated_work_us.get(MIN_SAMPLES)
    }

    /// Value density of the class: its priority weight per microsecond of its typical work.
    pub(crate) fn value_density(&self, class: ClassId) -> f64 {
        self.classes[class.0].value_density()
    }

    /// Highest value density of all classes.
    pub(crate) fn max_value_density(&self) -> f64 {
        self.classes.iter().map(ClassEstimate::value_density).fold(0.0, f64::max)
    }

    /// Whether no other class has a higher value density.
    pub(crate) fn has_max_value_density(&self, class: ClassId) -> bool {
        self.value_density(class) >= self.max_value_density()
    }

    /// Whether any engine has reported the work of a query.
    pub(crate) fn has_reported_work(&self) -> bool {
        self.classes.iter().any(|class| class.work_per_thread_us.samples > 0.0)
    }

    /// Ratio of used to estimated memory that covers most queries of the class: e to the mean plus one
    /// standard deviation of the logarithm of the ratio. Logarithms are used because memory use spans orders
    /// of magnitude. `None` until there are twice [`MIN_SAMPLES`] samples, because a grant that is too small
    /// makes a query spill to disk.
    pub(crate) fn memory_factor(&self, class: ClassId) -> Option<f64> {
        let class = &self.classes[class.0];
        let mean = class.memory_log.get(2.0 * MIN_SAMPLES)?;
        let deviation = (class.memory_log_squared.value - mean * mean).max(0.0).sqrt();
        Some((mean + deviation).exp())
    }

    /// Share of the retries after a suspected bad plan that were worthwhile, once there are enough samples.
    pub(crate) fn retry_benefit(&self, class: ClassId) -> Option<f64> {
        self.classes[class.0].retry_benefit.get(MIN_SAMPLES)
    }

    /// Records the estimated work of a request that has arrived.
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival) {
        if let Some(work) = arrival.work {
            let work_us = TimeSpan::from(work).as_micros_f64();
            self.classes[arrival.class.0].estimated_work_us.add(work_us, LONG_TERM_SAMPLES);
        }
    }

    /// Records a served query and returns its load sample. If the engine reported the query's work, the
    /// sample is based on it: the objective is extended by the stretch times the work per thread, and the
    /// work per thread is the time on an unloaded engine. Without a report, the typical work of the class (at
    /// most the execution time) and its unloaded time are used instead.
    pub(crate) fn record_completion(&mut self, query: &CompletedQuery, now: Timestamp) -> CompletionSample {
        let class = &mut self.classes[query.class.0];
        let time_us = query.execution_time.max(TimeSpan::MICROSECOND).as_micros_f64();
        let clipped_us = class.record(time_us, query, now);
        let typical_us = class.work_per_thread_us().min(time_us);
        let reported_us = query.usage.map(|usage| TimeSpan::from(usage.work).as_micros_f64() / class.threads);
        let work_us = reported_us.unwrap_or(typical_us);
        let objective_us = class.latency_objective.as_micros_f64() + class.objective_stretch * work_us;
        let unloaded_us = reported_us.or(class.unloaded_time_us);
        let slowdown = unloaded_us.map(|unloaded| (clipped_us / unloaded.max(1.0)).min(MAX_SLOWDOWN));
        CompletionSample { objective_ratio: clipped_us / objective_us.max(1.0), slowdown }
    }

    /// Ends a control period: lets the unloaded times drift upwards.
    pub(crate) fn end_period(&mut self) {
        for class in &mut self.classes {
            class.unloaded_time_us = class.unloaded_time_us.map(|time| time * UNLOADED_TIME_DRIFT);
        }
    }

    /// Statistics of the classes, to be restored by a later process.
    pub(crate) fn stats(&self) -> Vec<ClassLatencyStats> {
        let sampled = |mean: &Mean| SampledMean { mean: mean.value, samples: mean.samples };
        let stats = self.classes.iter().map(|class| ClassLatencyStats {
            execution_time: sampled(&class.execution_time_us),
            work_per_thread: sampled(&class.work_per_thread_us),
        });
        stats.collect()
    }

    /// Restores the statistics of an earlier process where a class has no samples yet.
    pub(crate) fn restore(&mut self, stats: &[Option<ClassLatencyStats>]) {
        for (class, stats) in self.classes.iter_mut().zip(stats) {
            let Some(stats) = stats else { continue };
            restore_mean(&mut class.execution_time_us, stats.execution_time);
            restore_mean(&mut class.work_per_thread_us, stats.work_per_thread);
        }
    }
}

impl ClassEstimate {
    fn new(settings: &ClassSettings) -> Self {
        Self {
            latency_objective: settings.latency_objective.into(),
            objective_stretch: settings.objective_stretch,
            deadline: settings.deadline.into(),
            priority_weight: settings.priority_weight,
            threads: f64::from(settings.threads),
            execution_time_us: Mean::default(),
            unloaded_time_us: None,
            first_mean_at: None,
            estimated_work_us: Mean::default(),
            work_per_thread_us: Mean::default(),
            memory_log: Mean::default(),
            memory_log_squared: Mean::default(),
            retry_benefit: Mean::default(),
        }
    }

    /// Typical work per thread: as reported, else the unloaded time of the class.
    fn work_per_thread_us(&self) -> f64 {
        self.work_per_thread_us.get(MIN_SAMPLES).or(self.unloaded_time_us).unwrap_or(0.0)
    }

    /// Typical work on one thread: the threads times the reported work per thread, else times the mean
    /// execution time, else times half of the latency objective.
    fn typical_work_us(&self) -> f64 {
        let time_us = self.work_per_thread_us.get(MIN_SAMPLES).or(self.execution_time_us.get(1.0));
        time_us.unwrap_or(self.latency_objective.as_micros_f64() / 2.0) * self.threads
    }

    fn value_density(&self) -> f64 {
        self.priority_weight / self.typical_work_us().max(1.0)
    }

    /// Records a served query. Returns its execution time, clipped so that bad plans do not dominate the
    /// estimates.
    fn record(&mut self, time_us: f64, query: &CompletedQuery, now: Timestamp) -> f64 {
        let mean_us = self.execution_time_us.get(MIN_SAMPLES);
        let clipped_us = mean_us.map_or(time_us, |mean| time_us.min(mean * SAMPLE_CLIP));
        self.execution_time_us.add(clipped_us, LONG_TERM_SAMPLES);
        if let Some(usage) = query.usage {
            self.record_usage(usage, query.memory_estimate_mb);
        }
        self.update_unloaded_time(now);
        if let Some(projected_us) = query.bad_plan_time_us {
            self.retry_benefit.add(f64::from(time_us < projected_us / 2.0), LONG_TERM_SAMPLES);
        }
        clipped_us
    }

    fn record_usage(&mut self, usage: ResourceUsage, memory_estimate_mb: Option<f64>) {
        let clip_us = self.work_per_thread_us.get(MIN_SAMPLES).map_or(f64::MAX, |mean| mean * SAMPLE_CLIP);
        let work_us = TimeSpan::from(usage.work).as_micros_f64() / self.threads;
        self.work_per_thread_us.add(work_us.min(clip_us), LONG_TERM_SAMPLES);
        let estimate_mb = memory_estimate_mb.filter(|memory| *memory > 0.0).unwrap_or(1.0);
        let memory_ratio = usage.memory_mb / estimate_mb;
        if memory_ratio > 0.0 && memory_ratio.is_finite() {
            self.memory_log.add(memory_ratio.ln(), LONG_TERM_SAMPLES);
            self.memory_log_squared.add(memory_ratio.ln() * memory_ratio.ln(), LONG_TERM_SAMPLES);
        }
    }

    /// Updates the unloaded time. Short queries complete first, so it initially follows the mean, which may
    /// still rise. Once the mean has all its samples, or at low traffic once the long queries have had time
    /// to complete as well, only a lower mean replaces it.
    fn update_unloaded_time(&mut self, now: Timestamp) {
        let Mean { value: mean_us, samples } = self.execution_time_us;
        if samples < MIN_SAMPLES {
            return;
        }
        let observed_for_us = (now - *self.first_mean_at.get_or_insert(now)).as_micros_f64();
        let is_observed_long_enough =
            observed_for_us > MIN_SAMPLES * mean_us.max(CONTROL_PERIOD.as_micros_f64());
        let is_settled = samples >= LONG_TERM_SAMPLES || samples >= RECENT_SAMPLES && is_observed_long_enough;
        self.unloaded_time_us = match self.unloaded_time_us {
            Some(previous_us) if is_settled => Some(mean_us.min(previous_us)),
            _ => Some(mean_us),
        };
    }
}

fn restore_mean(mean: &mut Mean, stats: SampledMean) {
    let SampledMean { mean: value, samples } = stats;
    let is_valid = value.is_finite() && value > 0.0 && samples.is_finite() && samples > 0.0;
    if is_valid && mean.samples == 0.0 {
        *mean = Mean { samples: samples.min(MAX_PRIOR_SAMPLES), value };
    }
}

#[cfg(test)]
mod tests;
