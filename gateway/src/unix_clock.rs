//! The Unix clock, for what outlives the process or is compared with other processes. All deadlines are monotonic instants.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch; zero where the system's clock is before it.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Milliseconds of the Unix clock.
pub fn unix_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Microseconds of the Unix clock.
pub fn unix_micros() -> u64 {
    since_epoch().as_micros() as u64
}
