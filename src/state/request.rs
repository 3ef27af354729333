//! Requests: their state, and attempts whose request has ended.

use crate::interface::{Arrival, AttemptNo, EngineId, RequestId};
use crate::policy::dispatch_queue::{DispatchQueue, QueueKey};
use crate::policy::resource_grants::Priority;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// An attempt in flight.
pub(crate) struct InFlightAttempt {
    /// Where it runs.
    pub(crate) engine: EngineId,
    /// When it was sent.
    pub(crate) sent: Timestamp,
    /// Its number among the request's attempts, from 0.
    pub(crate) number: u32,
    /// When it was sent, or its last progress report came.
    pub(crate) last_response: Timestamp,
    /// It was cancelled for another and has not ended yet.
    pub(crate) cancelled: bool,
}

impl InFlightAttempt {
    /// An attempt that is sent now.
    pub(crate) fn new(engine: EngineId, number: u32, now: Timestamp) -> Self {
        Self { engine, sent: now, number, last_response: now, cancelled: false }
    }
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// Its deduplication group, where that is known.
    pub(crate) group: Option<u64>,
    /// When it was sent.
    pub(crate) sent: Timestamp,
}

/// What is known of a request.
pub(crate) struct RequestRecord {
    /// The request as it arrived.
    pub(crate) arrival: Arrival,
    /// When it arrived.
    pub(crate) arrived: Timestamp,
    /// Its client's deadline.
    pub(crate) deadline: Timestamp,
    /// When it must be sent to be answered within its class's objective.
    pub(crate) dispatch_target: Timestamp,
    /// Its number in the order of arrival.
    sequence: u64,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Its attempt in flight.
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Rows have begun to arrive.
    pub(crate) streaming: bool,
    /// The first attempt that may have run.
    pub(crate) possible_run: Option<PossibleRun>,
    /// Where its last attempt was sent.
    pub(crate) last_engine: Option<EngineId>,
    /// Projected time in microseconds of an attempt that was cancelled for a suspected bad plan.
    pub(crate) bad_plan_time_us: Option<f64>,
    /// Priority of its attempts.
    pub(crate) priority: Priority,
    /// An engine has answered it with an error.
    pub(crate) had_error: bool,
}

impl RequestRecord {
    /// A request that has arrived.
    pub(crate) fn new(
        arrival: Arrival,
        arrived: Timestamp,
        deadline: Timestamp,
        dispatch_target: Timestamp,
    ) -> Self {
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
            bad_plan_time_us: None,
            priority: Priority::DEFAULT,
            had_error: false,
        }
    }

    /// Its attempt in flight, if it has this number.
    pub(crate) fn attempt(&self, number: AttemptNo) -> Option<&InFlightAttempt> {
        self.in_flight.as_ref().filter(|attempt| attempt.number == number.0)
    }

    /// Its attempt in flight, if it has this number.
    pub(crate) fn attempt_mut(&mut self, number: AttemptNo) -> Option<&mut InFlightAttempt> {
        self.in_flight.as_mut().filter(|attempt| attempt.number == number.0)
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

/// An attempt that has ended, with its request taken out of the table.
pub(crate) struct EndedAttempt {
    /// Its request.
    pub(crate) request: RequestRecord,
    /// The attempt.
    pub(crate) attempt: InFlightAttempt,
    /// The request still waits for its answer.
    pub(crate) is_open: bool,
}

/// All requests.
pub(crate) struct RequestTable {
    open: BTreeMap<RequestId, RequestRecord>,
    /// Requests that have ended with an attempt in flight: it loads its engine and holds its ordering key
    /// until it ends.
    orphans: BTreeMap<RequestId, RequestRecord>,
    queue: DispatchQueue,
    next_sequence: u64,
}

impl RequestTable {
    /// No requests of so many classes.
    pub(crate) fn new(classes: usize) -> Self {
        let queue = DispatchQueue::new(classes);
        Self { open: BTreeMap::new(), orphans: BTreeMap::new(), queue, next_sequence: 0 }
    }

    /// Adds a request that has arrived to its queue, and to that of its ordering key if its class has an
    /// order.
    pub(crate) fn add(&mut self, mut request: RequestRecord, in_order: bool) {
        let id = request.arrival.request;
        request.sequence = self.next_sequence;
        self.next_sequence += 1;
        if in_order && let Some(key) = request.arrival.ordering_key {
            self.queue.add_to_ordering_queue(key, id);
        }
        self.queue.enqueue(request.arrival.class, request.queue_key());
        self.open.insert(id, request);
    }

    /// Whether a request is open.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    /// An open request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestRecord> {
        self.open.get(&id)
    }

    /// An open request.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRecord> {
        self.open.get_mut(&id)
    }

    /// The open requests, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestRecord)> {
        self.open.iter().map(|(id, request)| (*id, request))
    }

    /// The requests that wait, in the order of dispatch.
    pub(crate) fn queue(&self) -> &DispatchQueue {
        &self.queue
    }

    /// Puts a request back into its queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.open.get(&id) {
            self.queue.enqueue(request.arrival.class, request.queue_key());
        }
    }

    /// Takes a request out of its queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        if let Some(request) = self.open.get(&id) {
            self.queue.dequeue(request.arrival.class, &request.queue_key());
        }
    }

    /// Ends a request; an attempt in flight becomes an orphan.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.open.remove(&id) else { return };
        if request.in_flight.is_some() {
            self.orphans.insert(id, request);
        } else if let Some(key) = request.arrival.ordering_key {
            self.queue.remove_from_ordering_queue(key, id);
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

    /// An attempt of a request may still run until then: nothing of its ordering key follows before.
    pub(crate) fn settle_ordering_key(&mut self, request: &RequestRecord, until: Timestamp) {
        if let Some(key) = request.arrival.ordering_key {
            self.queue.block_ordering_key(key, until);
        }
    }

    /// Whether two requests, each open or an orphan, use the same table group.
    pub(crate) fn shares_table_group(&self, id: RequestId, other: &RequestRecord) -> bool {
        let known = self.open.get(&id).or(self.orphans.get(&id));
        known.is_some_and(|request| request.arrival.table_group == other.arrival.table_group)
    }

    /// Forgets ordering keys with nothing left to wait for.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.queue.expire(now);
    }

    /// Number of things remembered.
    pub(crate) fn tracked(&self) -> usize {
        self.open.len() + self.orphans.len() + self.queue.tracked()
    }
}
