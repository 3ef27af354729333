//! Who holds a session's place, and who gives it up. Descriptors are few, and some clients connect and say
//! nothing, or ask once and stay for good: when places run out, who has been silent longest makes room.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of the places that may be held by those who have not logged in.
const STRANGERS_SHARE: f64 = 0.25;
/// Sessions told to make room may still be there while newcomers take theirs: so many at most.
const OVERLAP_MOST: usize = 8;
/// Statements up to this size need no part of the memory that all sessions share.
const SMALL: usize = 8 * 1024;

/// What a session is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has not logged in since then.
    Stranger(Instant),
    /// It has asked for nothing since then.
    Idle(Instant),
    /// Its request is here, wholly or in part.
    Busy,
}

#[derive(Debug)]
struct Held {
    stage: Stage,
    leave: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Table {
    held: HashMap<u32, Held>,
    /// Those who could make room, by how long they have been silent; never one that was told to.
    strangers: BTreeSet<(Instant, u32)>,
    idle: BTreeSet<(Instant, u32)>,
    bytes: usize,
    most: usize,
    counts: Counts,
}

/// What has become of those who came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Turned away: all places are held by requests.
    pub refused: u64,
    /// Evicted in favour of others.
    pub evicted: u64,
}

/// All places.
#[derive(Debug)]
pub struct Places {
    bytes_most: usize,
    table: Mutex<Table>,
}

/// One session's place, until it is dropped.
#[derive(Debug)]
pub struct Place {
    places: Arc<Places>,
    id: u32,
    /// Told when it is to make room.
    pub leave: Arc<Notify>,
}

/// A part of the memory for large statements, until it is dropped.
#[derive(Debug)]
pub struct Room {
    places: Arc<Places>,
    bytes: usize,
}

impl Table {
    /// Changes a session's stage; the line it waits in goes by that.
    fn stage(&mut self, id: u32, stage: Stage) {
        let Some(held) = self.held.get_mut(&id) else { return };
        match std::mem::replace(&mut held.stage, stage) {
            Stage::Stranger(since) => self.strangers.remove(&(since, id)),
            Stage::Idle(since) => self.idle.remove(&(since, id)),
            Stage::Busy => false,
        };
        match stage {
            Stage::Stranger(since) => self.strangers.insert((since, id)),
            Stage::Idle(since) => self.idle.insert((since, id)),
            Stage::Busy => false,
        };
    }

    /// Tells whoever has been silent longest to leave: a stranger, else one that asks for nothing.
    fn make_room(&mut self, strangers_first: bool) -> bool {
        let stranger = self.strangers.first().copied();
        let idle = self.idle.first().copied();
        let (id, line) = match (stranger, idle) {
            (Some(s), _) if strangers_first => (s.1, &mut self.strangers),
            (_, Some(i)) => (i.1, &mut self.idle),
            (Some(s), None) => (s.1, &mut self.strangers),
            (None, None) => return false,
        };
        line.pop_first();
        self.counts.evicted += 1;
        if let Some(held) = self.held.get(&id) {
            held.leave.notify_one();
        }
        true
    }
}

impl Places {
    /// So many places, and so many bytes of large statements in all of them together.
    pub fn new(most: usize, bytes_most: usize) -> Self {
        Self { bytes_most, table: Mutex::new(Table { most, ..Table::default() }) }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a newcomer, if need be that of another; none where all others are busy.
    pub fn enter(self: &Arc<Self>, id: u32, now: Instant) -> Option<Place> {
        let mut table = self.table();
        let crowded = table.strangers.len() as f64 >= table.most as f64 * STRANGERS_SHARE;
        let free = table.held.len() < table.most && !crowded;
        if !free && (table.held.len() >= table.most + OVERLAP_MOST || !table.make_room(crowded)) {
            table.counts.refused += 1;
            return None;
        }
        let leave = Arc::new(Notify::new());
        table.held.insert(id, Held { stage: Stage::Busy, leave: leave.clone() });
        table.stage(id, Stage::Stranger(now));
        Some(Place { places: self.clone(), id, leave })
    }

    /// So many places from now on: who has been silent longest makes room where that is fewer, and requests never.
    pub fn resize(&self, most: usize) {
        let mut table = self.table();
        table.most = most;
        // Those told before are still held, and in neither line.
        let told = |t: &Table| {
            t.held.values().filter(|h| h.stage != Stage::Busy).count() - t.strangers.len() - t.idle.len()
        };
        while table.held.len() > most + told(&table) && table.make_room(true) {}
    }

    /// Counts of what has become of those who came.
    pub fn counts(&self) -> Counts {
        self.table().counts
    }
}

impl Place {
    /// Says what the session does now.
    pub fn stage(&self, stage: Stage) {
        self.places.table().stage(self.id, stage);
    }

    /// Room for a statement of that size; none where large statements of others take it all.
    pub fn room(&self, size: usize) -> Option<Room> {
        let bytes = if size > SMALL { size } else { 0 };
        let mut table = self.places.table();
        if table.bytes + bytes > self.places.bytes_most {
            return None;
        }
        table.bytes += bytes;
        Some(Room { places: self.places.clone(), bytes })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.places.table();
        table.stage(self.id, Stage::Busy);
        table.held.remove(&self.id);
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.places.table().bytes -= self.bytes;
    }
}

#[cfg(test)]
mod tests;
