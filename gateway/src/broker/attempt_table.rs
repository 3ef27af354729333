//! The table of attempts in flight.

use crate::message::AttemptId;
use reedwalk_scheduler::{AttemptNo, EngineId, Outcome, RequestId};
use std::collections::HashMap;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The state of an attempt in flight.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    /// Number of the attempt within its request.
    pub(super) number: AttemptNo,
    pub(super) engine: EngineId,
    pub(super) sent_at: Instant,
    /// When the attempt times out.
    pub(super) deadline: Instant,
    /// Cancelled with the attempt, which no transport writes after that.
    pub(super) cancelled: CancellationToken,
    /// The attempt's outcome once the transport confirms the cancellation; `None` if it is not being cancelled.
    pub(super) cancel_outcome: Option<Outcome>,
}

/// All attempts in flight by id.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    attempts: HashMap<AttemptId, InFlightAttempt>,
    next_id: u64,
}

impl AttemptTable {
    /// Returns an id that was not returned before.
    pub(super) fn next_id(&mut self) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        id
    }

    pub(super) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&id)
    }

    /// Returns an attempt that is in flight and not being cancelled.
    pub(super) fn get_uncancelled_mut(&mut self, id: AttemptId) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(&id).filter(|attempt| attempt.cancel_outcome.is_none())
    }

    /// Returns the outcome with which an attempt that is being cancelled will end.
    pub(super) fn cancel_outcome(&self, id: AttemptId) -> Option<Outcome> {
        self.attempts.get(&id)?.cancel_outcome
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }
}

#[cfg(test)]
mod tests;
