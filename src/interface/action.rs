//! Actions: the decisions of the scheduler.

use super::ids::{AttemptNo, EngineId, RequestId};
use std::time::Duration;

/// A decision of the scheduler, to be executed by the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Id of the request.
        request: RequestId,
        /// Engine to send it to.
        engine: EngineId,
        /// Timeout of the attempt; `None` means the request's deadline.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNo,
    },
    /// Reject the request as its final answer; a retry by the client is harmless.
    Reject {
        /// Id of the request.
        request: RequestId,
        /// Time that the client is asked to wait before it retries.
        retry_after: Option<Duration>,
    },
    /// Fail the request as its final answer, without a guarantee that a retry by the client is harmless.
    Fail {
        /// Id of the request.
        request: RequestId,
    },
    /// Set the memory grant of a request's next attempts, and its priority, which also applies to attempts in
    /// flight.
    GrantResources {
        /// Id of the request.
        request: RequestId,
        /// Memory in MB; `None` leaves the amount to the engine.
        memory_mb: Option<f64>,
        /// Priority, 0 (lowest) to 3.
        priority: u8,
    },
    /// Send [`Event::WakeUp`](super::Event::WakeUp) after this time.
    WakeAfter(Duration),
    /// Check the health of an engine.
    CheckHealth(EngineId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// An engine was ejected temporarily on this gateway's own evidence; other gateways may be notified.
    EngineEjected {
        /// Id of the engine.
        engine: EngineId,
        /// Whether the engine does not respond; otherwise it returns failures.
        unresponsive: bool,
        /// Duration of the ejection.
        duration: Duration,
    },
    /// Write a line to the log.
    Log(String),
}
