//! Dispatch of waiting requests, and explanations of why engines were not selected.

use super::Scheduler;
use crate::interface::{Action, Arrival, ClassId, EngineExclusion, EngineId, RequestId};
use crate::policy::dispatch_queue::{Candidate, DispatchPass};
use crate::policy::engine_selection::Selection;
use crate::policy::resource_grants::{ResourceGrant, next_grant};
use crate::state::{InFlightAttempt, RequestRecord};

impl Scheduler {
    /// Returns why each engine, except the one that would be selected, would not receive a waiting request's
    /// next attempt now. Empty for a request that is not open or has an attempt in flight. Intended for debug
    /// logging; costs as much as two selections.
    pub fn explain_selection(&self, request: RequestId) -> Vec<EngineExclusion> {
        let waiting = self.requests.get(request).filter(|request| request.in_flight.is_none());
        waiting.map_or_else(Vec::new, |request| self.explain(request))
    }

    /// Like [`Self::explain_selection`], for the first attempt of a hypothetical request of a class, without
    /// ordering key and table group; use it after a request has ended. Empty for an unknown class.
    pub fn explain_class_selection(&self, class: ClassId) -> Vec<EngineExclusion> {
        let Some(settings) = self.settings.classes.get(class.0) else { return Vec::new() };
        let arrival = Arrival::new(RequestId::default(), class, settings.deadline);
        let deadline = self.now + settings.deadline.into();
        self.explain(&RequestRecord::new(arrival, self.now, deadline, self.now))
    }

    fn explain(&self, request: &RequestRecord) -> Vec<EngineExclusion> {
        let context = self.selection_context();
        Selection::new(&context, request).explain()
    }

    /// Sends the waiting requests that may be sent now, in dispatch order.
    pub(super) fn dispatch_requests(&mut self, actions: &mut Vec<Action>) {
        let mut pass = DispatchPass::new(self.estimates.len());
        while let Some(candidate) = pass.next(self.requests.queue(), &self.settings, self.now) {
            let Candidate { class, request, .. } = candidate;
            let is_retry = self.requests.get(request).is_some_and(|request| request.attempts > 0);
            let has_budget = !is_retry || self.retry_policy.has_budget(&self.gateways, self.now);
            if !has_budget || !self.is_first_in_order(request) {
                continue;
            }
            match self.select_engine(request) {
                Some(engine) => self.send(request, engine, actions),
                // If no engine has capacity for one request of a class, none has for the next. This does not
                // hold for retries, whose allowed engines differ, nor for bulk loads, which wait for their
                // tables.
                None if is_retry || self.settings.classes[class.0].is_load => {}
                None => pass.close_class(class),
            }
        }
    }

    fn is_first_in_order(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let is_ordered = self.settings.classes[request.arrival.class.0].in_order;
        let key = request.arrival.ordering_key.filter(|_| is_ordered);
        self.requests.queue().is_first_in_order(key, id, request.attempts > 0, self.now)
    }

    /// Selects an engine with capacity for a request. Marks the concurrency limits that were reached, so that
    /// they may be raised.
    fn select_engine(&mut self, id: RequestId) -> Option<EngineId> {
        let request = self.requests.get(id)?;
        let selected = Selection::new(&self.selection_context(), request).select();
        for engine in selected.limits_reached {
            if let Some(engine) = self.engines.get_mut(engine) {
                engine.limit.mark_reached();
            }
        }
        selected.engine
    }

    fn send(&mut self, id: RequestId, to: EngineId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let grant = next_grant(request, &self.settings, &self.estimates);
        let class = request.arrival.class;
        self.requests.dequeue(id);
        let (Some(request), Some(engine)) = (self.requests.get_mut(id), self.engines.get_mut(to)) else {
            return;
        };
        if let Some(ResourceGrant { memory_mb, priority }) = grant {
            request.priority = priority;
            actions.push(Action::GrantResources { request: id, memory_mb, priority: priority.0 });
        }
        let number = request.attempts;
        if number > 0 {
            self.retry_policy.record_retry(self.now);
        }
        request.in_flight = Some(InFlightAttempt::new(to, number, self.now));
        request.last_engine = Some(to);
        request.attempts += 1;
        let settings = &self.settings.classes[class.0];
        engine.attempts.add(id, f64::from(settings.threads), settings.is_load, self.now);
        let work_us = self.estimates.typical_work_us(class);
        self.slow_start.record_send(&mut engine.slow_start, work_us, self.now);
        actions.push(Action::Send { request: id, engine: to, timeout: None });
    }
}
