//! Events in the broker's queue, and the broker's reports to other gateways.

use super::attempt::{AttemptEvent, AttemptId};
use super::quota::QuotaDecision;
use super::request::{Request, ResponseHandle};
use reedwalk_scheduler::{EngineId, EngineObservation, RequestId, Time};
use reedwalk_shared_store::idempotency::{ClaimReply, SendRecord};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The shared store's answer to the claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimAnswer {
    /// Whether the key was claimed, and what the store held for it.
    pub reply: ClaimReply,
    /// The store is known to have lost no writes, so an answer that nothing was sent can be relied on.
    pub trusted: bool,
}

/// An event in the broker's queue.
#[derive(Debug)]
pub enum BrokerEvent {
    /// A front has received a request.
    RequestArrived {
        /// The request's id, unique in this process.
        id: RequestId,
        /// The request as received from its client.
        request: Box<Request>,
        /// The channel for its response.
        response: ResponseHandle,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A transport reports on an attempt.
    Attempt {
        /// The attempt's id.
        id: AttemptId,
        /// The transport's report.
        event: AttemptEvent,
    },
    /// The quota manager has charged a request's team, or has found its quota used up.
    QuotaDecided {
        /// The request that was to be charged.
        request: RequestId,
        /// Whether the request may be admitted.
        decision: QuotaDecision,
    },
    /// The shared store has answered a claim, or the wait for its answer has timed out.
    ClaimAnswered {
        /// The request that claims its idempotency key.
        request: RequestId,
        /// The store's answer; `None` on timeout.
        answer: Option<ClaimAnswer>,
    },
    /// The shared store has answered whether it recorded an attempt's destination, or the wait has timed out.
    SendRecorded {
        /// The attempt that waits for the record.
        attempt: AttemptId,
        /// The record to be stored.
        record: SendRecord,
        /// Whether the record was stored; `None` on timeout.
        recorded: Option<bool>,
    },
    /// Several other gateways have ejected an engine.
    EjectedByGossip {
        /// The ejected engine.
        engine: EngineId,
        /// When the ejection ends.
        until: Instant,
    },
    /// Several other gateways report an engine's restart that the endpoint list does not show yet.
    EngineRestarted {
        /// The restarted engine.
        engine: EngineId,
        /// When it started again.
        started: Time,
    },
    /// Several other gateways report an engine's slowdown.
    SlowdownObserved {
        /// The observed engine.
        engine: EngineId,
        /// Ratio of its execution time to that of an engine without load.
        slowdown: f64,
    },
    /// The number of live gateways.
    LiveGateways(f64),
}

/// An observation of an engine in this gateway's own traffic, for other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierReport {
    /// The observed engine.
    pub engine: EngineId,
    /// What was observed.
    pub kind: OutlierKind,
    /// When its ejection by this gateway ends; the time of the report if it is not ejected.
    pub ejected_until: Instant,
}

/// Kind of observation in an [`OutlierReport`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierKind {
    /// The engine responds with errors and is ejected.
    Failing,
    /// The engine accepts requests without responding and is ejected.
    Unresponsive,
    /// One attempt on the engine has failed.
    AttemptFailed,
}

/// Channels to the gossip task, which reports to other gateways.
#[derive(Clone, Debug)]
pub struct GossipHandle {
    /// Outlier reports, sent immediately.
    pub outliers: mpsc::Sender<OutlierReport>,
    /// The latest observations of all engines, published periodically.
    pub observations: watch::Sender<Vec<EngineObservation>>,
}
