//! The open requests: from their arrival until they have their response and nothing of them is in flight.

use crate::message::{AttemptId, Charge, Request, Response, ResponseHandle};
use bytes::Bytes;
use reedwalk_scheduler::{AttemptNo, RequestId};
use std::collections::{HashMap, HashSet};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Priority of a request's attempts until the scheduler grants another.
const DEFAULT_PRIORITY: u8 = 1;

/// One of a request's attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRef {
    /// Its number among the request's attempts.
    pub(super) number: AttemptNo,
    /// Its id among all attempts.
    pub(super) id: AttemptId,
}

/// One open request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The request.
    pub(super) request: Request,
    /// Where its response goes; `None` once it has been sent, or the client has disconnected.
    pub(super) response: Option<oneshot::Sender<Response>>,
    /// Cancelled when its client disconnects.
    pub(super) disconnected: CancellationToken,
    /// When the first attempt was sent that may have run, here or by another process.
    pub(super) first_sent_at: Option<Instant>,
    /// What its team was charged for it.
    pub(super) charge: Option<Charge>,
    /// An attempt that has ended may have run.
    pub(super) may_have_run: bool,
    /// An engine has answered it with an error; the request itself may be at fault.
    pub(super) had_error: bool,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// Its attempts in flight.
    pub(super) in_flight: Vec<AttemptRef>,
    /// Memory granted to its next attempts in MB; `None` leaves it to the engine.
    pub(super) memory_mb: Option<f64>,
    /// Priority of its attempts.
    pub(super) priority: u8,
}

impl OpenRequest {
    /// A request that has just arrived.
    pub(super) fn new(request: Request, response: ResponseHandle) -> Self {
        Self {
            request,
            response: Some(response.sender),
            disconnected: response.disconnected,
            first_sent_at: None,
            charge: None,
            may_have_run: false,
            had_error: false,
            attempts: 0,
            in_flight: Vec::new(),
            memory_mb: None,
            priority: DEFAULT_PRIORITY,
        }
    }

    /// Whether it still waits for its response.
    pub(super) fn is_unanswered(&self) -> bool {
        self.response.is_some()
    }
}

/// All open requests, by their ids.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    /// The clients' ids of the open requests: an engine would take a second request of one id for the first.
    trace_ids: HashSet<Bytes>,
    capacity: usize,
}

impl RequestTable {
    /// A table for at most `capacity` requests.
    pub(super) fn new(capacity: usize) -> Self {
        Self { requests: HashMap::new(), trace_ids: HashSet::new(), capacity }
    }

    /// Whether another request fits into this process's share of the capacity.
    pub(super) fn has_capacity(&self, share: f64) -> bool {
        (self.requests.len() as f64) < self.capacity as f64 * share
    }

    /// Whether a request with this client's id is open.
    pub(super) fn contains_trace_id(&self, trace_id: &Bytes) -> bool {
        self.trace_ids.contains(trace_id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.trace_ids.insert(open.request.trace_id.clone());
        self.requests.insert(id, open);
    }

    /// An open request.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// An open request.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// An open request that still waits for its response.
    pub(super) fn get_unanswered(&self, id: RequestId) -> Option<&OpenRequest> {
        self.get(id).filter(|open| open.is_unanswered())
    }

    /// An open request that still waits for its response.
    pub(super) fn get_unanswered_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.get_mut(id).filter(|open| open.is_unanswered())
    }

    /// Whether a request waits for its response.
    pub(super) fn is_unanswered(&self, id: RequestId) -> bool {
        self.get_unanswered(id).is_some()
    }

    /// Takes the channel for a request's response. Only the first call gets it, so there is only one response.
    pub(super) fn take_response(&mut self, id: RequestId) -> Option<oneshot::Sender<Response>> {
        self.get_mut(id)?.response.take()
    }

    /// A request's attempts in flight.
    pub(super) fn in_flight(&self, id: RequestId) -> &[AttemptRef] {
        self.get(id).map_or(&[], |open| &open.in_flight)
    }

    /// Requests that wait for their response although their client has disconnected.
    pub(super) fn disconnected(&self) -> Vec<RequestId> {
        let is_disconnected = |open: &OpenRequest| open.is_unanswered() && open.disconnected.is_cancelled();
        self.requests.iter().filter(|(_, open)| is_disconnected(open)).map(|(id, _)| *id).collect()
    }

    /// The open requests whose deadline is later than `end`.
    pub(super) fn with_deadline_after(
        &mut self,
        end: Instant,
    ) -> impl Iterator<Item = (RequestId, &mut OpenRequest)> {
        let later = self.requests.iter_mut().filter(move |(_, open)| open.request.deadline > end);
        later.map(|(id, open)| (*id, open))
    }

    /// Removes a request that has its response and nothing in flight.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.get(id)?;
        if open.is_unanswered() || !open.in_flight.is_empty() {
            return None;
        }
        let open = self.requests.remove(&id)?;
        self.trace_ids.remove(&open.request.trace_id);
        Some(open)
    }

    /// A request's id as its client gave it, for the log.
    pub(super) fn trace_text(&self, id: RequestId) -> Option<String> {
        self.get(id).map(|open| String::from_utf8_lossy(&open.request.trace_id).into_owned())
    }

    /// Number of open requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

#[cfg(test)]
mod tests;
