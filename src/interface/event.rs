//! Events: the inputs of the scheduler.

use super::endpoint::{EndpointScope, EngineEntry};
use super::ids::{AttemptNo, ClassId, EngineId, OrderingKeyId, RequestId, TableGroupId, TenantId, Time};
use super::outcome::{LoadReport, Outcome, ResourceUsage};
use std::time::Duration;

/// A new request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Id of the request.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant that sent it.
    pub tenant: TenantId,
    /// Ordering key, if any.
    pub ordering_key: Option<OrderingKeyId>,
    /// Group of the tables that it reads or writes, if known.
    pub table_group: Option<TableGroupId>,
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// Estimated work, as execution time on a single thread.
    pub work: Option<Duration>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Known attempt of an earlier request with the same idempotency key that may have run.
    pub prior_attempt: Option<PriorAttempt>,
}

impl Arrival {
    /// Creates a request of the first tenant that is not a retry, without keys and estimates.
    pub fn new(request: RequestId, class: ClassId, time_left: Duration) -> Self {
        Self { request, class, time_left, ..Self::default() }
    }
}

/// An attempt that another gateway sent, or this gateway before it restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Group of engines that deduplicate its retries; 0 if all engines do.
    pub group: u64,
    /// Upper bound of the time since it was sent.
    pub age: Duration,
}

/// An engine's report on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// Approximate fraction of the query that is done, from 0 to 1.
    FractionDone(f64),
    /// The query spills to disk; it lacks this many MB of memory.
    Spilling(f64),
    /// The query waits for memory.
    WaitingForMemory,
    /// The query waits for a bulk load.
    WaitingForLoad,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request already has its final answer.
    pub closed: bool,
    /// Resources that the query used, if reported.
    pub usage: Option<ResourceUsage>,
    /// The engine's load, if reported.
    pub load: Option<LoadReport>,
}

/// An input of the scheduler, observed by the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    Endpoints {
        /// Which engines the entries cover.
        scope: EndpointScope,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// A request for the endpoint list failed, or the subscription to it was interrupted.
    EndpointListFailed,
    /// This process's share of the gateway's capacity, above 0 and at most 1; another process has the rest.
    CapacityShare(f64),
    /// Estimated number of live gateways; if fewer than configured, they carry the load of all.
    LiveGateways(f64),
    /// Several other gateways have ejected an engine, each on its own evidence.
    EjectedByGossip {
        /// Id of the engine.
        engine: EngineId,
        /// Duration of the ejection unless further reports arrive.
        duration: Duration,
    },
    /// Several other gateways report a restart of an engine that the endpoint list does not show yet.
    EngineRestarted {
        /// Id of the engine.
        engine: EngineId,
        /// Time at which the engine started.
        started: Time,
    },
    /// Slowdown of an engine as observed by several other gateways.
    SlowdownObserved {
        /// Id of the engine.
        engine: EngineId,
        /// Ratio of the execution time to that on an unloaded engine.
        slowdown: f64,
    },
    /// A request has arrived from a client.
    Arrival(Arrival),
    /// The shared store has recorded the deduplication group of a request's attempt: the request is bound to
    /// that group as if the attempt had run.
    BoundToGroup(RequestId),
    /// Rows have begun to stream to the client; from now on the request is not retried.
    StreamStarted {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNo,
    },
    /// An engine reports on a running attempt.
    Progress {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNo,
        /// The report.
        report: ProgressReport,
    },
    /// An attempt has ended.
    Ended(AttemptEnded),
    /// The client has disconnected or cancelled its request.
    ClientDisconnected(RequestId),
    /// The wake-up requested by [`Action::WakeAfter`](super::Action::WakeAfter).
    WakeUp,
    /// A health check has ended.
    HealthChecked {
        /// Id of the engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// The engine's load, if reported.
        load: Option<LoadReport>,
    },
}
