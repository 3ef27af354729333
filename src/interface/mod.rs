//! Public types that a controller and the scheduler exchange: settings, events and actions. All decisions are
//! made in [`crate::policy`].

mod action;
mod endpoint;
mod event;
mod exclusion;
mod ids;
mod observation;
mod outcome;
mod settings;

pub use action::Action;
pub use endpoint::{EndpointScope, EngineEntry, EngineState};
pub use event::{Arrival, AttemptEnded, Event, PriorAttempt, ProgressReport};
pub use exclusion::{EngineExclusion, ExclusionReason};
pub use ids::{
    AttemptNo, CellId, ClassId, EngineId, KindId, OrderingKeyId, RequestId, TableGroupId, TenantId, Time,
    ZoneId,
};
pub use observation::{ClassLatencyStats, EngineObservation, SampledMean};
pub use outcome::{LoadReport, Outcome, ResourceUsage};
pub use settings::{
    ClassSettings, Deduplication, DeduplicationScope, Discovery, EngineTraits, Idempotency, KindSettings,
    Limits, RetryBudget, Rules, Settings, SettingsError, TenantSettings,
};
