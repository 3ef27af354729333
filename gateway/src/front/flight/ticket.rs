//! Tickets, which keep a statement between its `GetFlightInfo` call and the single `DoGet` call that executes it.

use super::header::Header;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Limit on the unused tickets.
const MAX_TICKETS: usize = 1024;
/// Lifetime of a ticket.
const TICKET_TTL: Duration = Duration::from_secs(60);
/// Limit on the entries of the expiry queue, which also contains used tickets.
const MAX_EXPIRY_ENTRIES: usize = 4 * MAX_TICKETS;

/// Identifies a ticket. The client returns it in `DoGet`. It is drawn at random, so that no client can guess the ticket of
/// another, and no other process of the gateway, before, beside or after this one, issues the same.
type TicketHandle = [u8; 16];

/// A statement and its request fields.
#[derive(Clone, Debug)]
pub struct Statement {
    pub header: Header,
    pub text: String,
}

#[derive(Debug, Default)]
struct TicketTable {
    by_handle: HashMap<TicketHandle, Statement>,
    /// Expiry times of the tickets, the earliest first.
    expiry: VecDeque<(Instant, TicketHandle)>,
}

impl TicketTable {
    fn remove_expired(&mut self, now: Instant) {
        while let Some((_, handle)) = self.expiry.pop_front_if(|(expires_at, _)| *expires_at <= now) {
            self.by_handle.remove(&handle);
        }
    }

    fn is_full(&self) -> bool {
        self.by_handle.len() >= MAX_TICKETS || self.expiry.len() >= MAX_EXPIRY_ENTRIES
    }
}

/// The tickets that have been issued and not used yet.
#[derive(Debug, Default)]
pub struct Tickets(Mutex<TicketTable>);

impl Tickets {
    fn lock(&self) -> MutexGuard<'_, TicketTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a statement and returns the handle of its ticket, or `None` if there are too many tickets.
    pub fn insert(&self, statement: Statement, now: Instant) -> Option<TicketHandle> {
        let mut table = self.lock();
        table.remove_expired(now);
        if table.is_full() {
            return None;
        }
        let handle: TicketHandle = rand::random();
        table.by_handle.insert(handle, statement);
        table.expiry.push_back((now + TICKET_TTL, handle));
        Some(handle)
    }

    /// Removes and returns the statement of a ticket, or `None` if the ticket is unknown, expired or already used.
    pub fn take(&self, handle: &[u8]) -> Option<Statement> {
        let handle = TicketHandle::try_from(handle).ok()?;
        self.lock().by_handle.remove(&handle)
    }
}
