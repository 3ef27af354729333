//! What a gateway observes of the engines, what it reports to others of that, and what another process of it may restore at
//! its start. Restored statistics are a prior: a few own samples outweigh them. Nothing here decides anything.

use crate::interface::{ClassLatencyStats, EngineId, EngineObservation, EngineState, SampledMean};
use crate::policy::{
    CLIP, MEMORY, OBSERVATION_WEIGHT, PERIOD, PRESSURE, REPORTS_MISSED, SECOND, STALLED_MULTIPLE,
};
use crate::scheduler::Scheduler;
use crate::state::{EngineRecord, InFlightEvidence, Mean, SlowdownSample, micros};

/// Samples that a restored mean counts for at most.
const MAX_PRIOR_SAMPLES: f64 = 6.0;

impl Scheduler {
    /// How slow an engine looks: what was last observed, fading towards the pool's mean in the time that the longest
    /// class runs, as what loads it now will then have left.
    pub(crate) fn observed_slowdown(&self, engine: &EngineRecord) -> f64 {
        let usual = self.pool.slowdown.get(1.0).unwrap_or(1.0);
        let times = self.classes.iter().map(|class| class.execution_time.value);
        let longest = times.fold(SECOND as f64, f64::max);
        let SlowdownSample { slowdown, at } = engine.observed;
        if at == 0 {
            return usual;
        }
        usual + (slowdown - usual) * (-((self.now - at) as f64) / longest).exp()
    }

    /// Takes in one sign of how slow an engine is now. Guards against engines loaded by others' work, which a gateway
    /// with little traffic can't tell from its means; holds against slow ones as well.
    pub(crate) fn observe_slowdown(&mut self, id: EngineId, slowdown: f64) {
        let Some(before) = self.engines.get(id).map(|engine| self.observed_slowdown(engine)) else { return };
        let slowdown = before + (slowdown - before) * OBSERVATION_WEIGHT;
        let at = self.now;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.observed = SlowdownSample { slowdown, at };
        }
    }

    /// Several other gateways observe how slow an engine is; a recent own observation takes precedence.
    pub(crate) fn on_observed_by_others(&mut self, id: EngineId, slowdown: f64) {
        if !self.engines.get(id).is_some_and(|engine| engine.is_observed(self.now)) {
            self.observe_slowdown(id, slowdown.max(1.0).clamp(1.0, CLIP * PRESSURE));
        }
    }

    /// Looks through what is in flight: how old, beyond its objective, stalled. From what jams no completions
    /// tell.
    pub(crate) fn collect_in_flight_evidence(&mut self) {
        let fresh = InFlightEvidence::new(self.classes.len());
        for engine in self.engines.values_mut() {
            engine.evidence.in_flight = fresh.clone();
        }
        self.pool.in_flight = fresh;
        let interval = self.settings.engine.progress_interval;
        let reports_missed = interval.map_or(i64::MAX, |interval| micros(interval) * REPORTS_MISSED / 2);
        for (_, request) in self.requests.iter().filter(|(_, request)| !request.streaming) {
            let Some(attempt) = &request.in_flight else { continue };
            let class = request.arrival.class;
            let (age, expected) = (self.now - attempt.sent, self.execution_time(&request.arrival));
            let best = self.classes[class.0].best_time.unwrap_or(expected as f64).max(1.0);
            let (objective, age_us) = (self.objective(class) as f64, age as f64);
            let threshold = expected.max(micros(self.settings.tick)) * STALLED_MULTIPLE;
            let threshold = threshold.min(reports_missed);
            let Some(engine) = self.engines.get_mut(attempt.engine) else { continue };
            let own = &mut engine.evidence.in_flight;
            for evidence in [&mut *own, &mut self.pool.in_flight] {
                evidence.age.add((age_us / best).min(4.0 * PRESSURE), MEMORY);
                if age_us > objective {
                    evidence.over_objective[class.0].add(age_us / objective.max(1.0), MEMORY);
                }
            }
            if age > threshold {
                own.add_stalled(threshold);
            }
        }
    }

    /// Latency statistics of the classes, in the order of the settings.
    pub fn class_stats(&self) -> Vec<ClassLatencyStats> {
        let sampled = |mean: &Mean| SampledMean { mean: mean.value, samples: mean.samples };
        let stats = self.classes.iter().map(|class| ClassLatencyStats {
            execution_time: sampled(&class.execution_time),
            work_per_thread: sampled(&class.work_per_thread),
        });
        stats.collect()
    }

    /// Restores latency statistics of the classes, where this process knows nothing of one yet.
    pub fn restore_class_stats(&mut self, stats: &[Option<ClassLatencyStats>]) {
        for (class, stats) in self.classes.iter_mut().zip(stats) {
            let Some(stats) = stats else { continue };
            restore(&mut class.execution_time, stats.execution_time);
            restore(&mut class.work_per_thread, stats.work_per_thread);
        }
    }

    /// Mean warm-up of the engines in service, from 0 to 1; 1 where there are none.
    pub fn mean_warm_up(&self) -> f64 {
        let in_service: Vec<&EngineRecord> = self.engines.in_service().collect();
        if in_service.is_empty() {
            return 1.0;
        }
        let sum: f64 = in_service.iter().map(|engine| self.warm_up(engine)).sum();
        sum / in_service.len() as f64
    }

    /// Number of listed engines that nothing is sent to: taken out, draining or ejected.
    pub fn unavailable_engines(&self) -> usize {
        let is_unavailable = |engine: &&EngineRecord| {
            engine.gone || engine.ejected_until > self.now || engine.is_gossip_ejected(self.now, PERIOD)
        };
        let listed = self.engines.values().filter(|engine| engine.entry.state != EngineState::Removed);
        listed.filter(is_unavailable).count()
    }

    /// What is observed of the engines in service now.
    pub fn observations(&self) -> impl Iterator<Item = EngineObservation> {
        self.engines.in_service().map(|engine| {
            let is_recent = engine.is_observed(self.now);
            engine.observation(is_recent.then(|| self.observed_slowdown(engine)))
        })
    }
}

fn restore(mean: &mut Mean, stats: SampledMean) {
    let SampledMean { mean: value, samples } = stats;
    let is_sound = value.is_finite() && value > 0.0 && samples.is_finite() && samples > 0.0;
    if is_sound && mean.samples == 0.0 {
        *mean = Mean { samples: samples.min(MAX_PRIOR_SAMPLES), value };
    }
}
