//! Request records: open requests, and ended requests whose attempt is still in flight.

use crate::interface::{Arrival, AttemptNo, EngineId, RequestId};
use crate::policy::dispatch_queue::{DispatchQueue, QueueKey};
use crate::policy::resource_grants::Priority;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// A sent attempt that has not ended.
pub(crate) struct InFlightAttempt {
    /// Engine that it was sent to.
    pub(crate) engine: EngineId,
    /// Time at which it was sent.
    pub(crate) sent: Timestamp,
    /// Number within the request, from 0.
    pub(crate) number: u32,
    /// Time of the last progress report, or of sending before the first report.
    pub(crate) last_response: Timestamp,
    /// Cancelled in favour of a retry, but not ended yet.
    pub(crate) cancelled: bool,
}

impl InFlightAttempt {
    pub(crate) fn new(engine: EngineId, number: u32, now: Timestamp) -> Self {
        Self { engine, sent: now, number, last_response: now, cancelled: false }
    }
}

/// First attempt of a request that the engine may have executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// Deduplication group of the engine, if known.
    pub(crate) group: Option<u64>,
    /// Time at which it was sent.
    pub(crate) sent: Timestamp,
}

/// State kept for one request.
pub(crate) struct RequestRecord {
    /// The request as it arrived.
    pub(crate) arrival: Arrival,
    /// Time of arrival.
    pub(crate) arrived: Timestamp,
    /// Deadline of the client.
    pub(crate) deadline: Timestamp,
    /// Latest time to send the request so that it is answered within its class's latency objective.
    pub(crate) dispatch_target: Timestamp,
    /// Position in the order of arrival.
    sequence: u64,
    /// Number of attempts sent so far.
    pub(crate) attempts: u32,
    /// Attempt in flight, if any.
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Rows have begun to arrive.
    pub(crate) streaming: bool,
    /// First attempt that may have run, if any.
    pub(crate) possible_run: Option<PossibleRun>,
    /// Engine of the last attempt.
    pub(crate) last_engine: Option<EngineId>,
    /// Projected time in microseconds of an attempt that was cancelled for a suspected bad plan.
    pub(crate) bad_plan_time_us: Option<f64>,
    /// Priority of the attempts.
    pub(crate) priority: Priority,
    /// An engine has answered with an error.
    pub(crate) had_error: bool,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
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

    /// The attempt in flight, if it has this number.
    pub(crate) fn attempt(&self, number: AttemptNo) -> Option<&InFlightAttempt> {
        self.in_flight.as_ref().filter(|attempt| attempt.number == number.0)
    }

    /// The attempt in flight, if it has this number.
    pub(crate) fn attempt_mut(&mut self, number: AttemptNo) -> Option<&mut InFlightAttempt> {
        self.in_flight.as_mut().filter(|attempt| attempt.number == number.0)
    }

    /// Whether an attempt is in flight at the engine and no row has arrived yet.
    pub(crate) fn awaits_rows_from(&self, engine: EngineId) -> bool {
        !self.streaming && self.in_flight.as_ref().is_some_and(|attempt| attempt.engine == engine)
    }

    fn queue_key(&self) -> QueueKey {
        let request = self.arrival.request;
        QueueKey { target: self.dispatch_target, sequence: self.sequence, request }
    }
}

/// An attempt that has ended, and its request, which was removed from the table.
pub(crate) struct FinishedAttempt {
    pub(crate) request: RequestRecord,
    pub(crate) attempt: InFlightAttempt,
    /// Whether the request has no final answer yet.
    pub(crate) is_open: bool,
}

/// Open requests, ended requests with an attempt in flight, and the dispatch queue.
pub(crate) struct RequestTable {
    open: BTreeMap<RequestId, RequestRecord>,
    /// Ended requests with an attempt in flight, which uses its engine and blocks its ordering key until it
    /// ends.
    orphans: BTreeMap<RequestId, RequestRecord>,
    queue: DispatchQueue,
    next_sequence: u64,
}

impl RequestTable {
    /// Creates an empty table for the given number of classes.
    pub(crate) fn new(classes: usize) -> Self {
        let queue = DispatchQueue::new(classes);
        Self { open: BTreeMap::new(), orphans: BTreeMap::new(), queue, next_sequence: 0 }
    }

    /// Adds a new request to the dispatch queue, and to the queue of its ordering key if its class is
    /// executed in order.
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

    /// Whether the request is open.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestRecord> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRecord> {
        self.open.get_mut(&id)
    }

    /// Iterates over the open requests in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestRecord)> {
        self.open.iter().map(|(id, request)| (*id, request))
    }

    /// The waiting requests, in dispatch order.
    pub(crate) fn queue(&self) -> &DispatchQueue {
        &self.queue
    }

    /// Returns an open request to the dispatch queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.open.get(&id) {
            self.queue.enqueue(request.arrival.class, request.queue_key());
        }
    }

    /// Removes a request from the dispatch queue.
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

    /// Removes a request whose attempt has ended; [`Self::restore`] adds it again.
    pub(crate) fn take_attempt(&mut self, id: RequestId, number: AttemptNo) -> Option<FinishedAttempt> {
        let is_open = self.open.get(&id).is_some_and(|request| request.attempt(number).is_some());
        let requests = if is_open { &mut self.open } else { &mut self.orphans };
        requests.get(&id)?.attempt(number)?;
        let mut request = requests.remove(&id)?;
        let attempt = request.in_flight.take()?;
        Some(FinishedAttempt { request, attempt, is_open })
    }

    /// Adds a request that [`Self::take_attempt`] removed, as an open request.
    pub(crate) fn restore(&mut self, request: RequestRecord) {
        self.open.insert(request.arrival.request, request);
    }

    /// Blocks the request's ordering key until the given time, because an attempt may still run until then.
    pub(crate) fn settle_ordering_key(&mut self, request: &RequestRecord, until: Timestamp) {
        if let Some(key) = request.arrival.ordering_key {
            self.queue.block_ordering_key(key, until);
        }
    }

    /// Whether the request `id`, open or an orphan, uses the same table group as `other`.
    pub(crate) fn shares_table_group(&self, id: RequestId, other: &RequestRecord) -> bool {
        let known = self.open.get(&id).or(self.orphans.get(&id));
        known.is_some_and(|request| request.arrival.table_group == other.arrival.table_group)
    }

    /// Removes ordering keys that have no requests and are no longer blocked.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.queue.expire(now);
    }

    /// Number of entries held in memory.
    pub(crate) fn tracked(&self) -> usize {
        self.open.len() + self.orphans.len() + self.queue.tracked()
    }
}
