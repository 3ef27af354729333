//! Observations of the engines that a gateway reports to other gateways, and statistics that the gateway's
//! next process may restore at startup. Restored statistics are a prior that a few new samples outweigh. No
//! decisions are made here.

use super::Scheduler;
use crate::interface::{ClassLatencyStats, EngineObservation, EngineState};
use crate::policy::load_evidence::SlowdownPrior;
use crate::state::EngineRecord;

impl Scheduler {
    /// Latency statistics of the classes, in the order of the settings.
    pub fn class_stats(&self) -> Vec<ClassLatencyStats> {
        self.estimates.stats()
    }

    /// Restores the latency statistics of classes for which this process has no samples yet.
    pub fn restore_class_stats(&mut self, stats: &[Option<ClassLatencyStats>]) {
        self.estimates.restore(stats);
    }

    /// Mean warm-up of the engines in service, from 0 to 1; 1 if there are none.
    pub fn mean_warm_up(&self) -> f64 {
        let (mut sum, mut engines) = (0.0, 0);
        for engine in self.engines.in_service() {
            sum += self.slow_start.warm_up(&engine.slow_start, self.now);
            engines += 1;
        }
        if engines == 0 { 1.0 } else { sum / f64::from(engines) }
    }

    /// Number of listed engines that receive no requests: out of service, draining or ejected.
    pub fn unavailable_engines(&self) -> usize {
        let is_unavailable = |engine: &&EngineRecord| {
            let health = &engine.health;
            engine.out_of_service || health.is_ejected(self.now) || health.is_gossip_ejected(self.now)
        };
        let listed = self.engines.values().filter(|engine| engine.entry.state != EngineState::Removed);
        listed.filter(is_unavailable).count()
    }

    /// Current observations of the engines in service.
    pub fn observations(&self) -> impl Iterator<Item = EngineObservation> {
        let prior = SlowdownPrior::new(&self.pool_load, &self.estimates);
        self.engines.in_service().map(move |engine| {
            let is_recent = engine.slowdown.is_recent(self.now);
            EngineObservation {
                engine: engine.entry.engine,
                slowdown: is_recent.then(|| engine.slowdown.estimate(&prior, self.now)),
                threads: engine.attempts.threads(),
                ejected_until: engine.health.ejected_until().map(|until| until.to_time()),
            }
        })
    }
}
