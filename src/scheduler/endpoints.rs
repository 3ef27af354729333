//! Updates of the endpoint list and of the number of gateways that share the engines.

use super::Scheduler;
use crate::interface::{EndpointScope, EngineEntry};
use crate::state::EngineDefaults;

impl Scheduler {
    /// Applies the endpoint list, or changes to it.
    pub(super) fn update_endpoints(&mut self, scope: EndpointScope, entries: &[EngineEntry]) {
        let classes = self.estimates.len();
        let defaults = EngineDefaults { classes, gateways: &self.gateways, now: self.now };
        self.engines.begin_update(scope);
        for entry in entries {
            self.engines.update(entry, self.settings.cores(entry.kind), &defaults);
        }
        self.engines.end_update();
    }

    /// Sets this process's share of the gateway's capacity. Concurrency limits and slow-start budgets are
    /// fractions of the totals over all gateways, so both scale with it.
    pub(super) fn set_capacity_share(&mut self, share: f64) {
        let change = self.gateways.set_capacity_share(share);
        self.slow_start.scale_rate(change.rate_factor);
        self.scale_limits(change.limit_factor);
    }

    /// Sets the number of live gateways; if fewer than configured, they carry the load of all.
    pub(super) fn set_live_gateways(&mut self, count: f64) {
        let limit_factor = self.gateways.set_live_gateways(count);
        self.scale_limits(limit_factor);
    }

    fn scale_limits(&mut self, factor: f64) {
        for engine in self.engines.values_mut() {
            engine.limit.scale(factor);
        }
    }
}
