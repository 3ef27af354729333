//! Dispatch queue: the requests that wait to be sent, and the order in which they are sent.
//!
//! By the design (paper, section 4.2), a request of class i that arrives at `t_a` has the dispatch target
//! `t_a + objective_i - T_i`, where `T_i` is the mean execution time of the class: the latest time at which
//! it can be sent and still meet its objective. Requests are sent in ascending order of their targets. Late
//! requests go first, by descending priority weight (a rule of the design, for the paper's class priority).

use crate::interface::{ClassId, OrderingKeyId, RequestId, Settings};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

/// Position of a waiting request in the queue of its class: by dispatch target, then in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Dispatch target of the request.
    pub(crate) target: Timestamp,
    /// Arrival number of the request.
    pub(crate) sequence: u64,
    pub(crate) request: RequestId,
}

impl QueueKey {
    /// Sorts before every request.
    const START: Self = Self { target: Timestamp::MIN, sequence: 0, request: RequestId(0) };
}

/// Requests with the same ordering key, in order of arrival.
#[derive(Default)]
struct OrderingQueue {
    requests: VecDeque<RequestId>,
    /// An attempt of an earlier request may still run until this time.
    blocked_until: Timestamp,
}

/// Queues of the classes and of the ordering keys.
pub(crate) struct DispatchQueue {
    /// Requests that wait to be sent, by class.
    classes: Vec<BTreeSet<QueueKey>>,
    /// Requests of each ordering key until they have ended, including those with an attempt in flight.
    ordering: BTreeMap<OrderingKeyId, OrderingQueue>,
}

impl DispatchQueue {
    /// Empty queues for the given number of classes.
    pub(crate) fn new(classes: usize) -> Self {
        Self { classes: vec![BTreeSet::new(); classes], ordering: BTreeMap::new() }
    }

    /// Adds a request that waits to be sent.
    pub(crate) fn enqueue(&mut self, class: ClassId, key: QueueKey) {
        self.classes[class.0].insert(key);
    }

    /// Removes a request that no longer waits.
    pub(crate) fn dequeue(&mut self, class: ClassId, key: &QueueKey) {
        self.classes[class.0].remove(key);
    }

    /// Appends a request that has arrived to the queue of its ordering key.
    pub(crate) fn add_to_ordering_queue(&mut self, key: OrderingKeyId, request: RequestId) {
        self.ordering.entry(key).or_default().requests.push_back(request);
    }

    /// Removes a request from the queue of its ordering key once it has ended and has no attempt in flight.
    pub(crate) fn remove_from_ordering_queue(&mut self, key: OrderingKeyId, request: RequestId) {
        if let Some(queue) = self.ordering.get_mut(&key) {
            queue.requests.retain(|waiting| *waiting != request);
        }
    }

    /// Blocks later requests of an ordering key while an attempt of it may still run.
    pub(crate) fn block_ordering_key(&mut self, key: OrderingKeyId, until: Timestamp) {
        if let Some(queue) = self.ordering.get_mut(&key) {
            queue.blocked_until = until;
        }
    }

    /// Whether the ordering key allows a request to be sent: it is the first of its key, and no attempt of an
    /// earlier request may still run. A retry does not wait for an earlier attempt of its own request.
    pub(crate) fn is_first_in_order(
        &self,
        key: Option<OrderingKeyId>,
        request: RequestId,
        is_retry: bool,
        now: Timestamp,
    ) -> bool {
        let Some(queue) = key.and_then(|key| self.ordering.get(&key)) else { return true };
        queue.requests.front() == Some(&request) && (is_retry || queue.blocked_until <= now)
    }

    /// Removes ordering keys that have no requests and no longer block any.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.ordering.retain(|_, queue| !queue.requests.is_empty() || queue.blocked_until > now);
    }

    /// Number of entries held.
    pub(crate) fn tracked(&self) -> usize {
        let waiting: usize = self.classes.iter().map(BTreeSet::len).sum();
        waiting + self.ordering.len()
    }

    /// Next waiting request of a class after a position.
    fn next_of_class(&self, class: usize, after: QueueKey) -> Option<QueueKey> {
        self.classes[class].range((Bound::Excluded(after), Bound::Unbounded)).next().copied()
    }
}

/// First waiting request of a class that the pass has not visited yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) class: ClassId,
    pub(crate) request: RequestId,
    key: QueueKey,
    is_late: bool,
    /// Priority weight of its class if it is late, else 0.
    priority_weight: f64,
}

/// One pass over the queues in dispatch order. Visits only the first requests of the queues, so that the cost
/// of a pass hardly depends on the number of waiting requests.
pub(crate) struct DispatchPass {
    /// Last request visited in the queue of each class; `None` once the class is closed.
    positions: Vec<Option<QueueKey>>,
}

impl DispatchPass {
    /// Pass over the queues of the given number of classes.
    pub(crate) fn new(classes: usize) -> Self {
        Self { positions: vec![Some(QueueKey::START); classes] }
    }

    /// Next request: late requests first, by descending priority weight; then in ascending order of the
    /// dispatch targets.
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

    /// Skips the remaining requests of a class: if no engine has capacity for its first one, none has for the
    /// others.
    pub(crate) fn close_class(&mut self, class: ClassId) {
        self.positions[class.0] = None;
    }
}

#[cfg(test)]
mod tests;
