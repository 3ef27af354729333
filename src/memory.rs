//! What a gateway has learned, as another process of it may be told at its start. It is a prior: a few own samples
//! outweigh it.

use crate::interface::*;
use crate::mean::Mean;
use crate::policy::Gateway;
use crate::state::Engine;

/// Samples that a kept mean counts for at most.
const PRIOR_MOST: f64 = 6.0;

impl Gateway {
    /// How long the classes take, as learned.
    pub fn paces(&self) -> Vec<ClassPace> {
        let pair = |mean: &Mean| (mean.value, mean.n);
        self.classes.iter().map(|c| ClassPace { exec: pair(&c.exec), width: pair(&c.width_time) }).collect()
    }

    /// Takes what another process of this gateway had learned of its classes, where this one knows nothing yet.
    pub fn recall(&mut self, paces: &[Option<ClassPace>]) {
        for (class, pace) in self.classes.iter_mut().zip(paces) {
            let Some(pace) = pace else { continue };
            for (mean, (value, n)) in [(&mut class.exec, pace.exec), (&mut class.width_time, pace.width)] {
                let sound = value.is_finite() && value > 0.0 && n.is_finite() && n > 0.0;
                if sound && mean.n == 0.0 {
                    *mean = Mean { n: n.min(PRIOR_MOST), value };
                }
            }
        }
    }

    /// Warm share of the engines in service; 1 where there are none.
    pub fn warmth(&self) -> f64 {
        let listed: Vec<&Engine> = self.engines.values().filter(|e| !e.gone).collect();
        listed.iter().map(|e| self.warm_at(e)).sum::<f64>().max(f64::from(u8::from(listed.is_empty())))
            / listed.len().max(1) as f64
    }
}
