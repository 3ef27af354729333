//! The limit on client sessions and the choice of the session that is evicted when it is reached. File descriptors are
//! scarce, and some clients connect and send nothing, or send one request and never disconnect. When no slot is free, the
//! session that has been inactive longest is evicted.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of the slots that unproven sessions may hold.
const UNPROVEN_SHARE: f64 = 0.25;
/// How far the sessions may exceed the limit while evicted ones are still closing.
const MAX_EXCESS_SESSIONS: usize = 8;
/// Statements up to this size do not count towards the memory that all sessions share. Hundreds of sessions with one each
/// take less than a megabyte.
pub const SMALL_STATEMENT_BYTES: usize = 1024;

/// The state of a session, which decides whether it may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionState {
    /// Since this time the client has not completed its login, its first request or a later message.
    Unproven(Instant),
    /// The client has sent nothing since this time.
    Idle(Instant),
    /// A command is being executed. The session can't be evicted.
    Busy,
}

#[derive(Debug)]
struct Session {
    state: SessionState,
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct SlotTable {
    sessions: HashMap<u32, Session>,
    /// Sessions that can be evicted and have not been, ordered by the start of their inactivity.
    unproven: BTreeSet<(Instant, u32)>,
    idle: BTreeSet<(Instant, u32)>,
    /// Memory reserved for large statements.
    statement_bytes: usize,
    max_sessions: usize,
    counts: SlotCounts,
}

/// Counts of refused and evicted sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Sessions refused because none could be evicted for them.
    pub refused: u64,
    /// Sessions evicted to free their slots.
    pub evicted: u64,
}

/// The slots of all sessions.
#[derive(Debug)]
pub struct SessionSlots {
    max_statement_bytes: usize,
    table: Mutex<SlotTable>,
}

/// The slot of one session, which is released on drop.
#[derive(Debug)]
pub struct SessionSlot {
    slots: Arc<SessionSlots>,
    id: u32,
    /// Notified when the session is evicted.
    pub evicted: Arc<Notify>,
}

/// Memory reserved for a statement or for bytes sent ahead, which is released on drop.
#[derive(Debug)]
pub struct StatementMemory {
    slots: Arc<SessionSlots>,
    bytes: usize,
}

impl SlotTable {
    fn set_state(&mut self, id: u32, state: SessionState) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        match std::mem::replace(&mut session.state, state) {
            SessionState::Unproven(since) => self.unproven.remove(&(since, id)),
            SessionState::Idle(since) => self.idle.remove(&(since, id)),
            SessionState::Busy => false,
        };
        match state {
            SessionState::Unproven(since) => self.unproven.insert((since, id)),
            SessionState::Idle(since) => self.idle.insert((since, id)),
            SessionState::Busy => false,
        };
    }

    /// Evicts the session that has been inactive longest and returns whether there was one. Idle sessions are evicted
    /// before unproven ones, unless `unproven_first` is set.
    fn evict_one(&mut self, unproven_first: bool) -> bool {
        let from_unproven = !self.unproven.is_empty() && (unproven_first || self.idle.is_empty());
        let candidates = if from_unproven { &mut self.unproven } else { &mut self.idle };
        let Some((_, id)) = candidates.pop_first() else { return false };
        self.counts.evicted += 1;
        if let Some(session) = self.sessions.get(&id) {
            session.evicted.notify_one();
        }
        true
    }

    /// Number of evicted sessions that have not ended yet. These are in neither queue.
    fn evicted_open(&self) -> usize {
        let not_busy = self.sessions.values().filter(|session| session.state != SessionState::Busy);
        not_busy.count() - self.unproven.len() - self.idle.len()
    }
}

impl SessionSlots {
    /// Creates `max_sessions` slots, whose large statements may use `max_statement_bytes` of memory in total.
    pub fn new(max_sessions: usize, max_statement_bytes: usize) -> Self {
        Self { max_statement_bytes, table: Mutex::new(SlotTable { max_sessions, ..SlotTable::default() }) }
    }

    fn lock(&self) -> MutexGuard<'_, SlotTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires a slot for a new session and evicts another session if necessary. Returns `None` if no session can be
    /// evicted or too many evicted ones are still closing.
    pub fn acquire(self: &Arc<Self>, id: u32, now: Instant) -> Option<SessionSlot> {
        let mut table = self.lock();
        let too_many_unproven = table.unproven.len() as f64 >= table.max_sessions as f64 * UNPROVEN_SHARE;
        let is_free = table.sessions.len() < table.max_sessions && !too_many_unproven;
        let is_full = table.sessions.len() >= table.max_sessions + MAX_EXCESS_SESSIONS;
        if !is_free && (is_full || !table.evict_one(too_many_unproven)) {
            table.counts.refused += 1;
            return None;
        }
        let evicted = Arc::new(Notify::new());
        table.sessions.insert(id, Session { state: SessionState::Busy, evicted: evicted.clone() });
        table.set_state(id, SessionState::Unproven(now));
        Some(SessionSlot { slots: self.clone(), id, evicted })
    }

    /// Sets the number of slots. If there are more sessions, inactive ones are evicted; busy ones stay.
    pub fn resize(&self, max_sessions: usize) {
        let mut table = self.lock();
        table.max_sessions = max_sessions;
        while table.sessions.len() > max_sessions + table.evicted_open() && table.evict_one(true) {}
    }

    /// Returns the counts of refused and evicted sessions.
    pub fn counts(&self) -> SlotCounts {
        self.lock().counts
    }
}

impl SessionSlot {
    /// Sets the state of the session.
    pub fn set_state(&self, state: SessionState) {
        self.slots.lock().set_state(self.id, state);
    }

    /// Reserves memory for a statement, or for bytes sent ahead, of this size. Returns `None` if other large statements leave too little.
    pub fn reserve(&self, size: usize) -> Option<StatementMemory> {
        let bytes = if size > SMALL_STATEMENT_BYTES { size } else { 0 };
        let mut table = self.slots.lock();
        if table.statement_bytes + bytes > self.slots.max_statement_bytes {
            return None;
        }
        table.statement_bytes += bytes;
        Some(StatementMemory { slots: self.slots.clone(), bytes })
    }
}

impl Drop for SessionSlot {
    fn drop(&mut self) {
        let mut table = self.slots.lock();
        table.set_state(self.id, SessionState::Busy);
        table.sessions.remove(&self.id);
    }
}

impl StatementMemory {
    /// The bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for StatementMemory {
    fn drop(&mut self) {
        self.slots.lock().statement_bytes -= self.bytes;
    }
}

#[cfg(test)]
mod tests;
