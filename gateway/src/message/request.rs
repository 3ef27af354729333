//! A client's request as a front passes it to the broker, and the channel for its response.

use super::response::Response;
use bytes::Bytes;
use reedwalk_scheduler::ClassId;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// One request of a client. A client that retries sends a new request.
#[derive(Debug)]
pub struct Request {
    /// The client's id of this request, passed on to the engine unchanged.
    pub trace_id: Bytes,
    /// Position of its class in the settings.
    pub class: ClassId,
    /// The team whose quota covers it, if known.
    pub team: Option<Arc<str>>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The client marks it as a retry of an earlier request.
    pub is_retry: bool,
    /// Idempotency key, passed on to the engine unchanged.
    pub idempotency_key: Option<Bytes>,
    /// Estimated work, as time on one core.
    pub work: Option<Duration>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Group of the tables that it reads or writes.
    pub table_group: Option<u64>,
    /// It changes data; its result is a row count where the engine returns one.
    pub update: bool,
    /// The statement.
    pub statement: Bytes,
}

/// The way back to the client that waits for a request.
#[derive(Debug)]
pub struct ResponseHandle {
    /// Takes the one final response.
    pub sender: oneshot::Sender<Response>,
    /// Cancelled as soon as the client disconnects, even while the broker's queue is full.
    pub disconnected: CancellationToken,
}

impl ResponseHandle {
    /// Sends the final response. A client that has just disconnected takes none, and none is owed to it.
    pub fn send(self, response: Response) {
        let _ = self.sender.send(response);
    }
}
