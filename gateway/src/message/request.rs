//! A client's request as passed from a front to the broker, and the channel for its response.

use super::response::Response;
use bytes::Bytes;
use reedwalk_scheduler::ClassId;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// One request of a client. A retry by the client is a new request.
#[derive(Debug)]
pub struct Request {
    /// The request id chosen by the client, forwarded to the engine unchanged.
    pub trace_id: Bytes,
    /// Index of the request's class in the settings.
    pub class: ClassId,
    /// The team whose quota is charged, if known.
    pub team: Option<Arc<str>>,
    /// When the client stops waiting for the response.
    pub deadline: Instant,
    /// Whether the client marks the request as a retry of an earlier one.
    pub is_retry: bool,
    /// The client's idempotency key, forwarded to the engine unchanged.
    pub idempotency_key: Option<Bytes>,
    /// Estimated CPU time on one core.
    pub work: Option<Duration>,
    /// Estimated memory use in MB.
    pub memory_mb: Option<f64>,
    /// Group of the tables that the statement reads or writes.
    pub table_group: Option<u64>,
    /// Whether the statement changes data. Its result is then a row count, if the engine returns one.
    pub is_update: bool,
    /// The statement to execute.
    pub statement: Bytes,
}

/// The broker's handle to the client that waits for a response.
#[derive(Debug)]
pub struct ResponseHandle {
    /// Receives the one final response.
    pub sender: oneshot::Sender<Response>,
    /// Cancelled as soon as the client disconnects, even if the broker's queue is full.
    pub disconnected: CancellationToken,
}

impl ResponseHandle {
    /// Sends the final response. It is discarded if the client has just disconnected.
    pub fn send(self, response: Response) {
        let _ = self.sender.send(response);
    }
}
