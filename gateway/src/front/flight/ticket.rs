//! Tickets, which keep a statement between its `GetFlightInfo` call and the single `DoGet` call that executes it.

use super::header::Header;
use crate::request_memory::MemoryReservation;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Limit on the unused tickets.
const MAX_TICKETS: usize = 1024;
/// Lifetime of a ticket.
const TICKET_TTL: Duration = Duration::from_secs(60);

/// Identifies a ticket. The client returns it in `DoGet`. It is drawn at random, so that no client can guess the ticket of
/// another, and no other process of the gateway, before, beside or after this one, issues the same.
type TicketHandle = [u8; 16];

/// Number of a connection, by which the tickets that it was issued are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// A statement and its request fields.
#[derive(Debug)]
pub struct Statement {
    pub header: Header,
    pub text: String,
    /// The memory that it holds until it has been executed.
    pub memory: MemoryReservation,
}

#[derive(Debug)]
struct Ticket {
    statement: Statement,
    owner: ConnectionNumber,
    /// Position in the order of issue.
    sequence: u64,
}

/// The unused tickets that one connection was issued.
#[derive(Debug, Default)]
struct OwnedTickets {
    /// Handles in the order of issue.
    handles: BTreeMap<u64, TicketHandle>,
    bytes: usize,
}

#[derive(Debug, Default)]
struct TicketTable {
    by_handle: HashMap<TicketHandle, Ticket>,
    by_owner: HashMap<ConnectionNumber, OwnedTickets>,
    /// Expiry times and handles in the order of issue.
    by_sequence: BTreeMap<u64, (Instant, TicketHandle)>,
    next_sequence: u64,
    bytes: usize,
}

impl TicketTable {
    fn remove(&mut self, handle: &TicketHandle) -> Option<Statement> {
        let Ticket { statement, owner, sequence } = self.by_handle.remove(handle)?;
        let bytes = statement.memory.bytes();
        self.by_sequence.remove(&sequence);
        self.bytes -= bytes;
        if let Some(owned) = self.by_owner.get_mut(&owner) {
            owned.handles.remove(&sequence);
            owned.bytes -= bytes;
            if owned.handles.is_empty() {
                self.by_owner.remove(&owner);
            }
        }
        Some(statement)
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((_, (expires_at, handle))) = self.by_sequence.first_key_value() {
            if *expires_at > now {
                return;
            }
            let handle = *handle;
            self.remove(&handle);
        }
    }

    fn insert(&mut self, owner: ConnectionNumber, statement: Statement, now: Instant) -> TicketHandle {
        let (handle, sequence) = (rand::random(), self.next_sequence);
        self.next_sequence += 1;
        let bytes = statement.memory.bytes();
        self.bytes += bytes;
        let owned = self.by_owner.entry(owner).or_default();
        owned.handles.insert(sequence, handle);
        owned.bytes += bytes;
        self.by_sequence.insert(sequence, (now + TICKET_TTL, handle));
        self.by_handle.insert(handle, Ticket { statement, owner, sequence });
        handle
    }

    fn fits(&self, bytes: usize, max_bytes: usize) -> bool {
        self.by_handle.len() < MAX_TICKETS && self.bytes + bytes <= max_bytes
    }

    /// Removes the oldest ticket of the connection that holds the most, unless that is the one that asks for another.
    /// Returns whether there was one.
    fn evict_for(&mut self, owner: ConnectionNumber) -> bool {
        let size = |owned: &OwnedTickets| (owned.bytes, owned.handles.len());
        let Some((largest, owned)) = self.by_owner.iter().max_by_key(|(_, owned)| size(owned)) else {
            return false;
        };
        let own_size = self.by_owner.get(&owner).map_or((0, 0), size);
        let Some(handle) = owned.handles.values().next().copied() else { return false };
        if *largest == owner || size(owned) <= own_size {
            return false;
        }
        self.remove(&handle);
        true
    }
}

/// The tickets that have been issued and not used yet.
#[derive(Debug)]
pub struct Tickets {
    table: Mutex<TicketTable>,
    max_bytes: usize,
}

impl Tickets {
    /// An empty table for statements of at most `max_bytes` in total.
    pub fn new(max_bytes: usize) -> Self {
        Self { table: Mutex::default(), max_bytes }
    }

    fn lock(&self) -> MutexGuard<'_, TicketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a statement and returns the handle of its ticket. If there is no room, the connection that holds the most
    /// tickets loses its oldest one; `None` if that is the connection of this statement.
    pub fn insert(
        &self,
        owner: ConnectionNumber,
        statement: Statement,
        now: Instant,
    ) -> Option<TicketHandle> {
        let mut table = self.lock();
        table.remove_expired(now);
        while !table.fits(statement.memory.bytes(), self.max_bytes) {
            if !table.evict_for(owner) {
                return None;
            }
        }
        Some(table.insert(owner, statement, now))
    }

    /// Removes and returns the statement of a ticket, or `None` if the ticket is unknown, expired or already used.
    pub fn take(&self, handle: &[u8], now: Instant) -> Option<Statement> {
        let handle = TicketHandle::try_from(handle).ok()?;
        let mut table = self.lock();
        table.remove_expired(now);
        table.remove(&handle)
    }
}

#[cfg(test)]
mod tests;
