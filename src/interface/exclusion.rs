//! Reasons why an engine was not selected for a request.

use super::ids::EngineId;
use std::fmt;

/// Reason why an engine was not selected for a request's next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExclusionReason {
    /// The engine is draining according to the endpoint list.
    Draining,
    /// The engine is no longer in the endpoint list.
    NotInService,
    /// The class is restricted to other zones.
    ZoneRestricted,
    /// The class is restricted to other kinds of machine.
    KindRestricted,
    /// An earlier attempt may have run, and requests of the class must not run twice.
    RetryNotIdempotent,
    /// An earlier attempt may have run, and engines may have forgotten its idempotency key.
    IdempotencyWindowOver,
    /// An earlier attempt may have run on an engine that does not deduplicate together with this one.
    OtherDeduplicationGroup,
    /// The engine is ejected on this gateway's own evidence.
    Ejected,
    /// The engine has just rejected an attempt.
    Paused,
    /// The engine is ejected because of reports from other gateways.
    EjectedByGossip,
    /// The engine gets one query at a time after an ejection, and one is in flight.
    OnProbation,
    /// The engine has just started, and this gateway's share of its slow-start budget is used up.
    SlowStartBudget,
    /// A bulk load from this gateway locks the request's tables on the engine.
    TableLocked,
    /// The engine is under pressure, and this gateway's concurrency limit for it is reached.
    LimitReached,
    /// The engine could serve the request, but another one ranks higher.
    Outranked,
}

impl fmt::Display for ExclusionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Draining => "engine is draining",
            Self::NotInService => "engine is not in the endpoint list",
            Self::ZoneRestricted => "class is restricted to other zones",
            Self::KindRestricted => "class is restricted to other kinds of machine",
            Self::RetryNotIdempotent => "an attempt may have run and the class is not idempotent",
            Self::IdempotencyWindowOver => "an attempt may have run and its idempotency key may be forgotten",
            Self::OtherDeduplicationGroup => "an attempt may have run in another deduplication group",
            Self::Ejected => "engine is ejected",
            Self::Paused => "engine has just rejected an attempt",
            Self::EjectedByGossip => "engine is ejected on gossip",
            Self::OnProbation => "engine is on probation and has an attempt in flight",
            Self::SlowStartBudget => "slow-start budget of the engine is used up",
            Self::TableLocked => "a bulk load locks the tables on the engine",
            Self::LimitReached => "concurrency limit of the engine is reached",
            Self::Outranked => "another engine ranks before it",
        })
    }
}

/// An engine that was not selected for a request's next attempt, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EngineExclusion {
    /// Id of the engine.
    pub engine: EngineId,
    /// Why it was not selected.
    pub reason: ExclusionReason,
}

impl fmt::Display for EngineExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "engine {}: {}", self.engine.0, self.reason)
    }
}
