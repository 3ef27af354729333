//! What a class's queries usually need: execution time, objective, work, and what they are worth for it.

use super::{CLIP, MEMORY, MIN_SAMPLES, PRESSURE, RECENT};
use crate::interface::{Arrival, ClassId, ResourceUsage};
use crate::scheduler::Scheduler;
use crate::state::{Completion, EndedAttempt, micros};

impl Scheduler {
    /// T of the design: mean execution time; before outcomes the estimate on arrival, or half the objective.
    pub(crate) fn execution_time(&self, arrival: &Arrival) -> i64 {
        let (class, settings) = (&self.classes[arrival.class.0], &self.settings.classes[arrival.class.0]);
        let estimate = arrival.work.map(|work| micros(work) as f64 / f64::from(settings.threads));
        let half_objective = micros(settings.latency_objective) as f64 / 2.0;
        class.execution_time.get(1.0).or(estimate).unwrap_or(half_objective) as i64
    }

    /// The class's objective, stretched by its usual work: judged bare, long queries would always seem late.
    pub(crate) fn objective(&self, class: ClassId) -> i64 {
        let settings = &self.settings.classes[class.0];
        let stretch = settings.objective_stretch.clamp(0.0, 1e3) * self.work_per_thread(class);
        (micros(settings.latency_objective) + stretch as i64).min(micros(settings.deadline))
    }

    /// Usual work divided by threads: as reported, else the class's best time.
    fn work_per_thread(&self, class: ClassId) -> f64 {
        let class = &self.classes[class.0];
        class.work_per_thread.get(MIN_SAMPLES).or(class.best_time).unwrap_or(0.0)
    }

    /// Usual work of a class's query on one thread.
    pub(super) fn usual_work(&self, class: ClassId) -> f64 {
        let (known, settings) = (&self.classes[class.0], &self.settings.classes[class.0]);
        let time = known.work_per_thread.get(MIN_SAMPLES).or(known.execution_time.get(1.0));
        time.unwrap_or(micros(settings.latency_objective) as f64 / 2.0) * f64::from(settings.threads)
    }

    /// Priority weight of a class's usual query for its usual work.
    pub(super) fn value_density(&self, class: ClassId) -> f64 {
        self.settings.classes[class.0].priority_weight / self.usual_work(class).max(1.0)
    }

    pub(super) fn max_value_density(&self) -> f64 {
        (0..self.classes.len()).map(|class| self.value_density(ClassId(class))).fold(0.0, f64::max)
    }

    /// Learns from an answer: T, best time, the engine's slowdown and its f.
    pub(super) fn record_completion(&mut self, ended: &EndedAttempt, usage: Option<ResourceUsage>) {
        let id = ended.request.arrival.class;
        let took = (self.now - ended.attempt.sent).max(1) as f64;
        let settings = &self.settings.classes[id.0];
        let completion = Completion {
            took,
            usage,
            threads: f64::from(settings.threads),
            memory_estimate_mb: ended.request.arrival.memory_mb,
            bad_plan_time: ended.request.bad_plan_time,
        };
        let clipped = self.classes[id.0].record(&completion, self.now);
        let usual = self.work_per_thread(id).min(took);
        let work = usage.map_or(usual, |usage| micros(usage.work) as f64 / f64::from(settings.threads));
        let stretched = micros(settings.latency_objective) as f64 + settings.objective_stretch * work;
        let unloaded = usage.map(|_| work).or(self.classes[id.0].best_time);
        let slowdown = unloaded.map(|time| (clipped / time.max(1.0)).min(CLIP * PRESSURE));
        let own = self.engines.get_mut(ended.attempt.engine).map(|engine| &mut engine.evidence);
        for evidence in own.into_iter().chain([&mut self.pool]) {
            evidence.over_objective[id.0].add(clipped / stretched.max(1.0), MEMORY);
            if let Some(slowdown) = slowdown {
                evidence.add_slowdown(slowdown, RECENT, MEMORY);
            }
        }
        if let Some(slowdown) = slowdown {
            self.observe_slowdown(ended.attempt.engine, slowdown);
        }
    }
}
