//! Final answers to requests, and requests whose client has disconnected.

use super::Scheduler;
use crate::interface::{Action, AttemptNo, RequestId};
use crate::policy::load_shedding::may_reject;
use crate::policy::resource_grants::{Priority, should_demote};

impl Scheduler {
    /// Ends a request: rejects it if a retry is harmless, fails it otherwise.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(attempt) = &request.in_flight
            && self.settings.limits.cancel
        {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt.number) });
        }
        let idempotency = self.settings.classes[request.arrival.class.0].idempotency;
        actions.push(if may_reject(request, idempotency) {
            Action::Reject { request: id, retry_after: self.settings.limits.max_retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.requests.remove(id);
    }

    /// Handles a client's disconnect: cancels the attempt, or lets it continue at the lowest priority.
    pub(super) fn on_disconnect(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(attempt) = &request.in_flight
            && self.settings.limits.cancel
            && !request.streaming
        {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(attempt.number) });
        }
        self.demote_abandoned(id, actions);
        self.requests.remove(id);
    }

    /// Reduces abandoned work that cannot be cancelled to the lowest priority, if engines respect priorities.
    pub(super) fn demote_abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if should_demote(request, &self.settings) {
            request.priority = Priority::LOWEST;
            let priority = Priority::LOWEST.0;
            actions.push(Action::GrantResources { request: id, memory_mb: None, priority });
        }
    }
}
