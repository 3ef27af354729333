//! Events of a schedule.

use crate::store_model::{StoreOperation, StoreReply};

/// Gateway process that an event belongs to. Events of a process that was replaced are dropped.
#[derive(Clone, Copy, Debug)]
pub struct GatewayProcess {
    /// Index of the gateway.
    pub gateway: usize,
    /// Number of the process; the process that replaces a killed one has a new number.
    pub process: u64,
}

/// Store call that a reply belongs to.
#[derive(Clone, Copy, Debug)]
pub enum StoreCall {
    /// Call of a request. `number` counts the calls of the request, so that late replies can be dropped.
    Request { request: usize, number: usize },
    /// Heartbeat with this counter.
    Heartbeat { count: u64 },
    /// Call whose reply is ignored.
    WithoutReply,
}

/// Outcome of an attempt at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt was served.
    Served,
    /// The attempt was rejected and never ran.
    Rejected,
    /// The attempt ran, and its answer was lost.
    AnswerLost,
}

/// Event of a schedule.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's request reaches a gateway; `retry` is 0 for the first.
    Arrival { key: usize, retry: usize, gateway: usize },
    /// The store applies an operation.
    Apply { operation: StoreOperation, at: GatewayProcess, call: StoreCall },
    /// A gateway receives the reply to a call, or the call times out (`None`).
    Reply { at: GatewayProcess, call: StoreCall, reply: Option<StoreReply>, called_ms: u64 },
    /// The scheduler sends an attempt.
    SendAttempt { request: usize, at: GatewayProcess },
    /// An attempt ends.
    AttemptEnd { request: usize, at: GatewayProcess, outcome: AttemptOutcome },
    /// The deadline of a request passes, at which the gateway must answer.
    Deadline { request: usize, at: GatewayProcess },
    /// The client disconnects.
    Disconnect { request: usize },
    /// A gateway writes its heartbeat to the store.
    HeartbeatDue { at: GatewayProcess },
    /// A gateway renews its claims.
    RenewalDue { at: GatewayProcess },
    /// A fault begins.
    Fault,
}

impl Event {
    /// Returns the gateway whose suspension delays the event.
    pub fn gateway(&self) -> Option<usize> {
        match self {
            Self::Arrival { gateway, .. } => Some(*gateway),
            Self::Reply { at, .. }
            | Self::SendAttempt { at, .. }
            | Self::AttemptEnd { at, .. }
            | Self::Deadline { at, .. }
            | Self::HeartbeatDue { at }
            | Self::RenewalDue { at } => Some(at.gateway),
            Self::Apply { .. } | Self::Disconnect { .. } | Self::Fault => None,
        }
    }

    /// Returns the process of an event that is dropped once that process was killed.
    pub fn process(&self) -> Option<GatewayProcess> {
        match self {
            Self::Reply { at, .. }
            | Self::SendAttempt { at, .. }
            | Self::AttemptEnd { at, .. }
            | Self::Deadline { at, .. }
            | Self::HeartbeatDue { at }
            | Self::RenewalDue { at } => Some(*at),
            Self::Arrival { .. } | Self::Apply { .. } | Self::Disconnect { .. } | Self::Fault => None,
        }
    }
}
