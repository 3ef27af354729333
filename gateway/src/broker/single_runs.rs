//! The clients' ids of requests that must not run twice. An id that comes again is refused while its request is open, here
//! or in another process of the gateway, and for some time after a request that may have run: its client may have left
//! without the answer, and an engine may still run a cancelled attempt.

use crate::request_ids::{RequestIdExchange, TraceId};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long the id of an ended request stays blocked.
const BLOCKED_ID_TTL: Duration = Duration::from_secs(60);
/// Maximum number of blocked ids of ended requests. The oldest are dropped first.
const MAX_BLOCKED_IDS: usize = 16_384;

/// The ids of open requests, and of ended ones that may have run, of all classes that must not run twice.
#[derive(Debug, Default)]
pub(super) struct SingleRunIds {
    open: HashSet<TraceId>,
    blocked: HashSet<TraceId>,
    /// Blocked ids with the times from which they are free again, in order of these.
    expiry: VecDeque<(Instant, TraceId)>,
    /// Ids in the gateway's other processes; `None` if there can be none.
    exchange: Option<RequestIdExchange>,
}

impl SingleRunIds {
    /// Shares the ids with the gateway's other processes.
    pub(super) fn new(exchange: Option<RequestIdExchange>) -> Self {
        Self { exchange, ..Self::default() }
    }

    /// Claims the id of a request that has arrived; `false` if it is open or blocked, here or in another process.
    pub(super) fn claim(&mut self, id: TraceId, now: Instant) -> bool {
        self.remove_expired(now);
        if self.open.contains(&id) || self.blocked.contains(&id) {
            return false;
        }
        if self.exchange.as_mut().is_some_and(|exchange| !exchange.claim(id)) {
            return false;
        }
        self.open.insert(id)
    }

    /// Frees the id of a request that has ended and never ran.
    pub(super) fn release(&mut self, id: TraceId) {
        self.open.remove(&id);
        self.release_in_other_processes(id);
    }

    /// Blocks the id of a request that has ended and may have run.
    pub(super) fn block(&mut self, id: TraceId, now: Instant) {
        self.open.remove(&id);
        if self.blocked.insert(id) {
            self.expiry.push_back((now + BLOCKED_ID_TTL, id));
        }
        if self.expiry.len() > MAX_BLOCKED_IDS {
            self.free_oldest();
        }
    }

    /// Waits until other processes of the gateway have started or ended.
    pub(super) async fn processes_changed(&mut self) {
        match &mut self.exchange {
            Some(exchange) => exchange.processes_changed().await,
            None => std::future::pending().await,
        }
    }

    /// Gives the ids to processes that have started, and takes over those of processes that have ended.
    pub(super) fn update_processes(&mut self, now: Instant) {
        let Some(exchange) = &mut self.exchange else { return };
        let orphaned = exchange.update_processes(self.open.iter().chain(&self.blocked).copied());
        for id in orphaned {
            self.block(id, now);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.expiry.front().is_some_and(|(free_at, _)| *free_at <= now) {
            self.free_oldest();
        }
    }

    fn free_oldest(&mut self) {
        if let Some((_, id)) = self.expiry.pop_front() {
            self.blocked.remove(&id);
            self.release_in_other_processes(id);
        }
    }

    fn release_in_other_processes(&mut self, id: TraceId) {
        if let Some(exchange) = &mut self.exchange {
            exchange.release(id);
        }
    }
}

#[cfg(test)]
mod tests;
