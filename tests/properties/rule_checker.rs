//! What an observer from outside knows of a scheduler's requests and engines; checks each action against the rules.

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

/// A request that is not settled yet.
pub struct OpenRequest {
    arrival: Arrival,
    pub deadline: u64,
    attempts: u32,
    pub in_flight: Option<InFlight>,
    /// Engine and time of the first attempt that may have run.
    possible_run: Option<(EngineId, u64)>,
    pub answered: bool,
}

/// The requests of an ordering key, and until when it settles.
#[derive(Default)]
struct OrderingQueue {
    requests: Vec<RequestId>,
    settles_at: u64,
}

/// An engine as the endpoint list has it, and since when it is not in service.
struct ListedEngine {
    entry: EngineEntry,
    out_of_service_since: Option<u64>,
}

/// What an observer from outside knows.
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

    /// Takes in a message of the endpoint list.
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

    /// Takes in a request that arrives.
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
            possible_run: None,
            answered: false,
        };
        self.open.insert(arrival.request, request);
    }

    /// Takes in the end of an attempt; returns its event.
    pub fn on_attempt_ended(&mut self, id: RequestId, outcome: Outcome) -> Event {
        let settles_at = self.now + micros(self.settings.rules.order_settle);
        let is_ordered = self.class(&self.open[&id]).in_order;
        let request = self.open.get_mut(&id).unwrap();
        let attempt = request.in_flight.take().unwrap();
        if outcome != Outcome::Ok && !outcome.never_ran() {
            request.possible_run.get_or_insert((attempt.engine, attempt.sent));
        }
        let key = request.arrival.ordering_key.filter(|_| is_ordered && outcome.may_still_run());
        if let Some(queue) = key.and_then(|key| self.ordering.get_mut(&key)) {
            queue.settles_at = queue.settles_at.max(settles_at);
        }
        request.answered |= outcome == Outcome::Ok;
        let closed = request.answered;
        self.settle(id);
        let usage = (outcome == Outcome::Ok)
            .then_some(ResourceUsage { work: Duration::from_millis(80), memory_mb: 64.0 });
        let load = Some(LoadReport { cpu: Some(f64::NAN), ..LoadReport::default() });
        let attempt = AttemptNo(attempt.number);
        Event::Ended(AttemptEnded { request: id, attempt, outcome, closed, usage, load })
    }

    /// Takes in that a request's client disconnects.
    pub fn on_disconnect(&mut self, id: RequestId) {
        self.open.get_mut(&id).unwrap().answered = true;
        self.settle(id);
    }

    /// Checks an action against the rules.
    pub fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, engine, .. } => self.check_send(*request, *engine),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel, "cancel is not allowed");
                let request = self.open.get_mut(request).expect("cancels a known request");
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
                    _ => open.possible_run.is_none() && open.in_flight.is_none(),
                };
                assert!(is_harmless, "rejected though it may have run");
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

    /// Checks that every request is answered before its deadline.
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
        let request = self.open.get_mut(&id).expect("answers a known request");
        assert!(!request.answered, "answered twice");
        let slack = micros(self.settings.rules.answer_slack);
        assert!(self.now <= request.deadline + slack, "answered too late");
        request.answered = true;
        self.settle(id);
    }

    /// Forgets a request that is answered and has no attempt in flight.
    fn settle(&mut self, id: RequestId) {
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
        let request = self.open.get(&id).expect("sends a known request");
        assert!(!request.answered, "sent after its answer");
        assert!(request.in_flight.is_none(), "two attempts at once");
        assert!(request.attempts < self.settings.limits.max_attempts, "too many attempts");
        self.check_placement(request, to);
        self.check_repetition(request, to);
        self.check_order(id, request);
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

    fn check_repetition(&self, request: &OpenRequest, to: EngineId) {
        let Some((first, sent)) = request.possible_run else { return };
        let (first, entry) = (&self.engines[&first].entry, &self.engines[&to].entry);
        match self.class(request).idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("retried though it may have run"),
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

    fn check_order(&self, id: RequestId, request: &OpenRequest) {
        if let (true, Some(key)) = (self.class(request).in_order, request.arrival.ordering_key) {
            let OrderingQueue { requests, settles_at } = &self.ordering[&key];
            assert_eq!(requests[0], id, "out of order");
            assert!(request.attempts > 0 || self.now >= *settles_at, "the key settles");
        }
    }

    fn check_retry_budget(&mut self) {
        let Some(budget) = &self.settings.rules.retry_budget else { return };
        self.retries.push(self.now);
        let window = micros(budget.window);
        let recent = |times: &[u64]| times.iter().filter(|time| **time + window > self.now).count() as f64;
        let allowed = budget.free_retries + budget.ratio * recent(&self.arrivals);
        assert!(recent(&self.retries) <= allowed, "beyond the retry budget");
    }
}
