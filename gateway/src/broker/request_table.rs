//! The table of open requests. A request is open until it has been answered and has no attempt in flight.

use crate::message::{AttemptId, Charge, Request, Response, ResponseHandle};
use bytes::Bytes;
use reedwalk_scheduler::{AttemptNo, RequestId};
use std::collections::{HashMap, HashSet};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Priority of a request's attempts until the scheduler grants one.
const DEFAULT_PRIORITY: u8 = 1;

/// Refers to an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRef {
    /// Number of the attempt within its request.
    pub(super) number: AttemptNo,
    /// Id among the attempts of all requests.
    pub(super) id: AttemptId,
}

/// The state of an open request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    /// Channel for the response; `None` once the response has been sent or the client has disconnected.
    pub(super) response: Option<oneshot::Sender<Response>>,
    /// Cancelled when the client disconnects.
    pub(super) disconnected: CancellationToken,
    /// When the first attempt that may have run was sent, by this or another process.
    pub(super) first_sent_at: Option<Instant>,
    /// The quota units charged to the team.
    pub(super) charge: Option<Charge>,
    /// Whether any ended attempt may have run.
    pub(super) may_have_run: bool,
    /// Whether an attempt has ended with an error, which the request itself may have caused.
    pub(super) had_error: bool,
    /// Number of attempts so far, including unsent ones.
    pub(super) attempt_count: u32,
    pub(super) in_flight: Vec<AttemptRef>,
    /// Memory grant for the next attempts in MB; with `None` the engine decides.
    pub(super) memory_mb: Option<f64>,
    /// Priority of the attempts.
    pub(super) priority: u8,
}

impl OpenRequest {
    /// Creates the state of a request that has just arrived.
    pub(super) fn new(request: Request, response: ResponseHandle) -> Self {
        Self {
            request,
            response: Some(response.sender),
            disconnected: response.disconnected,
            first_sent_at: None,
            charge: None,
            may_have_run: false,
            had_error: false,
            attempt_count: 0,
            in_flight: Vec::new(),
            memory_mb: None,
            priority: DEFAULT_PRIORITY,
        }
    }

    /// Whether the request still waits for its response.
    pub(super) fn is_unanswered(&self) -> bool {
        self.response.is_some()
    }
}

/// All open requests by id.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    /// Client ids of the open requests. An engine would mistake a second request with the same id for the first.
    trace_ids: HashSet<Bytes>,
    capacity: usize,
}

impl RequestTable {
    /// Creates a table for at most `capacity` requests.
    pub(super) fn new(capacity: usize) -> Self {
        Self { requests: HashMap::new(), trace_ids: HashSet::new(), capacity }
    }

    /// Whether this process's share of the capacity has room for another request.
    pub(super) fn has_capacity(&self, share: f64) -> bool {
        (self.requests.len() as f64) < self.capacity as f64 * share
    }

    /// Whether a request with this client id is open.
    pub(super) fn contains_trace_id(&self, trace_id: &Bytes) -> bool {
        self.trace_ids.contains(trace_id)
    }

    pub(super) fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.trace_ids.insert(open.request.trace_id.clone());
        self.requests.insert(id, open);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns a request if it still waits for its response.
    pub(super) fn get_unanswered(&self, id: RequestId) -> Option<&OpenRequest> {
        self.get(id).filter(|open| open.is_unanswered())
    }

    /// Returns a request if it still waits for its response.
    pub(super) fn get_unanswered_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.get_mut(id).filter(|open| open.is_unanswered())
    }

    /// Whether a request still waits for its response.
    pub(super) fn is_unanswered(&self, id: RequestId) -> bool {
        self.get_unanswered(id).is_some()
    }

    /// Takes the channel for a request's response. Only the first call returns it, so only one response can be sent.
    pub(super) fn take_response(&mut self, id: RequestId) -> Option<oneshot::Sender<Response>> {
        self.get_mut(id)?.response.take()
    }

    pub(super) fn in_flight(&self, id: RequestId) -> &[AttemptRef] {
        self.get(id).map_or(&[], |open| &open.in_flight)
    }

    /// Returns the unanswered requests whose clients have disconnected.
    pub(super) fn disconnected(&self) -> Vec<RequestId> {
        let is_disconnected = |open: &OpenRequest| open.is_unanswered() && open.disconnected.is_cancelled();
        self.requests.iter().filter(|(_, open)| is_disconnected(open)).map(|(id, _)| *id).collect()
    }

    /// Returns the open requests whose deadlines are later than `end`.
    pub(super) fn with_deadline_after(
        &mut self,
        end: Instant,
    ) -> impl Iterator<Item = (RequestId, &mut OpenRequest)> {
        let later = self.requests.iter_mut().filter(move |(_, open)| open.request.deadline > end);
        later.map(|(id, open)| (*id, open))
    }

    /// Removes and returns a request if it has been answered and has no attempt in flight.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.get(id)?;
        if open.is_unanswered() || !open.in_flight.is_empty() {
            return None;
        }
        let open = self.requests.remove(&id)?;
        self.trace_ids.remove(&open.request.trace_id);
        Some(open)
    }

    /// Returns a request's client id as text for the log.
    pub(super) fn trace_text(&self, id: RequestId) -> Option<String> {
        self.get(id).map(|open| String::from_utf8_lossy(&open.request.trace_id).into_owned())
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

#[cfg(test)]
mod tests;
