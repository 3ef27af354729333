//! Connection pool for engines, independent of the protocol: chooses a connection for each attempt and tracks the
//! attempts in flight on every connection.

use crate::drain_guard::DrainGuard;
use crate::message::{AttemptId, AttemptRequest, EngineAddress};
use bytes::Bytes;
use reedwalk_scheduler::EngineId;
use reedwalk_settings::Sockets;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

const MAX_CONNECTIONS_PER_ENGINE: usize = 12;
/// How long after the request's deadline the trace id of a cancelled attempt stays blocked on its connection. Otherwise
/// a response that crosses the cancellation, or arrives late, would be taken for that of a new attempt with this id.
const CANCELLED_ID_TTL: Duration = Duration::from_secs(5);
/// Maximum number of blocked ids of cancelled attempts per connection; at this number the connection accepts no further
/// attempts.
const MAX_CANCELLED_IDS: usize = 1024;
/// How long after its response the trace id of an attempt stays blocked on its connection: the engine may still send a
/// duplicate of the response.
const ANSWERED_ID_TTL: Duration = Duration::from_secs(1);
/// Maximum number of ids of answered attempts that a connection keeps. The oldest are dropped first; duplicates arrive
/// within milliseconds, if at all.
const MAX_ANSWERED_IDS: usize = 256;
/// A connection with attempts in flight accepts no further attempts once nothing was read from it for this many report
/// intervals: after a host failure its open connections stay silent, even when the host is up again.
const MAX_MISSED_REPORTS: u32 = 3;
/// How long nothing may be read from a connection after an attempt on it was cancelled, at most
/// [`MAX_MISSED_REPORTS`] report intervals where the engine sends progress reports.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1600);
/// How long before the engine's idle timeout an idle connection is closed here, so that no attempt is sent while the
/// engine closes it. Limited to a quarter of the idle timeout, so that connections can be reused where it is short.
const EARLY_CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Time of the last read from a connection, written by the connection's task and read by the pool.
#[derive(Debug)]
pub struct ReadActivity {
    start: Instant,
    /// Microseconds from `start` to the last read.
    last_read_us: AtomicU64,
    /// Whether an attempt was cancelled on the connection and nothing was read since.
    suspect: AtomicBool,
}

impl ReadActivity {
    pub(super) fn new(start: Instant) -> Self {
        Self { start, last_read_us: AtomicU64::new(0), suspect: AtomicBool::new(false) }
    }

    /// Time of the last read, or `since` if that is later.
    fn last_read(&self, since: Instant) -> Instant {
        let last_read = self.start + Duration::from_micros(self.last_read_us.load(Ordering::Relaxed));
        last_read.max(since)
    }

    /// Records that something was read now.
    pub fn record_read(&self) {
        self.last_read_us.store(self.start.elapsed().as_micros() as u64, Ordering::Relaxed);
        self.suspect.store(false, Ordering::Relaxed);
    }

    fn mark_suspect(&self) {
        self.suspect.store(true, Ordering::Relaxed);
    }

    fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::Relaxed)
    }
}

/// What a transport uses to send on a connection: the command queue of the connection's task, or the connection itself.
pub trait ConnectionHandle {
    /// Whether the connection is closed and can't be used any more.
    fn is_closed(&self) -> bool;
}

/// An attempt in flight on a connection.
struct InFlightAttempt {
    trace_id: Bytes,
    deadline: Instant,
}

struct Connection<C> {
    handle: C,
    peer: SocketAddr,
    /// Drain guard of the engine's incarnation when the connection was opened; it is not used for later incarnations.
    drain_guard: DrainGuard,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    /// Trace ids of cancelled attempts, each with the time from which it may be used again.
    cancelled_ids: VecDeque<(Instant, Bytes)>,
    /// Trace ids of answered attempts, each with the time of the response, in order of that time.
    answered_ids: VecDeque<(Instant, Bytes)>,
    read_activity: Arc<ReadActivity>,
    last_used: Instant,
}

/// Endpoint of one engine and the connections to it.
struct Engine<C> {
    /// `None` after the engine was removed.
    address: Option<SocketAddr>,
    drain_guard: DrainGuard,
    connections: HashMap<u64, Connection<C>>,
}

/// Connection pool for all engines.
pub struct Pool<C> {
    engines: HashMap<EngineId, Engine<C>>,
    /// Engine and connection id of each attempt in flight.
    attempts: HashMap<AttemptId, (EngineId, u64)>,
    last_connection_id: u64,
    sockets: Arc<Sockets>,
    max_connections: usize,
    capacity_share: f64,
    /// Interval of the engines' progress reports; `None` if they send none.
    report_interval: Option<Duration>,
}

impl<C> Connection<C> {
    fn new(
        handle: C,
        peer: SocketAddr,
        drain_guard: DrainGuard,
        read_activity: Arc<ReadActivity>,
        now: Instant,
    ) -> Self {
        Self {
            handle,
            peer,
            drain_guard,
            in_flight: HashMap::new(),
            cancelled_ids: VecDeque::new(),
            answered_ids: VecDeque::new(),
            read_activity,
            last_used: now,
        }
    }

    /// Whether it was opened to this address and for the engine incarnation of this drain guard.
    fn belongs_to(&self, address: Option<SocketAddr>, drain_guard: &DrainGuard) -> bool {
        address == Some(self.peer) && self.drain_guard.is_same(drain_guard)
    }

    fn is_idle_too_long(&self, sockets: &Sockets, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_used);
        let margin = EARLY_CLOSE_MARGIN.min(sockets.idle_timeout / 4);
        self.in_flight.is_empty() && idle + margin >= sockets.idle_timeout
    }

    /// Whether expected progress reports are missing, or nothing was read for too long since an attempt was cancelled.
    /// Silence of an idle connection doesn't count, nor during a long query where the engine sends no progress reports.
    fn is_silent(&self, report_interval: Option<Duration>, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.read_activity.last_read(self.last_used));
        let report_timeout = report_interval.map(|interval| interval * MAX_MISSED_REPORTS);
        let missed_reports =
            report_timeout.is_some_and(|timeout| silence > timeout) && !self.in_flight.is_empty();
        let suspect_timeout = report_timeout.map_or(SILENCE_TIMEOUT, |timeout| SILENCE_TIMEOUT.min(timeout));
        missed_reports || silence > suspect_timeout && self.read_activity.is_suspect()
    }

    fn remove_expired_ids(&mut self, now: Instant) {
        self.cancelled_ids.retain(|(usable_from, _)| *usable_from > now);
        while self.answered_ids.front().is_some_and(|(answered_at, _)| *answered_at + ANSWERED_ID_TTL <= now)
        {
            self.answered_ids.pop_front();
        }
    }

    /// Whether a response with this trace id is pending, or a late or duplicate one may still arrive.
    fn is_id_in_use(&self, trace_id: &Bytes) -> bool {
        let recent = self.cancelled_ids.iter().chain(&self.answered_ids);
        recent.map(|(_, id)| id).any(|id| id == trace_id)
            || self.in_flight.values().any(|attempt| attempt.trace_id == trace_id)
    }

    fn record_cancelled(&mut self, attempt: InFlightAttempt, now: Instant) {
        self.read_activity.mark_suspect();
        self.cancelled_ids.push_back((attempt.deadline.max(now) + CANCELLED_ID_TTL, attempt.trace_id));
    }

    fn record_answered(&mut self, attempt: InFlightAttempt, now: Instant) {
        self.last_used = now;
        self.answered_ids.push_back((now, attempt.trace_id));
        if self.answered_ids.len() > MAX_ANSWERED_IDS {
            self.answered_ids.pop_front();
        }
    }
}

impl<C: ConnectionHandle> Connection<C> {
    fn is_usable(&self, sockets: &Sockets, report_interval: Option<Duration>, now: Instant) -> bool {
        !self.handle.is_closed()
            && !self.is_idle_too_long(sockets, now)
            && !self.is_silent(report_interval, now)
    }

    /// Whether an attempt with this trace id may be sent on the connection.
    fn accepts(
        &mut self,
        trace_id: &Bytes,
        sockets: &Sockets,
        report_interval: Option<Duration>,
        now: Instant,
    ) -> bool {
        self.remove_expired_ids(now);
        self.is_usable(sockets, report_interval, now)
            && self.in_flight.len() < sockets.max_attempts_per_connection
            && self.cancelled_ids.len() < MAX_CANCELLED_IDS
            && !self.is_id_in_use(trace_id)
    }
}

impl<C> Engine<C> {
    fn new() -> Self {
        Self { address: None, drain_guard: DrainGuard::default(), connections: HashMap::new() }
    }

    /// Whether the engine was removed and has no connection left.
    fn is_removable(&self) -> bool {
        self.address.is_none() && self.connections.is_empty()
    }
}

impl<C: ConnectionHandle> Engine<C> {
    /// Among the connections that accept one more attempt, the one with the most attempts in flight.
    fn busiest_available(
        &mut self,
        trace_id: &Bytes,
        sockets: &Sockets,
        report_interval: Option<Duration>,
        now: Instant,
    ) -> Option<u64> {
        let (address, drain_guard) = (self.address, &self.drain_guard);
        let current = self.connections.iter_mut().filter(|(_, c)| c.belongs_to(address, drain_guard));
        let available = current.filter_map(|(id, connection)| {
            let accepts = connection.accepts(trace_id, sockets, report_interval, now);
            accepts.then_some((connection.in_flight.len(), *id))
        });
        available.max().map(|(_, id)| id)
    }
}

/// Whether one more connection fits into this share of the maximum. The first connection always does.
fn is_below_limit(connections: usize, max: usize, share: f64) -> bool {
    connections == 0 || (connections as f64) < (max as f64 * share).floor()
}

impl<C: ConnectionHandle> Pool<C> {
    /// Creates a pool without engines. `max_connections` limits the connections to all engines together;
    /// `report_interval` is the interval of the engines' progress reports, if they send any.
    pub fn new(sockets: Arc<Sockets>, max_connections: usize, report_interval: Option<Duration>) -> Self {
        Self {
            engines: HashMap::new(),
            attempts: HashMap::new(),
            last_connection_id: 0,
            sockets,
            max_connections,
            capacity_share: 1.0,
            report_interval,
        }
    }

    /// Sets the share of the connection limits, per engine and in total, that this pool may use.
    pub fn set_capacity_share(&mut self, share: f64) {
        self.capacity_share = share;
    }

    /// Sets an engine's address and drain guard; `None` removes the engine.
    pub fn set_endpoint(&mut self, id: EngineId, target: Option<EngineAddress>) {
        let engine = self.engines.entry(id).or_insert_with(Engine::new);
        engine.address = target.as_ref().map(|target| target.address);
        if let Some(target) = target {
            engine.drain_guard = target.drain_guard;
        }
        // Connections to the previous endpoint stay open while responses are pending, but get no new attempts.
        let (address, drain_guard, now) = (engine.address, &engine.drain_guard, Instant::now());
        engine.connections.retain(|_, connection| {
            !connection.in_flight.is_empty()
                || connection.belongs_to(address, drain_guard) && drain_guard.is_open(now)
        });
        if engine.is_removable() {
            self.engines.remove(&id);
        }
    }

    /// Returns a connection for an attempt, opening one if necessary; `None` if the engine was removed, or if no
    /// connection accepts the attempt and none may be opened.
    pub fn acquire(
        &mut self,
        attempt: &AttemptRequest,
        now: Instant,
        open: impl FnOnce(SocketAddr, Arc<ReadActivity>, &DrainGuard) -> C,
    ) -> Option<(&C, &Arc<ReadActivity>, &DrainGuard)> {
        let total: usize = self.engines.values().map(|engine| engine.connections.len()).sum();
        let below_total_limit = is_below_limit(total, self.max_connections, self.capacity_share);
        let (sockets, report_interval) = (&self.sockets, self.report_interval);
        let engine = self.engines.get_mut(&attempt.engine)?;
        let address = engine.address?;
        // Dropping its handle closes a connection.
        engine.connections.retain(|_, connection| {
            !connection.in_flight.is_empty() || connection.is_usable(sockets, report_interval, now)
        });
        let existing = engine.busiest_available(&attempt.trace_id, sockets, report_interval, now);
        let connection_id = match existing {
            Some(connection_id) => connection_id,
            None => {
                let to_engine = engine.connections.len();
                if !below_total_limit
                    || !is_below_limit(to_engine, MAX_CONNECTIONS_PER_ENGINE, self.capacity_share)
                {
                    return None;
                }
                let read_activity = Arc::new(ReadActivity::new(now));
                let drain_guard = engine.drain_guard.clone();
                let handle = open(address, read_activity.clone(), &drain_guard);
                self.last_connection_id += 1;
                let connection = Connection::new(handle, address, drain_guard, read_activity, now);
                engine.connections.insert(self.last_connection_id, connection);
                self.last_connection_id
            }
        };
        let connection = engine.connections.get_mut(&connection_id)?;
        if connection.in_flight.is_empty() {
            connection.last_used = now;
        }
        let in_flight = InFlightAttempt { trace_id: attempt.trace_id.clone(), deadline: attempt.deadline };
        connection.in_flight.insert(attempt.id, in_flight);
        self.attempts.insert(attempt.id, (attempt.engine, connection_id));
        Some((&connection.handle, &connection.read_activity, &engine.drain_guard))
    }

    /// Handle of the connection on which an attempt is in flight.
    pub fn find(&self, id: AttemptId) -> Option<&C> {
        let (engine, connection_id) = self.attempts.get(&id)?;
        Some(&self.engines.get(engine)?.connections.get(connection_id)?.handle)
    }

    /// Removes an attempt that is no longer in flight. Cancelling one marks its connection as suspect until the next
    /// read from it.
    pub fn release(&mut self, id: AttemptId, cancelled: bool) {
        let Some((engine_id, connection_id)) = self.attempts.remove(&id) else { return };
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        if let Some(connection) = engine.connections.get_mut(&connection_id)
            && let Some(attempt) = connection.in_flight.remove(&id)
        {
            let now = Instant::now();
            if cancelled {
                connection.record_cancelled(attempt, now);
            } else {
                connection.record_answered(attempt, now);
            }
            let usable =
                !connection.handle.is_closed() && connection.belongs_to(engine.address, &engine.drain_guard);
            if connection.in_flight.is_empty() && !usable {
                engine.connections.remove(&connection_id);
            }
        }
        if engine.is_removable() {
            self.engines.remove(&engine_id);
        }
    }
}

#[cfg(test)]
mod tests;
