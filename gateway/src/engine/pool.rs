//! Which connection an attempt goes on, whatever the wire: engines by id, their connections, what is out there.

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

/// Connections to one engine at most.
const CONNECTIONS_MOST: usize = 12;
/// Ids of attempts that were given up are not used again on their connection until so long after their request's time
/// is over: an answer that crossed the KILL, or comes late, would be taken for the new attempt's.
const SPENT_FOR: Duration = Duration::from_secs(5);
/// So many of them on a connection at most; then it takes no further attempts.
const SPENT_MOST: usize = 1024;
/// The same for attempts that were answered, so long after their answer: a second copy of it may still come.
const ANSWERED_FOR: Duration = Duration::from_secs(1);
/// So many of these at most, the latest: a copy comes milliseconds later, if one does.
const ANSWERED_MOST: usize = 256;
/// With work out and nothing heard for so many times the span between notes, a connection takes no further
/// attempts: a machine that vanished says nothing on open connections, also after it is back.
const NOTES_MISSED: u32 = 3;
/// The same after an attempt there was given up, where there are no notes to be missed.
const SILENT_AFTER: Duration = Duration::from_millis(1600);
/// Closed by us this long before the engine would, so that no request crosses its close; at most a quarter of the time
/// for which it may be idle, or none would ever be used again where that is short.
const CLOSE_EARLY: Duration = Duration::from_secs(1);

/// When anything was last read from a connection; its task writes it and the pool reads it.
#[derive(Debug)]
pub struct Heard {
    start: Instant,
    micros: AtomicU64,
    suspect: AtomicBool,
}

impl Heard {
    pub(super) fn new(start: Instant) -> Self {
        Self { start, micros: AtomicU64::new(0), suspect: AtomicBool::new(false) }
    }

    /// The last sign of life, or `since` if that is later.
    fn last(&self, since: Instant) -> Instant {
        (self.start + Duration::from_micros(self.micros.load(Ordering::Relaxed))).max(since)
    }

    /// Something was read just now.
    pub fn now(&self) {
        self.micros.store(self.start.elapsed().as_micros() as u64, Ordering::Relaxed);
        self.suspect.store(false, Ordering::Relaxed);
    }
}

/// The way to a connection's task, or to the connection itself.
pub trait Handle {
    /// It is broken; nothing more can go there.
    fn closed(&self) -> bool;
}

struct Connection<C> {
    handle: C,
    peer: SocketAddr,
    /// The stay in service that it was opened in; it serves no other.
    drain_guard: DrainGuard,
    /// What is out: its id, and when the wait for it ends.
    open: HashMap<AttemptId, (Bytes, Instant)>,
    /// Ids that may not be used until then.
    spent: VecDeque<(Instant, Bytes)>,
    /// Ids that were answered then, the latest last.
    answered: VecDeque<(Instant, Bytes)>,
    heard: Arc<Heard>,
    used: Instant,
}

struct Engine<C> {
    address: Option<SocketAddr>,
    drain_guard: DrainGuard,
    connections: HashMap<u64, Connection<C>>,
}

/// All connections to all engines.
pub struct Pool<C> {
    engines: HashMap<EngineId, Engine<C>>,
    attempts: HashMap<AttemptId, (EngineId, u64)>,
    next: u64,
    sockets: Arc<Sockets>,
    connections_most: usize,
    share: f64,
    notes: Option<Duration>,
}

impl<C> Connection<C> {
    /// Is it a connection to this address, of this stay in service?
    fn serves(&self, address: Option<SocketAddr>, drain_guard: &DrainGuard) -> bool {
        address == Some(self.peer) && self.drain_guard.is_same(drain_guard)
    }

    fn idle(&self, sockets: &Sockets, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.used);
        self.open.is_empty() && idle + CLOSE_EARLY.min(sockets.keepalive / 4) >= sockets.keepalive
    }

    fn silent(&self, notes: Option<Duration>, now: Instant) -> bool {
        // Idle connections say nothing either, nor do long queries where there are no notes: what counts is
        // notes that should have come, and work that was given up unheard of.
        let quiet = now.saturating_duration_since(self.heard.last(self.used));
        let missed = notes.is_some_and(|n| quiet > n * NOTES_MISSED && !self.open.is_empty());
        let doubted = notes.map_or(SILENT_AFTER, |n| SILENT_AFTER.min(n * NOTES_MISSED));
        missed || quiet > doubted && self.heard.suspect.load(Ordering::Relaxed)
    }
}

impl<C: Handle> Connection<C> {
    fn takes(&mut self, trace: &Bytes, sockets: &Sockets, notes: Option<Duration>, now: Instant) -> bool {
        self.spent.retain(|s| s.0 > now);
        while self.answered.front().is_some_and(|a| a.0 + ANSWERED_FOR <= now) {
            self.answered.pop_front();
        }
        let mut past = self.spent.iter().chain(&self.answered).map(|s| &s.1);
        !self.handle.closed()
            && !self.idle(sockets, now)
            && !self.silent(notes, now)
            && self.open.len() < sockets.multiplex
            && self.spent.len() < SPENT_MOST
            && self.open.values().all(|o| o.0 != trace)
            && past.all(|t| t != trace)
    }
}

/// Is there room for one more, in this share of the most? One may always be had.
fn within(held: usize, most: usize, share: f64) -> bool {
    held == 0 || (held as f64) < (most as f64 * share).floor()
}

impl<C: Handle> Pool<C> {
    /// A pool with no engines and at most so many connections to all of them; `notes` is the span between two
    /// notes of what runs, if there are any.
    pub fn new(sockets: Arc<Sockets>, connections_most: usize, notes: Option<Duration>) -> Self {
        let (engines, attempts) = (HashMap::new(), HashMap::new());
        Self { engines, attempts, next: 0, sockets, connections_most, share: 1.0, notes }
    }

    /// From now on this share of the connections may be held, to each engine and to all of them.
    pub fn set_capacity_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes in where an engine listens, and its drain guard; `None` when it is gone.
    pub fn set_endpoint(&mut self, id: EngineId, target: Option<EngineAddress>) {
        let none =
            || Engine { address: None, drain_guard: DrainGuard::default(), connections: HashMap::new() };
        let engine = self.engines.entry(id).or_insert_with(none);
        let address = target.as_ref().map(|target| target.address);
        if let Some(target) = target {
            engine.drain_guard = target.drain_guard;
        }
        engine.address = address;
        // What is out on the old connections may still be answered there; new attempts go elsewhere.
        let (drain_guard, now) = (&engine.drain_guard, Instant::now());
        engine
            .connections
            .retain(|_, l| !l.open.is_empty() || l.serves(address, drain_guard) && drain_guard.is_open(now));
        if address.is_none() && engine.connections.is_empty() {
            self.engines.remove(&id);
        }
    }

    /// The connection for an attempt, opened if need be; `None` if the engine is not there or has no room.
    pub fn pick(
        &mut self,
        attempt: &AttemptRequest,
        now: Instant,
        open: impl FnOnce(SocketAddr, Arc<Heard>, &DrainGuard) -> C,
    ) -> Option<(&C, &Arc<Heard>, &DrainGuard)> {
        let all: usize = self.engines.values().map(|e| e.connections.len()).sum();
        let engine = self.engines.get_mut(&attempt.engine)?;
        let address = engine.address?;
        let (sockets, notes) = (&self.sockets, self.notes);
        // Connections with nothing out that are idle or silent are closed here: dropping the handle closes them.
        let kept = |l: &Connection<C>| !l.handle.closed() && !l.idle(sockets, now) && !l.silent(notes, now);
        engine.connections.retain(|_, l| !l.open.is_empty() || kept(l));
        let drain_guard = &engine.drain_guard;
        let usable = engine.connections.iter_mut().filter(|l| l.1.serves(Some(address), drain_guard));
        let fullest = usable.filter_map(|(n, l)| {
            l.takes(&attempt.trace_id, sockets, notes, now).then_some((l.open.len(), *n))
        });
        let number = match fullest.max() {
            Some((_, number)) => number,
            None if within(engine.connections.len(), CONNECTIONS_MOST, self.share)
                && within(all, self.connections_most, self.share) =>
            {
                let heard = Arc::new(Heard::new(now));
                let handle = open(address, heard.clone(), &engine.drain_guard);
                let (open, spent, answered) = (HashMap::new(), VecDeque::new(), VecDeque::new());
                self.next += 1;
                let drain_guard = engine.drain_guard.clone();
                let connection = Connection {
                    handle,
                    peer: address,
                    drain_guard,
                    open,
                    spent,
                    answered,
                    heard,
                    used: now,
                };
                engine.connections.insert(self.next, connection);
                self.next
            }
            None => return None,
        };
        let connection = engine.connections.get_mut(&number)?;
        if connection.open.is_empty() {
            connection.used = now;
        }
        connection.open.insert(attempt.id, (attempt.trace_id.clone(), attempt.deadline));
        self.attempts.insert(attempt.id, (attempt.engine, number));
        Some((&connection.handle, &connection.heard, &engine.drain_guard))
    }

    /// The connection that an attempt is out on.
    pub fn find(&self, key: AttemptId) -> Option<&C> {
        let (engine, number) = self.attempts.get(&key)?;
        Some(&self.engines.get(engine)?.connections.get(number)?.handle)
    }

    /// An attempt is out no more. One that was given up casts doubt on its connection until it is heard again.
    pub fn release(&mut self, key: AttemptId, given_up: bool) {
        let Some((id, number)) = self.attempts.remove(&key) else { return };
        let Some(engine) = self.engines.get_mut(&id) else { return };
        if let Some(connection) = engine.connections.get_mut(&number)
            && let Some((trace, deadline)) = connection.open.remove(&key)
        {
            let now = Instant::now();
            if given_up {
                connection.heard.suspect.store(true, Ordering::Relaxed);
                connection.spent.push_back((deadline.max(now) + SPENT_FOR, trace));
            } else {
                connection.used = now;
                connection.answered.push_back((now, trace));
                if connection.answered.len() > ANSWERED_MOST {
                    connection.answered.pop_front();
                }
            }
            if connection.open.is_empty()
                && (connection.handle.closed() || !connection.serves(engine.address, &engine.drain_guard))
            {
                engine.connections.remove(&number);
            }
        }
        if engine.address.is_none() && engine.connections.is_empty() {
            self.engines.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
