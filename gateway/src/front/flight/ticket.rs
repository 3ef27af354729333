//! Tickets: a statement that GetFlightInfo took in waits for the one DoGet that runs it.

use super::header::Header;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Tickets held at most.
const MAX_TICKETS: usize = 1024;
/// How long a ticket is valid.
const TICKET_TTL: Duration = Duration::from_secs(60);
/// Entries of the expiry queue at most; it also holds tickets that were used.
const MAX_EXPIRY_ENTRIES: usize = 4 * MAX_TICKETS;

/// What a client hands back to have its statement run.
type TicketHandle = [u8; 16];

/// A statement and its metadata.
#[derive(Clone, Debug)]
pub struct Statement {
    pub header: Header,
    pub text: String,
}

#[derive(Debug, Default)]
struct TicketTable {
    by_handle: HashMap<TicketHandle, Statement>,
    /// When each ticket expires, the soonest first.
    expiry: VecDeque<(Instant, TicketHandle)>,
    last_number: u64,
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

/// The tickets given out and not yet used.
#[derive(Debug)]
pub struct Tickets {
    table: Mutex<TicketTable>,
    seed: u64,
}

impl Tickets {
    /// No tickets; `seed` tells the handles of one process from another's.
    pub fn new(seed: u64) -> Self {
        Self { table: Mutex::default(), seed }
    }

    fn lock(&self) -> MutexGuard<'_, TicketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a statement and returns its ticket's handle; `None` if too many tickets are out.
    pub fn insert(&self, statement: Statement, now: Instant) -> Option<TicketHandle> {
        let mut table = self.lock();
        table.remove_expired(now);
        if table.is_full() {
            return None;
        }
        table.last_number += 1;
        let handle = (u128::from(self.seed) << 64 | u128::from(table.last_number)).to_be_bytes();
        table.by_handle.insert(handle, statement);
        table.expiry.push_back((now + TICKET_TTL, handle));
        Some(handle)
    }

    /// Removes and returns the statement of a ticket; a second time there is none.
    pub fn take(&self, handle: &[u8]) -> Option<Statement> {
        let handle = TicketHandle::try_from(handle).ok()?;
        self.lock().by_handle.remove(&handle)
    }
}
