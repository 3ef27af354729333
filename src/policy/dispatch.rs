//! Arrival of requests, the order in which they are sent, and what an attempt is granted at its engine.

use super::{MEMORY, MIN_SAMPLES};
use crate::interface::{Action, Arrival, ClassId, EngineId, RequestId};
use crate::scheduler::Scheduler;
use crate::state::{InFlightAttempt, PossibleRun, QueueKey, RequestRecord, micros};

/// Priorities: of abandoned work, the usual one, and of the classes that go first.
const LOWEST: u8 = 0;
const USUAL: u8 = 1;
const HIGH: u8 = 2;

/// What a request's next attempt is granted.
struct ResourceGrant {
    /// In MB; `None` leaves it to the engine.
    memory_mb: Option<f64>,
    priority: u8,
}

/// The first waiting request of a class that was not looked at yet.
struct Candidate {
    class: usize,
    key: QueueKey,
    is_late: bool,
    priority_weight: f64,
}

impl Scheduler {
    /// A request has arrived.
    pub(crate) fn on_arrival(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        let class = arrival.class;
        if class.0 >= self.classes.len() || self.requests.contains(arrival.request) {
            return;
        }
        let time_left = micros(arrival.time_left);
        if let Some(work) = arrival.work {
            self.classes[class.0].estimated_work.add(micros(work) as f64, MEMORY);
        }
        let target = self.now + self.objective(class).min(time_left) - self.execution_time(arrival);
        let mut request = RequestRecord::new(arrival.clone(), self.now, self.now + time_left, target);
        request.possible_run = arrival
            .prior_attempt
            .map(|prior| PossibleRun { group: Some(prior.group), sent: self.now - micros(prior.age) });
        if self.settings.rules.retry_budget.is_some() {
            self.recent_requests.push(self.now);
        }
        self.requests.add(request, self.settings.classes[class.0].in_order);
        if time_left <= 0 {
            self.answer(arrival.request, actions);
        }
    }

    /// Sends what may be sent. Only the first requests of the classes' queues are looked at, so that a step
    /// costs no more however many wait.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        // How far each class's queue was looked through; `None` once the class has no capacity left.
        let mut positions = vec![Some(QueueKey::START); self.classes.len()];
        while let Some(Candidate { class, key, .. }) = self.next_candidate(&positions) {
            positions[class] = Some(key);
            let id = key.request;
            let is_retry = self.requests.get(id).is_some_and(|request| request.attempts > 0);
            if is_retry && !self.has_retry_budget() || !self.is_in_turn(id) {
                continue;
            }
            match self.select_engine(id) {
                Some(engine) => self.send(id, engine, actions),
                // No capacity for one of a class is none for its next; retries have engines of their own to
                // look for, and so do bulk loads, which wait for their tables.
                None if is_retry || self.settings.classes[class].is_load => {}
                None => positions[class] = None,
            }
        }
    }

    /// Late requests first, those of the highest weight leading; then in rising target order.
    fn next_candidate(&self, positions: &[Option<QueueKey>]) -> Option<Candidate> {
        let candidate = |(class, position): (usize, &Option<QueueKey>)| {
            let key = self.requests.next_waiting(class, (*position)?)?;
            let is_late = key.target < self.now;
            let priority_weight = if is_late { self.settings.classes[class].priority_weight } else { 0.0 };
            Some(Candidate { class, key, is_late, priority_weight })
        };
        let candidates = positions.iter().enumerate().filter_map(candidate);
        candidates.min_by(|a, b| {
            let by_weight = b.priority_weight.total_cmp(&a.priority_weight);
            b.is_late.cmp(&a.is_late).then(by_weight).then(a.key.cmp(&b.key))
        })
    }

    /// Rule of order: the first of its ordering key, with nothing before it that may still run.
    fn is_in_turn(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        match self.requests.ordering_queue(request) {
            Some(queue) if self.settings.classes[request.arrival.class.0].in_order => {
                queue.is_first(id) && (request.attempts > 0 || queue.is_settled(self.now))
            }
            _ => true,
        }
    }

    fn send(&mut self, id: RequestId, to: EngineId, actions: &mut Vec<Action>) {
        let grant = self.resource_grant(id);
        let Some(class) = self.requests.class_of(id) else { return };
        let work = self.usual_work(class);
        let threads = f64::from(self.settings.classes[class.0].threads);
        let is_warm = self.engines.get(to).is_some_and(|engine| self.warm_up(engine) >= 1.0);
        self.requests.dequeue(id);
        let (Some(request), Some(engine)) = (self.requests.get_mut(id), self.engines.get_mut(to)) else {
            return;
        };
        if let Some(grant) = grant {
            request.priority = grant.priority;
            let (memory_mb, priority) = (grant.memory_mb, grant.priority);
            actions.push(Action::GrantResources { request: id, memory_mb, priority });
        }
        let (sent, number) = (self.now, request.attempts);
        if number > 0 {
            self.recent_retries.push(sent);
        }
        request.in_flight =
            Some(InFlightAttempt { engine: to, sent, number, last_response: sent, cancelled: false });
        request.last_engine = Some(to);
        request.attempts += 1;
        engine.add_attempt(id, threads, self.settings.classes[class.0].is_load, sent);
        if is_warm {
            self.warm_sent += work;
        } else {
            engine.add_slow_start_work(sent, work);
        }
        actions.push(Action::Send { request: id, engine: to, timeout: None });
    }

    /// The grant for a request's next attempt, if it differs from the one before.
    fn resource_grant(&self, id: RequestId) -> Option<ResourceGrant> {
        let (traits, request) = (&self.settings.engine, self.requests.get(id)?);
        let class = &self.classes[request.arrival.class.0];
        let mean = class.memory_log.get(2.0 * MIN_SAMPLES).filter(|_| traits.grants);
        let memory_mb = mean.map(|mean| {
            let deviation = (class.memory_log_squared.value - mean * mean).max(0.0).sqrt();
            let estimate = request.arrival.memory_mb.filter(|memory| *memory > 0.0).unwrap_or(1.0);
            estimate * (mean + deviation).exp()
        });
        let priority = if traits.priorities { self.class_priority(request.arrival.class) } else { USUAL };
        let has_grant = memory_mb.is_some() || priority != request.priority;
        has_grant.then_some(ResourceGrant { memory_mb, priority })
    }

    /// Classes of the highest value density go first on short cores, and bulk loads, which hold up others
    /// while they run; the rest keep the usual priority.
    fn class_priority(&self, class: ClassId) -> u8 {
        let is_known = self.classes.iter().any(|class| class.work_per_thread.samples > 0.0);
        let is_first = is_known && self.value_density(class) >= self.max_value_density();
        if self.settings.classes[class.0].is_load || is_first { HIGH } else { USUAL }
    }

    /// Abandoned work that cannot be cancelled goes on at the lowest priority. Guards against congestion by
    /// abandoned work; costs nothing where priorities are not respected.
    pub(crate) fn demote_abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.engine.priorities || self.settings.limits.cancel {
            return;
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.in_flight.is_some() && request.priority > LOWEST {
            request.priority = LOWEST;
            actions.push(Action::GrantResources { request: id, memory_mb: None, priority: LOWEST });
        }
    }
}
