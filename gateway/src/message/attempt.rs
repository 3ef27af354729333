//! Attempts: what an engine transport is asked to send, what it reports, and the interface of a transport.

use super::endpoint::EngineAddress;
use super::response::Rows;
use bytes::Bytes;
use reedwalk_scheduler::{ClassId, EngineId, LoadReport, Outcome, ProgressReport, ResourceUsage};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Identifies one attempt among those of all requests; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// An attempt that an engine transport is to send.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Which attempt.
    pub id: AttemptId,
    /// The engine it goes to.
    pub engine: EngineId,
    /// The request's id, as its client gave it.
    pub trace_id: Bytes,
    /// The request's class.
    pub class: ClassId,
    /// When the attempt times out.
    pub deadline: Instant,
    /// From this instant on it must not begin to be written: its deadline, or the end of the window in which engines
    /// remember its idempotency key.
    pub write_deadline: Instant,
    /// Cancelled when its client disconnects or the broker cancels it; it is not written after that.
    pub cancelled: CancellationToken,
    /// Idempotency key.
    pub idempotency_key: Option<Bytes>,
    /// Memory granted in MB; `None` leaves it to the engine.
    pub memory_mb: Option<f64>,
    /// Priority, 0 (lowest) to 3.
    pub priority: u8,
    /// It changes data.
    pub update: bool,
    /// The statement.
    pub statement: Bytes,
}

/// How an attempt ended, as its transport reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// What the query cost, if the engine reports it.
    pub usage: Option<ResourceUsage>,
    /// The engine's load, if it reports it.
    pub load: Option<LoadReport>,
    /// The result, where it was served.
    pub rows: Option<Rows>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, usage: None, load: None, rows: None }
    }
}

/// What a transport reports about an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// A progress report of the engine.
    Progress(ProgressReport),
    /// The attempt has ended.
    Ended(AttemptResult),
    /// The attempt was cancelled, and the cancellation has reached the engine, or the attempt was never written, or
    /// its connection has ended.
    CancelConfirmed,
}

/// Sends attempts to engines over one wire format. No method waits: results reach the broker's queue as
/// [`BrokerEvent::Attempt`](super::BrokerEvent::Attempt).
pub trait EngineTransport: Send {
    /// Sets where an engine listens; `None` when it was removed.
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>);
    /// Starts an attempt. Returns `false` if it was not sent and never will be.
    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool;
    /// Cancels an attempt. Returns `true` if [`AttemptEvent::CancelConfirmed`] follows.
    fn cancel(&mut self, attempt: AttemptId) -> bool;
    /// Changes an attempt's priority.
    fn set_priority(&mut self, attempt: AttemptId, priority: u8);
    /// The attempt has ended by itself; frees its place on its connection.
    fn release(&mut self, attempt: AttemptId);
    /// Sets the share of the connections that this process may hold; another process has the rest.
    fn set_capacity_share(&mut self, share: f64);
}

impl<T: EngineTransport + ?Sized> EngineTransport for Box<T> {
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>) {
        (**self).set_endpoint(engine, address);
    }

    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool {
        (**self).start(attempt, now)
    }

    fn cancel(&mut self, attempt: AttemptId) -> bool {
        (**self).cancel(attempt)
    }

    fn set_priority(&mut self, attempt: AttemptId, priority: u8) {
        (**self).set_priority(attempt, priority);
    }

    fn release(&mut self, attempt: AttemptId) {
        (**self).release(attempt);
    }

    fn set_capacity_share(&mut self, share: f64) {
        (**self).set_capacity_share(share);
    }
}
