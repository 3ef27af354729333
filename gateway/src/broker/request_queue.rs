//! The queue through which the fronts pass requests to the broker.

use crate::message::{BrokerEvent, Failure, Rejection, Request, Response, ResponseHandle};
use crate::metrics::{CountedRequest, Metrics, RequestOutcome};
use reedwalk_scheduler::{ClassId, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// The wait before a retry that a client is asked for when the queue is full.
const FULL_QUEUE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A front's handle for sending requests to the broker. Clones share the queue.
#[derive(Clone, Debug)]
pub struct RequestQueue {
    events: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    next_id: Arc<AtomicU64>,
}

/// A request that waits for its response. If dropped before the response has arrived, it reports to the broker that the
/// client has disconnected.
#[derive(Debug)]
pub struct PendingResponse {
    id: RequestId,
    response: oneshot::Receiver<Response>,
    events: mpsc::Sender<BrokerEvent>,
    disconnected: CancellationToken,
    counted_request: CountedRequest,
    answered: bool,
}

impl RequestQueue {
    /// Creates a queue that counts each request in the metrics.
    pub fn new(events: mpsc::Sender<BrokerEvent>, metrics: Arc<Metrics>) -> Self {
        Self { events, metrics, next_id: Arc::default() }
    }

    /// Counts a request that its front has answered without queueing it.
    pub fn count_unqueued(&self, class: ClassId, outcome: RequestOutcome) {
        self.metrics.start_request(class).end(outcome);
    }

    /// Queues a request.
    ///
    /// # Errors
    /// Returns a rejection to send to the client immediately if the queue is full.
    pub fn submit(&self, request: Request) -> Result<PendingResponse, Response> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        let disconnected = CancellationToken::new();
        let response = ResponseHandle { sender, disconnected: disconnected.clone() };
        let mut counted_request = self.metrics.start_request(request.class);
        let event = BrokerEvent::RequestArrived { id, request: Box::new(request), response };
        if self.events.try_send(event).is_err() {
            counted_request.end(RequestOutcome::Rejected);
            let retry_after = Some(FULL_QUEUE_RETRY_AFTER);
            return Err(Response::Rejected { reason: Rejection::Shed, retry_after });
        }
        let events = self.events.clone();
        Ok(PendingResponse { id, response: receiver, events, disconnected, counted_request, answered: false })
    }
}

impl PendingResponse {
    /// Waits for the final response; `None` if the broker has dropped the request.
    pub async fn response(&mut self) -> Option<Response> {
        let response = (&mut self.response).await.ok();
        self.answered = true;
        self.counted_request.end(response.as_ref().map_or(RequestOutcome::Failed, RequestOutcome::from));
        response
    }

    /// Fails the request without waiting for the broker, which is notified when this value is dropped.
    pub fn fail(&mut self, reason: Failure) -> Response {
        self.counted_request.end(RequestOutcome::Failed);
        Response::Failed(reason)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        // From here on no transport writes the request, even if the queue is full and the broker detects the disconnect
        // only by its scan.
        self.disconnected.cancel();
        let _ = self.events.try_send(BrokerEvent::ClientDisconnected(self.id));
    }
}
