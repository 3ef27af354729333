//! Tracks a scheduler's requests and engines from its events and actions only, and checks each action against the
//! rules.

use reedwalk_scheduler::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// An attempt in flight.
pub struct InFlight {
    engine: EngineId,
    sent: u64,
    pub number: u32,
    pub cancelled: bool,
}

/// A request that is unanswered or has an attempt in flight.
pub struct OpenRequest {
    arrival: Arrival,
    pub deadline: u64,
    attempts: u32,
    pub in_flight: Option<InFlight>,
    /// Engine and send time of the first attempt that may have run.
    first_possible_run: Option<(EngineId, u64)>,
    pub answered: bool,
}

/// The open requests of an ordering key, and the time until which the key is blocked.
#[derive(Default)]
struct OrderingQueue {
    requests: Vec<RequestId>,
    blocked_until: u64,
}

/// An engine's entry in the endpoint list, and since when it has been out of service.
struct ListedEngine {
    entry: EngineEntry,
    out_of_service_since: Option<u64>,
}

/// State known from events and actions alone.
pub struct RuleChecker {
    pub settings: Settings,
    pub now: u64,
    pub open: BTreeMap<RequestId, OpenRequest>,
    engines: BTreeMap<EngineId, ListedEngine>,
    ordering: BTreeMap<OrderingKeyId, OrderingQueue>,
    arrivals: Vec<u64>,
    retries: Vec<u64>,
}

impl RuleChecker {
    pub fn new(settings: Settings, now: u64) -> Self {
        Self {
            settings,
            now,
            open: BTreeMap::new(),
            engines: BTreeMap::new(),
            ordering: BTreeMap::new(),
            arrivals: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Applies a message of the endpoint list.
    pub fn on_endpoints(&mut self, scope: EndpointScope, entries: &[EngineEntry]) {
        let now = self.now;
        if scope != EndpointScope::Changes {
            for engine in self.engines.values_mut() {
                engine.out_of_service_since.get_or_insert(now);
            }
        }
        for entry in entries {
            let before = self.engines.get(&entry.engine).and_then(|engine| engine.out_of_service_since);
            let is_out = entry.state != EngineState::InService;
            let out_of_service_since = is_out.then(|| before.unwrap_or(now));
            self.engines.insert(entry.engine, ListedEngine { entry: entry.clone(), out_of_service_since });
        }
    }

    /// Records the arrival of a request.
    pub fn on_arrival(&mut self, arrival: &Arrival) {
        let is_ordered = self.settings.classes[arrival.class.0].in_order;
        if let (true, Some(key)) = (is_ordered, arrival.ordering_key) {
            self.ordering.entry(key).or_default().requests.push(arrival.request);
        }
        self.arrivals.push(self.now);
        let request = OpenRequest {
            arrival: arrival.clone(),
            deadline: self.now + micros(arrival.time_left),
            attempts: 0,
            in_flight: None,
            first_possible_run: None,
            answered: false,
        };
        self.open.insert(arrival.request, request);
    }

    /// Records the end of an attempt and returns the event for the scheduler.
    pub fn on_attempt_ended(&mut self, id: RequestId, outcome: Outcome) -> Event {
        let blocked_until = self.now + micros(self.settings.rules.order_settle);
        let is_ordered = self.class(&self.open[&id]).in_order;
        let request = self.open.get_mut(&id).unwrap();
        let attempt = request.in_flight.take().unwrap();
        if outcome != Outcome::Ok && !outcome.never_ran() {
            request.first_possible_run.get_or_insert((attempt.engine, attempt.sent));
        }
        let key = request.arrival.ordering_key.filter(|_| is_ordered && outcome.may_still_run());
        if let Some(queue) = key.and_then(|key| self.ordering.get_mut(&key)) {
            queue.blocked_until = queue.blocked_until.max(blocked_until);
        }
        request.answered |= outcome == Outcome::Ok;
        let closed = request.answered;
        self.remove_if_complete(id);
        let usage = (outcome == Outcome::Ok)
            .then_some(ResourceUsage { work: Duration::from_millis(80), memory_mb: 64.0 });
        let load = Some(LoadReport { cpu: Some(f64::NAN), ..LoadReport::default() });
        let attempt = AttemptNo(attempt.number);
        Event::Ended(AttemptEnded { request: id, attempt, outcome, closed, usage, load })
    }

    /// Records that a request's client has disconnected.
    pub fn on_disconnect(&mut self, id: RequestId) {
        self.open.get_mut(&id).unwrap().answered = true;
        self.remove_if_complete(id);
    }

    /// Panics if an action breaks a rule.
    pub fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, engine, .. } => self.check_send(*request, *engine),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel, "cancellation is not allowed");
                let request = self.open.get_mut(request).expect("a cancelled request is known");
                let in_flight = request.in_flight.as_mut().expect("an attempt is in flight");
                assert_eq!(in_flight.number, attempt.0);
                in_flight.cancelled = true;
            }
            Action::Reject { request, .. } => {
                let open = &self.open[request];
                let is_harmless = match self.class(open).idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => open.first_possible_run.is_none() && open.in_flight.is_none(),
                };
                assert!(is_harmless, "a request that may have run was rejected");
                self.answer(*request);
            }
            Action::Fail { request } => self.answer(*request),
            Action::GrantResources { request, priority, memory_mb } => {
                assert!(self.open.contains_key(request) && *priority <= 3);
                assert!(memory_mb.is_none_or(|memory| memory.is_finite() && memory >= 0.0));
            }
            Action::CheckHealth(_) => {
                assert!(self.settings.limits.health_checks, "health checks are not allowed");
            }
            Action::Subscribe => assert_eq!(self.settings.discovery, Discovery::Subscribed),
            Action::WakeAfter(_) | Action::Log(_) | Action::EngineEjected { .. } => {}
        }
    }

    /// Panics if a request is unanswered after its deadline and the permitted slack.
    pub fn check_deadlines(&self) {
        for (id, request) in &self.open {
            let slack = micros(self.settings.rules.answer_slack);
            assert!(request.answered || self.now <= request.deadline + slack, "{id:?} was never answered");
        }
    }

    fn class(&self, request: &OpenRequest) -> &ClassSettings {
        &self.settings.classes[request.arrival.class.0]
    }

    fn answer(&mut self, id: RequestId) {
        let request = self.open.get_mut(&id).expect("an answered request is known");
        assert!(!request.answered, "answered twice");
        let slack = micros(self.settings.rules.answer_slack);
        assert!(self.now <= request.deadline + slack, "answered after its deadline");
        request.answered = true;
        self.remove_if_complete(id);
    }

    /// Removes a request that is answered and has no attempt in flight.
    fn remove_if_complete(&mut self, id: RequestId) {
        let request = &self.open[&id];
        if request.answered && request.in_flight.is_none() {
            let key = request.arrival.ordering_key;
            if let Some(queue) = key.and_then(|key| self.ordering.get_mut(&key)) {
                queue.requests.retain(|waiting| *waiting != id);
            }
            self.open.remove(&id);
        }
    }

    fn check_send(&mut self, id: RequestId, to: EngineId) {
        let request = self.open.get(&id).expect("a request that is sent is known");
        assert!(!request.answered, "sent after it was answered");
        assert!(request.in_flight.is_none(), "two attempts in flight at once");
        assert!(request.attempts < self.settings.limits.max_attempts, "too many attempts");
        self.check_placement(request, to);
        self.check_idempotency(request, to);
        self.check_ordering_key(id, request);
        if request.attempts > 0 {
            self.check_retry_budget();
        }
        let request = self.open.get_mut(&id).unwrap();
        request.in_flight =
            Some(InFlight { engine: to, sent: self.now, number: request.attempts, cancelled: false });
        request.attempts += 1;
    }

    fn check_placement(&self, request: &OpenRequest, to: EngineId) {
        let ListedEngine { entry, out_of_service_since } = &self.engines[&to];
        let grace = micros(self.settings.rules.drain_grace);
        assert!(
            out_of_service_since.is_none_or(|since| self.now <= since + grace),
            "sent to a draining or removed engine"
        );
        let class = self.class(request);
        let (zones, kinds) = (class.zones.as_ref(), class.kinds.as_ref());
        assert!(zones.is_none_or(|zones| zones.contains(&entry.zone.unwrap())), "wrong zone");
        assert!(kinds.is_none_or(|kinds| kinds.contains(&entry.kind.unwrap())), "wrong kind");
    }

    fn check_idempotency(&self, request: &OpenRequest, to: EngineId) {
        let Some((first, sent)) = request.first_possible_run else { return };
        let (first, entry) = (&self.engines[&first].entry, &self.engines[&to].entry);
        match self.class(request).idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("a non-idempotent request that may have run was retried"),
            Idempotency::Keyed { scope, window } => {
                assert!(self.now <= sent + micros(window), "the deduplication window is over");
                match scope {
                    DeduplicationScope::All => {}
                    DeduplicationScope::Zone => assert_eq!(first.zone, entry.zone),
                    DeduplicationScope::Cell => assert_eq!(first.cell, entry.cell),
                }
            }
        }
    }

    fn check_ordering_key(&self, id: RequestId, request: &OpenRequest) {
        if let (true, Some(key)) = (self.class(request).in_order, request.arrival.ordering_key) {
            let OrderingQueue { requests, blocked_until } = &self.ordering[&key];
            assert_eq!(requests[0], id, "out of order");
            assert!(request.attempts > 0 || self.now >= *blocked_until, "the ordering key is still blocked");
        }
    }

    fn check_retry_budget(&mut self) {
        let Some(budget) = &self.settings.rules.retry_budget else { return };
        self.retries.push(self.now);
        let window = micros(budget.window);
        let recent = |times: &[u64]| times.iter().filter(|time| **time + window > self.now).count() as f64;
        let allowed = budget.free_retries + budget.ratio * recent(&self.arrivals);
        assert!(recent(&self.retries) <= allowed, "the retry budget is exceeded");
    }
}
