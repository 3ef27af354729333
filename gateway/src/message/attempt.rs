//! Attempts: what the broker asks an engine transport to send, what the transport reports, and its interface.

use super::endpoint::EngineAddress;
use super::response::Rows;
use bytes::Bytes;
use reedwalk_scheduler::{ClassId, EngineId, LoadReport, Outcome, ProgressReport, ResourceUsage};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Identifies one attempt among those of all requests. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// An attempt for an engine transport to send.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The attempt's id.
    pub id: AttemptId,
    /// The target engine.
    pub engine: EngineId,
    /// The request id chosen by the client.
    pub trace_id: Bytes,
    /// The request's class.
    pub class: ClassId,
    /// When the attempt times out.
    pub deadline: Instant,
    /// Writing must begin before this instant: the deadline, or the end of the window in which engines remember the
    /// idempotency key if that is earlier.
    pub write_deadline: Instant,
    /// Cancelled when the client disconnects or the broker cancels the attempt, which is not written after that.
    pub cancelled: CancellationToken,
    /// The client's idempotency key.
    pub idempotency_key: Option<Bytes>,
    /// Memory grant in MB; with `None` the engine decides.
    pub memory_mb: Option<f64>,
    /// Priority, 0 (lowest) to 3.
    pub priority: u8,
    /// Whether the statement changes data.
    pub is_update: bool,
    /// The statement to execute.
    pub statement: Bytes,
}

/// How an attempt ended, as reported by its transport.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether the attempt succeeded, or how it failed.
    pub outcome: Outcome,
    /// Resources that the query used, if the engine reports them.
    pub usage: Option<ResourceUsage>,
    /// The engine's load, if it reports it.
    pub load: Option<LoadReport>,
    /// The result, if the attempt succeeded.
    pub rows: Option<Rows>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, usage: None, load: None, rows: None }
    }
}

/// A transport's report on an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The engine sent a progress report.
    Progress(ProgressReport),
    /// The attempt has ended.
    Ended(AttemptResult),
    /// The cancellation has taken effect: it has reached the engine, the attempt was never written, or its connection
    /// has ended.
    CancelConfirmed,
}

/// Sends attempts to engines over one wire format. No method blocks: results arrive in the broker's queue as
/// [`BrokerEvent::Attempt`](super::BrokerEvent::Attempt).
pub trait EngineTransport: Send {
    /// Sets the address of an engine; `None` if it was removed.
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>);
    /// Starts an attempt. Returns `false` if the attempt was not sent and will not be sent later.
    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool;
    /// Cancels an attempt. Returns `true` if [`AttemptEvent::CancelConfirmed`] follows.
    fn cancel(&mut self, attempt: AttemptId) -> bool;
    /// Changes an attempt's priority.
    fn set_priority(&mut self, attempt: AttemptId, priority: u8);
    /// Frees the connection slot of an attempt that the transport has reported as ended.
    fn release(&mut self, attempt: AttemptId);
    /// Sets the share of the connections that this process may hold; another process of the gateway holds the rest.
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
