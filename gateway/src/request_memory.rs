//! Account of the memory that clients' requests hold, from the first byte read until the answer. Its limit is a share of
//! the process's memory limit; what does not fit is rejected at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A reservation beside others is granted only if this many of its size would fit, so that a few large requests leave room
/// for small ones.
const HEADROOM_FACTOR: usize = 8;

/// The bytes that all open requests of a front hold, and their limit.
#[derive(Debug)]
pub struct RequestMemory {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl RequestMemory {
    /// An empty account with this limit.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// The limit in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// The bytes reserved at present.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Reserves memory for a request; `None` if there is too little left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { account: self.clone(), bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }
}

/// Memory reserved for one request, which is released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    account: Arc<RequestMemory>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more memory; `false` if there is too little left, and then nothing changes.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let size = self.bytes + bytes;
        let max_bytes = self.account.max_bytes;
        let needed = size.saturating_mul(HEADROOM_FACTOR).min(max_bytes).max(size);
        let grown = |used: usize| (used - self.bytes + needed <= max_bytes).then_some(used + bytes);
        let is_granted =
            self.account.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown).is_ok();
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }

    /// The bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.account.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
