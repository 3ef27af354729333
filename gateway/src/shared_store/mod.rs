//! The store that gateways share (Redis): idempotency keys and quota leases.

mod background;
pub mod client;
mod connection;
mod options;
mod scripts;

pub use options::SharedStoreOptions;

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds of the Unix clock.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
