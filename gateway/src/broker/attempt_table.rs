//! The attempts in flight.

use crate::message::AttemptId;
use reedwalk_scheduler::{AttemptNo, EngineId, Outcome, RequestId};
use std::collections::HashMap;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// One attempt in flight.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// The request that it belongs to.
    pub(super) request: RequestId,
    /// Its number among the request's attempts.
    pub(super) number: AttemptNo,
    /// The engine that it was sent to.
    pub(super) engine: EngineId,
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// When it times out.
    pub(super) deadline: Instant,
    /// Cancelled with the attempt; no transport writes it after that.
    pub(super) cancelled: CancellationToken,
    /// The outcome that it ends with once its transport confirms the cancellation, if it is being cancelled.
    pub(super) cancelling: Option<Outcome>,
}

/// All attempts in flight, by their ids.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    attempts: HashMap<AttemptId, InFlightAttempt>,
    next_id: u64,
}

impl AttemptTable {
    /// An id that was not given before.
    pub(super) fn next_id(&mut self) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Adds an attempt that was sent.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// An attempt in flight.
    pub(super) fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&id)
    }

    /// An attempt that is in flight and not being cancelled.
    pub(super) fn get_uncancelled_mut(&mut self, id: AttemptId) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(&id).filter(|attempt| attempt.cancelling.is_none())
    }

    /// The outcome with which an attempt ends that is being cancelled.
    pub(super) fn cancelling_outcome(&self, id: AttemptId) -> Option<Outcome> {
        self.attempts.get(&id)?.cancelling
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// Number of attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }
}

#[cfg(test)]
mod tests;
