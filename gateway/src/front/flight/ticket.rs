//! Tickets: a statement that GetFlightInfo took in waits for the one DoGet that runs it.

use super::service::Header;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Tickets kept at most, and for how long.
const TICKETS_MOST: usize = 1024;
const TICKET_FOR: Duration = Duration::from_secs(60);

/// A statement and what its caller said of it.
#[derive(Clone, Debug)]
pub struct Statement {
    pub header: Header,
    pub text: String,
}

#[derive(Debug, Default)]
struct Kept {
    by_handle: HashMap<[u8; 16], Statement>,
    order: VecDeque<(Instant, [u8; 16])>,
    next: u64,
}

/// The tickets given out and not yet used.
#[derive(Debug)]
pub struct Tickets {
    kept: Mutex<Kept>,
    seed: u64,
}

impl Tickets {
    pub fn new(seed: u64) -> Self {
        Self { kept: Mutex::default(), seed }
    }

    /// Keeps a statement and names it; `None` if there is no room.
    pub fn keep(&self, statement: Statement, now: Instant) -> Option<[u8; 16]> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((until, handle)) = kept.order.front().copied().filter(|k| k.0 <= now) {
            debug_assert!(until <= now);
            kept.order.pop_front();
            kept.by_handle.remove(&handle);
        }
        if kept.by_handle.len() >= TICKETS_MOST || kept.order.len() >= 4 * TICKETS_MOST {
            return None;
        }
        kept.next += 1;
        let handle = (u128::from(self.seed) << 64 | u128::from(kept.next)).to_be_bytes();
        kept.by_handle.insert(handle, statement);
        kept.order.push_back((now + TICKET_FOR, handle));
        Some(handle)
    }

    /// Takes the statement of a ticket; a second time there is none.
    pub fn take(&self, handle: &[u8]) -> Option<Statement> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        handle.try_into().ok().and_then(|h: [u8; 16]| kept.by_handle.remove(&h))
    }
}
