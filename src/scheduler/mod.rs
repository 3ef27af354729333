//! The scheduler of one gateway: holds the components of [`crate::policy`] and defines the order in which a
//! step runs them. All decisions are made by these components.

mod answers;
mod attempts;
mod dispatch;
mod endpoints;
mod events;
mod observations;
mod periodic;

use crate::interface::{Action, Event, Settings, SettingsError, Time};
use crate::policy::class_estimates::ClassEstimates;
use crate::policy::engine_selection::SelectionContext;
use crate::policy::gateway_counts::GatewayCounts;
use crate::policy::housekeeping::HousekeepingSchedule;
use crate::policy::load_evidence::LoadEvidence;
use crate::policy::retry_policy::RetryPolicy;
use crate::policy::slow_start::SlowStart;
use crate::state::{EngineTable, RequestTable};
use crate::time::Timestamp;
use crate::validation::validate_settings;

/// The scheduler of one gateway.
pub struct Scheduler {
    settings: Settings,
    /// Time of the current step.
    now: Timestamp,
    /// Breaks ties between engines, differently for each gateway.
    seed: u64,
    gateways: GatewayCounts,
    housekeeping: HousekeepingSchedule,
    estimates: ClassEstimates,
    /// Load evidence of all engines combined; used for engines with too few samples of their own.
    pool_load: LoadEvidence,
    slow_start: SlowStart,
    retry_policy: RetryPolicy,
    engines: EngineTable,
    requests: RequestTable,
}

impl Scheduler {
    /// Creates a scheduler with no engines and no requests. Gateways with the same settings need different
    /// seeds.
    ///
    /// # Errors
    /// Returns an error for the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate_settings(&settings)?;
        let classes = settings.classes.len();
        Ok(Self {
            now: Timestamp::ZERO,
            seed,
            gateways: GatewayCounts::new(settings.gateways),
            housekeeping: HousekeepingSchedule::new(&settings),
            estimates: ClassEstimates::new(&settings),
            pool_load: LoadEvidence::new(classes),
            slow_start: SlowStart::new(&settings, seed),
            retry_policy: RetryPolicy::new(&settings),
            engines: EngineTable::default(),
            requests: RequestTable::new(classes),
            settings,
        })
    }

    /// Processes the events up to `now`, runs periodic work that is due, then dispatches waiting requests.
    /// Appends the resulting decisions to `actions`.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now.into());
        self.housekeeping.begin_step(self.now);
        for event in events {
            self.apply_event(event, actions);
        }
        self.subscribe_if_due(actions);
        self.run_housekeeping_if_due(actions);
        self.dispatch_requests(actions);
    }

    /// Number of requests, attempts, engines and keys held in memory; lets tests check that it stays bounded.
    pub fn tracked_items(&self) -> usize {
        self.requests.tracked() + self.engines.len() + self.retry_policy.tracked()
    }

    fn selection_context(&self) -> SelectionContext<'_> {
        SelectionContext {
            now: self.now,
            settings: &self.settings,
            engines: &self.engines,
            requests: &self.requests,
            estimates: &self.estimates,
            pool: &self.pool_load,
            slow_start: &self.slow_start,
            gateways: &self.gateways,
            seed: self.seed,
        }
    }
}

#[cfg(test)]
mod tests;
