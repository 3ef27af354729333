//! Requests: their state, the queues of each class, ordering keys, and attempts whose request has ended.

use crate::interface::{Arrival, AttemptNo, ClassId, EngineId, KeyId, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

/// Priority of a request's attempts until another is granted.
const DEFAULT_PRIORITY: u8 = 1;

/// Place of a waiting request in its class's queue: by dispatch target, then in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) target: i64,
    pub(crate) sequence: u64,
    pub(crate) request: RequestId,
}

impl QueueKey {
    /// Before every request.
    pub(crate) const START: Self = Self { target: i64::MIN, sequence: 0, request: RequestId(0) };
}

/// An attempt in flight.
pub(crate) struct InFlightAttempt {
    pub(crate) engine: EngineId,
    pub(crate) sent: i64,
    pub(crate) number: u32,
    /// When it was sent, or its last progress report came.
    pub(crate) last_response: i64,
    pub(crate) cancelled: bool,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// Its deduplication group, where that is known.
    pub(crate) group: Option<u64>,
    pub(crate) sent: i64,
}

/// What is known of a request.
pub(crate) struct RequestRecord {
    pub(crate) arrival: Arrival,
    pub(crate) arrived: i64,
    pub(crate) deadline: i64,
    /// When it must be sent to be answered within its class's objective.
    pub(crate) dispatch_target: i64,
    pub(crate) sequence: u64,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    pub(crate) streaming: bool,
    pub(crate) possible_run: Option<PossibleRun>,
    pub(crate) last_engine: Option<EngineId>,
    /// Projected time of an attempt that was cancelled for a suspected bad plan.
    pub(crate) bad_plan_time: Option<f64>,
    pub(crate) priority: u8,
    /// An engine has answered it with an error.
    pub(crate) had_error: bool,
}

impl RequestRecord {
    pub(crate) fn new(arrival: Arrival, arrived: i64, deadline: i64, dispatch_target: i64) -> Self {
        Self {
            arrival,
            arrived,
            deadline,
            dispatch_target,
            sequence: 0,
            attempts: 0,
            in_flight: None,
            streaming: false,
            possible_run: None,
            last_engine: None,
            bad_plan_time: None,
            priority: DEFAULT_PRIORITY,
            had_error: false,
        }
    }

    /// Its attempt in flight, if it has this number.
    pub(crate) fn attempt(&self, number: AttemptNo) -> Option<&InFlightAttempt> {
        self.in_flight.as_ref().filter(|attempt| attempt.number == number.0)
    }

    /// Whether it waits for an engine, with no row received yet.
    pub(crate) fn waits_for(&self, engine: EngineId) -> bool {
        !self.streaming && self.in_flight.as_ref().is_some_and(|attempt| attempt.engine == engine)
    }

    fn queue_key(&self) -> QueueKey {
        let request = self.arrival.request;
        QueueKey { target: self.dispatch_target, sequence: self.sequence, request }
    }
}

/// The requests of one ordering key.
#[derive(Default)]
pub(crate) struct OrderingQueue {
    requests: VecDeque<RequestId>,
    /// An attempt may still run until then.
    settles_at: i64,
}

impl OrderingQueue {
    /// Whether a request comes first.
    pub(crate) fn is_first(&self, request: RequestId) -> bool {
        self.requests.front() == Some(&request)
    }

    /// Whether no attempt before may still run.
    pub(crate) fn is_settled(&self, now: i64) -> bool {
        self.settles_at <= now
    }
}

/// An attempt that has ended, with its request taken out of the table.
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestRecord,
    pub(crate) attempt: InFlightAttempt,
    /// The request still waits for its answer.
    pub(crate) is_open: bool,
}

/// All requests.
pub(crate) struct RequestTable {
    open: BTreeMap<RequestId, RequestRecord>,
    /// Requests that have ended with an attempt in flight: it loads its engine and holds its ordering key until it ends.
    orphans: BTreeMap<RequestId, RequestRecord>,
    /// For each class the requests that wait to be sent.
    queues: Vec<BTreeSet<QueueKey>>,
    ordering: BTreeMap<KeyId, OrderingQueue>,
    next_sequence: u64,
}

impl RequestTable {
    pub(crate) fn new(classes: usize) -> Self {
        Self {
            open: BTreeMap::new(),
            orphans: BTreeMap::new(),
            queues: vec![BTreeSet::new(); classes],
            ordering: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds a request that has arrived to its queue, and to that of its ordering key if its class has an order.
    pub(crate) fn add(&mut self, mut request: RequestRecord, in_order: bool) {
        let id = request.arrival.request;
        request.sequence = self.next_sequence;
        self.next_sequence += 1;
        if in_order && let Some(key) = request.arrival.ordering_key {
            self.ordering.entry(key).or_default().requests.push_back(id);
        }
        self.queues[request.arrival.class.0].insert(request.queue_key());
        self.open.insert(id, request);
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestRecord> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRecord> {
        self.open.get_mut(&id)
    }

    /// The open requests, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestRecord)> {
        self.open.iter().map(|(id, request)| (*id, request))
    }

    /// The next waiting request of a class.
    pub(crate) fn next_waiting(&self, class: usize, after: QueueKey) -> Option<QueueKey> {
        self.queues[class].range((Bound::Excluded(after), Bound::Unbounded)).next().copied()
    }

    /// Puts a request back into its queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.open.get(&id) {
            self.queues[request.arrival.class.0].insert(request.queue_key());
        }
    }

    /// Takes a request out of its queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        if let Some(request) = self.open.get(&id) {
            self.queues[request.arrival.class.0].remove(&request.queue_key());
        }
    }

    /// Ends a request; an attempt in flight becomes an orphan.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.open.remove(&id) else { return };
        if request.in_flight.is_some() {
            self.orphans.insert(id, request);
        } else if let Some(key) = request.arrival.ordering_key.and_then(|key| self.ordering.get_mut(&key)) {
            key.requests.retain(|waiting| *waiting != id);
        }
    }

    /// Takes out a request whose attempt has ended; [`Self::restore`] puts it back.
    pub(crate) fn take_attempt(&mut self, id: RequestId, number: AttemptNo) -> Option<EndedAttempt> {
        let is_open = self.open.get(&id).is_some_and(|request| request.attempt(number).is_some());
        let requests = if is_open { &mut self.open } else { &mut self.orphans };
        requests.get(&id)?.attempt(number)?;
        let mut request = requests.remove(&id)?;
        let attempt = request.in_flight.take()?;
        Some(EndedAttempt { request, attempt, is_open })
    }

    /// Puts back a request that was taken out.
    pub(crate) fn restore(&mut self, request: RequestRecord) {
        self.open.insert(request.arrival.request, request);
    }

    /// The requests of a request's ordering key.
    pub(crate) fn ordering_queue(&self, request: &RequestRecord) -> Option<&OrderingQueue> {
        self.ordering.get(&request.arrival.ordering_key?)
    }

    /// An attempt of a request may still run until then: nothing of its ordering key follows before.
    pub(crate) fn settle_ordering_key(&mut self, request: &RequestRecord, until: i64) {
        if let Some(key) = request.arrival.ordering_key.and_then(|key| self.ordering.get_mut(&key)) {
            key.settles_at = until;
        }
    }

    /// Whether two requests, each open or an orphan, use the same table group.
    pub(crate) fn shares_table_group(&self, id: RequestId, other: &RequestRecord) -> bool {
        let known = self.open.get(&id).or(self.orphans.get(&id));
        known.is_some_and(|request| request.arrival.table_group == other.arrival.table_group)
    }

    /// Forgets ordering keys with nothing left to wait for.
    pub(crate) fn expire_ordering_keys(&mut self, now: i64) {
        self.ordering.retain(|_, key| !key.requests.is_empty() || !key.is_settled(now));
    }

    /// Number of things remembered.
    pub(crate) fn tracked(&self) -> usize {
        let waiting: usize = self.queues.iter().map(BTreeSet::len).sum();
        self.open.len() + self.orphans.len() + waiting + self.ordering.len()
    }

    /// Class of an open request.
    pub(crate) fn class_of(&self, id: RequestId) -> Option<ClassId> {
        self.open.get(&id).map(|request| request.arrival.class)
    }
}
