//! Statistics of a class of requests, over all engines.

use super::mean::Mean;
use super::micros;
use crate::interface::ResourceUsage;
use crate::policy::{CLIP, MEMORY, MIN_SAMPLES, PERIOD, RECENT};

/// A served query, as far as its class's statistics go.
pub(crate) struct Completion {
    /// Execution time, at least 1.
    pub(crate) took: f64,
    /// What it used, if reported.
    pub(crate) usage: Option<ResourceUsage>,
    /// Threads that it ran on.
    pub(crate) threads: f64,
    /// Estimated memory in MB.
    pub(crate) memory_estimate_mb: Option<f64>,
    /// Projected time of an attempt before it that was cancelled for a suspected bad plan.
    pub(crate) bad_plan_time: Option<f64>,
}

/// What is known of a class.
#[derive(Default)]
pub(crate) struct ClassStats {
    /// Execution time of the served queries, clipped: the design's T.
    pub(crate) execution_time: Mean,
    /// The same at its best: on an unloaded engine. Falls at once, rises slowly.
    pub(crate) best_time: Option<f64>,
    /// When there was a mean for the first time.
    pub(crate) first_mean_at: Option<i64>,
    /// Work as estimated on arrival.
    pub(crate) estimated_work: Mean,
    /// Work divided by threads, as reported.
    pub(crate) work_per_thread: Mean,
    /// Logarithm of used over estimated memory (or of used memory), and its square.
    pub(crate) memory_log: Mean,
    pub(crate) memory_log_squared: Mean,
    /// Share of the attempts sent after a suspected bad plan that did better.
    pub(crate) retry_helps: Mean,
}

impl ClassStats {
    /// Adds a served query. Returns its execution time, clipped so that bad plans do not carry the estimates.
    pub(crate) fn record(&mut self, completion: &Completion, now: i64) -> f64 {
        let took = completion.took;
        let clipped = self.execution_time.get(MIN_SAMPLES).map_or(took, |mean| took.min(mean * CLIP));
        self.execution_time.add(clipped, MEMORY);
        if let Some(usage) = completion.usage {
            self.record_usage(usage, completion);
        }
        self.update_best_time(now);
        if let Some(first) = completion.bad_plan_time {
            self.retry_helps.add(f64::from(took < first / 2.0), MEMORY);
        }
        clipped
    }

    fn record_usage(&mut self, usage: ResourceUsage, completion: &Completion) {
        let most = self.work_per_thread.get(MIN_SAMPLES).map_or(f64::MAX, |mean| mean * CLIP);
        let work = micros(usage.work) as f64 / completion.threads;
        self.work_per_thread.add(work.min(most), MEMORY);
        let estimate = completion.memory_estimate_mb.filter(|memory| *memory > 0.0).unwrap_or(1.0);
        self.add_memory(usage.memory_mb / estimate, MEMORY);
    }

    /// The first to complete are the short ones: best is the mean until the memory is full or, where traffic is thin,
    /// the long ones have had their time.
    fn update_best_time(&mut self, now: i64) {
        let (mean, samples) = (self.execution_time.value, self.execution_time.samples);
        if samples < MIN_SAMPLES {
            return;
        }
        let waited = (now - *self.first_mean_at.get_or_insert(now)) as f64;
        let has_waited = waited > MIN_SAMPLES * mean.max(PERIOD as f64);
        let is_settled = samples >= MEMORY || samples >= RECENT && has_waited;
        self.best_time = match self.best_time {
            Some(best) if is_settled => Some(mean.min(best)),
            _ => Some(mean),
        };
    }

    /// Adds used over estimated memory, or used memory.
    fn add_memory(&mut self, ratio: f64, memory: f64) {
        if ratio > 0.0 && ratio.is_finite() {
            self.memory_log.add(ratio.ln(), memory);
            self.memory_log_squared.add(ratio.ln() * ratio.ln(), memory);
        }
    }
}
