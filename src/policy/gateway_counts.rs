//! Gateway counts: how many gateways share the pool of engines, and this gateway's share of the limits that
//! apply to all of them together.

/// Number of gateways that share the pool.
pub(crate) struct GatewayCounts {
    /// Number of gateways in the settings.
    gateways_in_settings: f64,
    /// Number of gateways in the settings, divided by this process's share of its gateway's capacity: a
    /// process with half of the capacity counts as one of twice as many gateways. Slow-start budgets and free
    /// retries use this number, everything else uses `live`.
    configured: f64,
    /// Number of live gateways, divided in the same way.
    live: f64,
}

/// Factors by which a change of the capacity share affects amounts kept for this process.
pub(crate) struct ShareChange {
    /// Factor for the rate of work that this process usually sends.
    pub(crate) rate_factor: f64,
    /// Factor for the concurrency limits.
    pub(crate) limit_factor: f64,
}

impl GatewayCounts {
    /// All gateways of the settings are alive, and this process has the full capacity of its gateway.
    pub(crate) fn new(gateways: u32) -> Self {
        let gateways = f64::from(gateways);
        Self { gateways_in_settings: gateways, configured: gateways, live: gateways }
    }

    /// Sets the share of its gateway's capacity that this process has, above 0 and at most 1; another process
    /// has the rest.
    pub(crate) fn set_capacity_share(&mut self, share: f64) -> ShareChange {
        let configured = self.gateways_in_settings / share.clamp(0.01, 1.0);
        let before = std::mem::replace(&mut self.configured, configured);
        let rate_factor = before / configured;
        let limit_factor = self.set_live_processes(self.live * configured / before);
        ShareChange { rate_factor, limit_factor }
    }

    /// Sets the number of live gateways. Returns the factor for the concurrency limits.
    pub(crate) fn set_live_gateways(&mut self, count: f64) -> f64 {
        self.set_live_processes(self.configured * count / self.gateways_in_settings)
    }

    fn set_live_processes(&mut self, live: f64) -> f64 {
        let live = live.max(1.0);
        let factor = self.live / live;
        self.live = live;
        factor
    }

    /// This gateway's share of a limit in threads per core, for an engine with this many cores: "over the
    /// gateway count" in the design. It may be too small for a single query; engine selection makes sure that
    /// one fits.
    pub(crate) fn thread_share(&self, threads_per_core: f64, cores: f64) -> f64 {
        threads_per_core * cores / self.live
    }

    /// This process's share of the retries that a gateway may send regardless of its traffic.
    pub(crate) fn free_retries(&self, gateway_retries: f64) -> f64 {
        gateway_retries * self.gateways_in_settings / self.configured
    }

    /// Number of gateways among which the slow-start budget is divided.
    pub(crate) fn configured(&self) -> f64 {
        self.configured
    }

    /// Number of live gateways.
    pub(crate) fn live(&self) -> f64 {
        self.live
    }
}

#[cfg(test)]
mod tests;
