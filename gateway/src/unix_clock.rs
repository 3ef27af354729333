//! The Unix clock, for timestamps that outlive the process or are compared with those of other processes. Deadlines use
//! the monotonic clock instead.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch; zero if the system clock is set before it.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    since_epoch().as_micros() as u64
}
